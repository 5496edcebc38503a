package memory

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
)

// Parts of a host's memory, in percent. The rest is for the program itself, the configuration, the
// upstreams' state, garbage, and the kernel's socket buffers.
const (
	capacityPercent = 20 // of the budget
	connPercent     = 25 // of the connections
	runtimePercent  = 60 // soft limit of the Go runtime
)

// connBytes is the memory of a connection without what its budget holds: stacks, buffers and
// parsed headers. 20 KB were measured for an idle connection and 30 KB for one with a request.
const connBytes = 32 << 10

// Parts of the descriptors.
const (
	headroomPart   = 8   // one in this many is kept for all but callers and upstreams
	minHeadroom    = 128 // at least so many are
	callerPercent  = 40  // of the remaining ones, for callers; each request may need one more, for its upstream
	idlePercent    = 20  // of the remaining ones, for idle connections to upstreams
	auxiliaryPart  = 4   // one in this many of the headroom is for the connections of another listener
	minConnections = 16
)

// Limits are the limits of a process.
type Limits struct {
	Capacity      int64 // of the budget in bytes
	Connections   int   // of callers
	Auxiliary     int   // connections of each other listener: health checks, directory, metrics, operators
	IdleUpstreams int   // idle connections to upstreams
}

// LimitsFor returns the limits of a process that may use the given memory, in bytes, and number of
// descriptors.
func LimitsFor(memory int64, descriptors int) Limits {
	headroom := max(descriptors/headroomPart, minHeadroom)
	rest := max(descriptors-headroom, 0)
	byMemory := memory / 100 * connPercent / connBytes
	return Limits{
		Capacity:      memory / 100 * capacityPercent,
		Connections:   int(max(min(byMemory, int64(rest*callerPercent/100)), minConnections)),
		Auxiliary:     max(headroom/auxiliaryPart/2, minConnections),
		IdleUpstreams: max(rest*idlePercent/100, minConnections),
	}
}

// ApplyRuntime sets the soft memory limit of the Go runtime for a process that may use the given
// memory, in bytes.
func ApplyRuntime(memory int64) { debug.SetMemoryLimit(memory / 100 * runtimePercent) }

// StatedMemory returns the memory limit in the environment variable GOMEMLIMIT, or 0 if there is
// none.
func StatedMemory() int64 {
	if n := debug.SetMemoryLimit(-1); n < math.MaxInt64 {
		return n
	}
	return 0
}

// HostMemory returns the memory that the process may use: the least of the host's memory and the
// limit of its control group, as far as they can be read, else 1 GB.
func HostMemory() int64 {
	out := int64(math.MaxInt64)
	if b, err := os.ReadFile("/proc/meminfo"); err == nil {
		_, rest, _ := bytes.Cut(b, []byte("MemTotal:"))
		if f := bytes.Fields(rest); len(f) > 0 {
			if kb, err := strconv.ParseInt(string(f[0]), 10, 64); err == nil {
				out = kb << 10
			}
		}
	}
	if b, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(b)), 10, 64); err == nil {
			out = min(out, n)
		}
	}
	if out == math.MaxInt64 {
		return 1 << 30
	}
	return out
}

// Descriptors returns how many descriptors the process may open. A stated limit other than zero
// lowers it.
func Descriptors(stated int) int {
	n := 1024 // the usual limit, if it can't be read
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		n = int(min(r.Cur, math.MaxInt32))
	}
	if stated > 0 {
		n = min(n, stated)
	}
	return n
}
