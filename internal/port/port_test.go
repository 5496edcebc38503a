package port_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/internal/port"
)

func TestFreeGivesEachPortOnce(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for range 100 {
		p, err := port.Free()
		is.NoErr(err)
		is.True(!seen[p])
		is.True(p < 32768) // ports from here on are used for outgoing connections
		seen[p] = true
	}
}

// Ports in a row belong to one caller, also if others ask for single ones in between.
func TestFreeRunIsNotShared(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	take := func(n int) {
		p, err := port.FreeRun(n)
		is.NoErr(err)
		for i := range n {
			is.True(!seen[p+i])
			seen[p+i] = true
		}
	}
	for range 60 {
		take(2)
		take(1)
		take(3)
	}
}

func TestUsers(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	if _, err := os.Stat("/proc/net/tcp"); err != nil {
		t.Skip("no /proc/net/tcp")
	}
	is.True(strings.Contains(port.Users(ln.Addr().(*net.TCPAddr).Port), fmt.Sprintf("held by %d ", os.Getpid())))
}
