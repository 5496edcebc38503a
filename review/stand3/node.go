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
	"strconv"
	"sync"
	"time"
)

// Bounds of the sheet that the checks use.
const (
	contactTime        = 3 * time.Second
	program            = "target/vaned"
	role               = "platform"
	settingsVariable   = "MUSTARDVANE_NODE_FILE"
	readyTimeout       = 15 * time.Second
	readyCheckInterval = 50 * time.Millisecond
)

// node is a process of the system.
type node struct {
	rec      *recorder
	name     string
	dir      string
	front    string
	ready    string
	dirAddr  string
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Ports of nodes lie below those that the kernel gives to outgoing connections.
const (
	lowestPort = 12000
	portSpan   = 18000
)

// freePorts returns n adjacent ports that are free for TCP and UDP.
func freePorts(n int) []int {
	for {
		first := lowestPort + rand.N(portSpan)
		var out []int
		var open []io.Closer
		for p := first; p < first+n; p++ {
			at := "127.0.0.1:" + strconv.Itoa(p)
			ln, err := net.Listen("tcp", at)
			if err != nil {
				break
			}
			open = append(open, ln)
			pc, err := net.ListenPacket("udp", at)
			if err != nil {
				break
			}
			open = append(open, pc)
			out = append(out, p)
		}
		for _, c := range open {
			_ = c.Close()
		}
		if len(out) == n {
			return out
		}
	}
}

// newNode writes the settings of a node, as the platform does.
func newNode(rec *recorder, dir, name, storeAddr string) *node {
	p := freePorts(6)
	at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(p[i]) }
	n := &node{rec: rec, name: name, dir: dir, front: at(0), ready: at(1), dirAddr: at(2), settings: filepath.Join(dir, name+".json")}
	s := map[string]any{
		"node-name": name, "role": "node", "machine-class": "front", "serves": []string{"front", "directory"}, "ip": "127.0.0.1", "zone": "cerro", "region": "montevideo",
		"zones":          map[string]string{"cerro": "montevideo", "la-teja": "montevideo", "pando": "montevideo"},
		"listen":         map[string]string{"front": at(0), "ready": at(1), "directory": at(2), "control": at(3)},
		"internal-ports": []int{p[4], p[5]}, "seeds": []string{}, "bootstrap": true, "loss-counted": false,
		"limits":    map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 134, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir":  nil,
		"discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "rollout", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-deadline-ms": 2000,
			"rollback-slack-ms": 250, "max-stretch-ms": 5000, "strict-revoke": false, "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56,
			"quota-window-s": 8, "quota-over": 0.1, "quota-slack": 110000, "expose-share": 0.1, "expose-slack": 50, "rollback-ms": 5000, "recover-s": 12, "transit-ms": 120,
			"reuse-window-s": 10, "require-fence": false, "lease-ms": 3000, "thaw-ms": 300, "version-ms": 12000, "version-all-ms": 17000, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": storeAddr, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	b, err := json.MarshalIndent(s, "", " ")
	must(err)
	must(os.WriteFile(n.settings, b, 0o600))
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	c := exec.Command(program, role)
	for _, v := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, v+"="+os.Getenv(v))
	}
	c.Env = append(c.Env, settingsVariable+"="+n.settings)
	c.Stdout, c.Stderr = log, log
	must(c.Start())
	done := make(chan struct{})
	n.cmd, n.done = c, done
	n.rec.add("node", "%s starts", n.name)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		n.rec.add("node", "%s has ended: %v", n.name, c.ProcessState)
		close(done)
	}()
}

// end returns a channel that is closed when the process has ended.
func (n *node) end() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyCheckInterval) {
		r, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.name)
}
