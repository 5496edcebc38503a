package port

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Users describes the TCP sockets on a local port and the processes that hold them, one a
// line, for the report of a port that is in use though it should not be. It returns "" where
// /proc/net/tcp does not exist or shows none.
func Users(p int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	var b strings.Builder
	suffix := fmt.Sprintf(":%04X", p)
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 10 || !strings.HasSuffix(fields[1], suffix) {
			continue
		}
		// Fields: number, local and remote address, state in hexadecimal (0A: listening), ..., inode.
		fmt.Fprintf(&b, "port %d: remote %s, state %s, held by %s\n", p, fields[2], fields[3], holder(fields[9]))
	}
	return b.String()
}

// holder names the processes that hold the socket with an inode.
func holder(inode string) string {
	fds, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	var out []string
	for _, fd := range fds {
		if to, err := os.Readlink(fd); err != nil || to != "socket:["+inode+"]" {
			continue
		}
		pid := strings.Split(fd, "/")[2]
		// A process that has ended since has no command line.
		cmd, _ := os.ReadFile("/proc/" + pid + "/cmdline")
		out = append(out, pid+" "+strings.ReplaceAll(strings.TrimRight(string(cmd), "\x00"), "\x00", " "))
	}
	if len(out) == 0 {
		return "no process"
	}
	return strings.Join(out, ", ")
}
