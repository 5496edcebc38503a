package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/platform"
	"mustardvane.org/vane/platform/stand"
)

// startLimit bounds the time until a started process listens.
const startLimit = 10 * time.Second

// logTail is how much of a node's log an error shows, in bytes.
const logTail = 600

// stopLimit bounds a planned stop: the grace and a margin for a busy machine.
const stopLimit = 20 * time.Second

// node is one process and what belongs to it.
type node struct {
	name   string
	binary string
	dir    string
	ports  [5]int
	store  *proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
}

// newNode writes the settings of a node.
func newNode(i int, binary, dir, store string) (*node, error) {
	n := &node{name: fmt.Sprintf("n%d", i), binary: binary, dir: filepath.Join(dir, fmt.Sprintf("n%d", i))}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return nil, err
	}
	var err error
	if n.store, err = newProxy(store); err != nil {
		return nil, err
	}
	if n.ports, err = freePorts(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(stand.Settings(n.name, n.store.addr(), n.ports))
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings(), b, 0o644)
}

// settings returns the path of the settings file.
func (n *node) settings() string { return filepath.Join(n.dir, "settings.json") }

// freePorts returns ports that nothing listens on.
func freePorts() (ports [5]int, err error) {
	for i := range ports {
		if ports[i], err = port.Free(); err != nil {
			return ports, err
		}
	}
	return ports, nil
}

// directory returns the address of the node's directory.
func (n *node) directory() string { return fmt.Sprintf("127.0.0.1:%d", n.ports[2]) }

// start starts the process. Its log is appended to a file of its own.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.dir, "log.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(n.binary, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+n.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan error, 1)
	go func(done chan error) { done <- cmd.Wait() }(n.done)
	return nil
}

// await waits until the process listens, so that signals meet its handlers.
func (n *node) await() error {
	for end := time.Now().Add(startLimit); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", n.directory())
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			b, rerr := os.ReadFile(filepath.Join(n.dir, "log.jsonl"))
			if rerr != nil {
				return rerr
			}
			return fmt.Errorf("node %s does not listen: %w; its log ends: %s", n.name, err, b[max(0, len(b)-logTail):])
		}
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has ended needs no signal.
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

// stop ends the process as planned. It returns an error if the process does not end
// well.
func (n *node) stop() error {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGTERM)
	select {
	case err := <-n.done:
		return err
	case <-time.After(stopLimit):
		n.kill()
		return fmt.Errorf("node %s did not end within %v of SIGTERM; see %s", n.name, stopLimit, n.dir)
	}
}
