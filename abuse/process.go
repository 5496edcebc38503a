package abuse

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"
)

// samplePeriod is the time between two counts of a process's descriptors.
const samplePeriod = 10 * time.Millisecond

// Process is a running node, whose memory and descriptors are observed.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended

	mu     sync.Mutex
	maxFDs int
	err    error // result of the process
}

// StartProcess starts a program whose output goes to the file log. A limit of descriptors of zero
// stands for that of this process.
func StartProcess(log string, env []string, fdLimit int, binary string, args ...string) (*Process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(binary, args...)
	if fdLimit > 0 {
		cmd = exec.Command("/bin/sh", append([]string{"-c", "ulimit -n " + strconv.Itoa(fdLimit) + ` && exec "$0" "$@"`, binary}, args...)...)
	}
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = err
		close(p.done)
	}()
	go p.sample()
	return p, nil
}

// sample counts the descriptors of the process until it ends.
func (p *Process) sample() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(samplePeriod):
		}
		// The folder is gone if the process has ended.
		if fds, err := os.ReadDir(p.path("fd")); err == nil {
			p.mu.Lock()
			p.maxFDs = max(p.maxFDs, len(fds))
			p.mu.Unlock()
		}
	}
}

// path returns the path of a file about the process.
func (p *Process) path(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// Alive returns an error if the process has ended.
func (p *Process) Alive() error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return fmt.Errorf("the process has ended: %v", p.err)
	default:
		return nil
	}
}

// MaxFDs returns the greatest number of descriptors that were counted.
func (p *Process) MaxFDs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxFDs
}

// MaxRSS returns the greatest resident memory of the process so far, in bytes, as counted by the
// kernel (VmHWM).
func (p *Process) MaxRSS() (int64, error) {
	b, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(b, []byte("VmHWM:"))
	f := bytes.Fields(rest)
	if len(f) < 2 || string(f[1]) != "kB" {
		return 0, fmt.Errorf("no VmHWM in the status of the process")
	}
	kb, err := strconv.ParseInt(string(f[0]), 10, 64)
	return kb << 10, err
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	// An error means that the process has already ended.
	_ = p.cmd.Process.Kill()
	<-p.done
}
