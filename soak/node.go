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
)

// startTimeout limits the time from the start of a process until it listens.
const startTimeout = 10 * time.Second

// logTailBytes is how much of the end of a node's log an error message shows.
const logTailBytes = 600

// stopTimeout limits the time from SIGTERM to the end of the process: the node's grace
// period and a margin for a busy machine.
const stopTimeout = 20 * time.Second

// node is a node of the soak, whose process is stopped and restarted by faults.
type node struct {
	name       string
	binary     string
	dir        string
	ports      [5]int // in the order of stand.Settings
	storeProxy *proxy // forwards the node's connections to the store

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error // receives the result of the process
}

// newNode returns node number i, whose settings and log are in a subfolder of dir. store is
// the address of the store, and settings returns the contents of the settings file. It starts the proxy to the store, but not the process.
func newNode(i int, binary, dir, store string, settings func(name, store string, ports [5]int) map[string]any) (*node, error) {
	n := &node{name: nodeName(i), binary: binary, dir: filepath.Join(dir, nodeName(i))}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return nil, err
	}
	var err error
	if n.storeProxy, err = newProxy(store); err != nil {
		return nil, err
	}
	if n.ports, err = freePorts(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(settings(n.name, n.storeProxy.addr(), n.ports))
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings(), b, 0o644)
}

// nodeName returns the name of node number i.
func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// settings returns the path of the settings file.
func (n *node) settings() string { return filepath.Join(n.dir, "settings.json") }

// freePorts returns ports on which nothing listens. The last two are consecutive, since the
// settings name the internal ports as a range.
func freePorts() (ports [5]int, err error) {
	for i := range 3 {
		if ports[i], err = port.Free(); err != nil {
			return ports, err
		}
	}
	if ports[3], err = port.FreeRun(2); err != nil {
		return ports, err
	}
	ports[4] = ports[3] + 1
	return ports, nil
}

// callers returns the address at which the node serves callers.
func (n *node) callers() string { return fmt.Sprintf("127.0.0.1:%d", n.ports[0]) }

// directory returns the address at which the node serves its directory.
func (n *node) directory() string { return fmt.Sprintf("127.0.0.1:%d", n.ports[2]) }

// start starts the process. Its output is appended to log.jsonl in the node's folder.
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

// awaitListening waits until the process listens, since it has installed its signal
// handlers by then.
func (n *node) awaitListening() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", n.directory())
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			b, rerr := os.ReadFile(filepath.Join(n.dir, "log.jsonl"))
			if rerr != nil {
				return rerr
			}
			users := ""
			for _, p := range n.ports {
				users += port.Users(p)
			}
			return fmt.Errorf("node %s did not listen within the time to start: %w; sockets on its ports: %s; the end of its log: %s", n.name, err, users, b[max(0, len(b)-logTailBytes):])
		}
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// An error means that the process has already ended.
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

// stop ends the process as planned, with SIGTERM, after resuming it in case it is paused.
// It returns an error if the exit code is not 0 or the process does not end in time.
func (n *node) stop() error {
	n.signal(syscall.SIGCONT)
	return n.stopWithin(stopTimeout)
}

// stopWithin ends the process with SIGTERM, and with SIGKILL if it has not ended after d. It
// returns an error in that case, or if the exit code is not 0.
func (n *node) stopWithin(d time.Duration) error {
	n.signal(syscall.SIGTERM)
	select {
	case err := <-n.done:
		return err
	case <-time.After(d):
		n.kill()
		return fmt.Errorf("node %s did not end within %v of SIGTERM; see %s", n.name, d, n.dir)
	}
}
