package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is one machine of the system: a process with the command of the deploy file.
type node struct {
	name, dir, log string
	ports          [6]int // front, ready, control, directory, first and second internal port
	cmd            *exec.Cmd
	done           chan struct{}
	mu             sync.Mutex
	ended          bool
}

// freePorts returns consecutive ports that are free for TCP and UDP. They are below the range
// from which the system takes the ports of outgoing connections.
func freePorts(n int) ([]int, error) {
	for range 1000 {
		if out := takeBlock(20000+rand.IntN(12000), n); out != nil {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// takeBlock returns the n ports from first on if all of them are free, else nil.
func takeBlock(first, n int) []int {
	var out []int
	for p := first; p < first+n; p++ {
		at := fmt.Sprintf("127.0.0.1:%d", p)
		ln, err := net.Listen("tcp", at)
		if err != nil {
			return nil
		}
		defer ln.Close()
		u, err := net.ListenPacket("udp", at)
		if err != nil {
			return nil
		}
		defer u.Close()
		out = append(out, p)
	}
	return out
}

func (n *node) front() string     { return fmt.Sprintf("127.0.0.1:%d", n.ports[0]) }
func (n *node) directory() string { return fmt.Sprintf("127.0.0.1:%d", n.ports[3]) }

// newNodes returns nodes with the settings of the site hraun-hljod.
func newNodes(dir, storeAddr string, count int) ([]*node, error) {
	ports, err := freePorts(6 * count)
	if err != nil {
		return nil, err
	}
	var out []*node
	for i := range count {
		n := &node{name: fmt.Sprintf("front-vik-a-%d", i+1), dir: filepath.Join(dir, fmt.Sprintf("n%d", i+1))}
		copy(n.ports[:], ports[6*i:])
		n.log = filepath.Join(n.dir, "log")
		at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", n.ports[i]) }
		set := map[string]any{
			"node-name": n.name, "role": "node", "machine-class": "front", "serves": []string{"front", "directory"},
			"ip": "127.0.0.1", "zone": "vik-a", "region": "sudurland", "zones": map[string]string{"vik-a": "sudurland"},
			"listen":         map[string]any{"front": at(0), "ready": at(1), "control": at(2), "directory": at(3)},
			"internal-ports": []int{n.ports[4], n.ports[5]},
			"bootstrap":      true, "loss-counted": false,
			"limits":    map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "rollout", "platform"},
			"fault-tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
				"loss-slack-ms": 200, "config-deadline-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "strict-revoke": false,
				"revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 52, "quota-window-s": 8, "quota-over": 0.1,
				"quota-slack": 110000, "expose-share": 0.1, "expose-slack": 50, "rollback-ms": 5000, "recover-s": 12, "transit-ms": 120,
				"reuse-window-s": 10, "require-fence": false, "lease-ms": 3000, "thaw-ms": 300, "version-ms": 12000,
				"version-all-ms": 17000, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": storeAddr, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
		}
		b, err := json.Marshal(set)
		if err != nil {
			return nil, err
		}
		if err := os.MkdirAll(n.dir, 0o755); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(n.dir, "settings.json"), b, 0o644); err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// setStore changes the address of the platform in the settings.
func (n *node) setStore(addr string) error {
	path := filepath.Join(n.dir, "settings.json")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var set map[string]any
	if err := json.Unmarshal(b, &set); err != nil {
		return err
	}
	set["platform"].(map[string]any)["address"] = addr
	if b, err = json.Marshal(set); err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/vaned", "platform")
	n.cmd.Env = append(os.Environ(), "MUSTARDVANE_NODE_FILE="+filepath.Join(n.dir, "settings.json"))
	n.cmd.Stdout, n.cmd.Stderr = f, f
	if err := n.cmd.Start(); err != nil {
		return err
	}
	track(n.cmd)
	n.done, n.ended = make(chan struct{}), false
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		f.Close()
		n.mu.Lock()
		n.ended = true
		n.mu.Unlock()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// started holds the processes that were started, so that all of them end with this one.
var started struct {
	mu   sync.Mutex
	cmds []*exec.Cmd
}

func track(c *exec.Cmd) {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.cmds = append(started.cmds, c)
}

// killStarted kills the started processes that still run, each by its id.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, c := range started.cmds {
		c.Process.Kill()
	}
}

func (n *node) signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// stop ends the process if it still runs.
func (n *node) stop() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.done
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", n.ports[1]))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and their directories name all of them.
func awaitReady(ns []*node, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, n := range ns {
			ok = ok && n.ready() && len(resolve(n)) == len(ns)
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready within %s", limit)
}

// resolve asks a node's directory for the addresses of the nodes.
func resolve(n *node) []string {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.directory() + "/resolve?name=" + host + "&region=sudurland&zone=vik-a")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &a) != nil {
		return nil
	}
	return a.Addresses
}
