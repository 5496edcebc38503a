package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one machine of the system, which runs the command of the deploy file.
type node struct {
	name, ip string
	w        *world
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// ports are the ports of the machines, which are the same on all of them.
type ports struct{ front, ready, control, directory, internal int }

// freePorts returns ports that are free on all machines.
func freePorts(ips []string) ports {
	for range 100 {
		base := 21000 + 40*rand.IntN(250)
		free := true
		for _, ip := range ips {
			for i := range 24 {
				ln, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(base+i)))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 5}
		}
	}
	return ports{}
}

// startNodes starts n machines, and waits until all are ready.
func (w *world) startNodes(n int) {
	zones := []string{"cerro", "la-teja", "pando"}
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
	}
	w.ports = freePorts(ips)
	if w.ports.front == 0 {
		w.fail("no free ports")
	}
	for _, ip := range ips {
		seeds = append(seeds, addr(ip, w.ports.control))
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		x := &node{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: ip, w: w}
		x.settings = filepath.Join(w.dir, x.name+".json")
		b, err := json.MarshalIndent(map[string]any{
			"node-name": x.name, "role": "node", "machine-class": "front", "serves": []string{"front", "directory"}, "ip": ip, "zone": zone, "region": "montevideo",
			"zones":          map[string]string{"cerro": "montevideo", "la-teja": "montevideo", "pando": "montevideo"},
			"listen":         map[string]string{"front": addr(ip, w.ports.front), "ready": addr(ip, w.ports.ready), "control": addr(ip, w.ports.control), "directory": addr(ip, w.ports.directory)},
			"internal-ports": []int{w.ports.internal, w.ports.internal + 15}, "seeds": seeds, "bootstrap": true, "loss-counted": false,
			"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 134, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "rollout", "platform"},
			"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
				"config-deadline-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "strict-revoke": false, "revoke-ms": 5000, "budget-ratio": 0.2,
				"budget-window-s": 10, "budget-slack": 56, "quota-window-s": 8, "quota-over": 0.1, "quota-slack": 110000, "expose-share": exposeShare, "expose-slack": exposeSlack,
				"rollback-ms": rollback.Milliseconds(), "recover-s": 12, "transit-ms": 120, "reuse-window-s": 10, "require-fence": false, "lease-ms": 3000, "thaw-ms": 300,
				"version-ms": 12000, "version-all-ms": 17000, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": w.storeAddr, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
		}, "", "  ")
		w.must(err)
		w.must(os.WriteFile(x.settings, b, 0o600))
		w.nodes = append(w.nodes, x)
		x.start()
	}
	for _, x := range w.nodes {
		x.awaitReady()
	}
}

// start starts the machine's process.
func (x *node) start() {
	log, err := os.OpenFile(filepath.Join(x.w.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	x.w.must(err)
	defer log.Close()
	x.cmd = exec.Command("target/vaned", "platform")
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + x.w.dir, "MUSTARDVANE_NODE_FILE=" + x.settings}
	x.cmd.Stdout, x.cmd.Stderr = log, log
	x.w.must(x.cmd.Start())
	x.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(x.cmd, x.done)
	x.w.record("node %s started", x.name)
}

// kill ends the machine's process at once.
func (x *node) kill() {
	_ = x.cmd.Process.Kill()
	<-x.done
}

// terminate stops the machine's process as the platform does: SIGTERM, and SIGKILL after grace-s.
// It does not wait.
func (x *node) terminate() {
	x.w.say("node %s gets SIGTERM", x.name)
	_ = x.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-x.done:
			x.w.record("node %s has ended", x.name)
		case <-time.After(grace):
			x.kill()
		}
	}()
}

// grace is grace-s.
const grace = 8 * time.Second

// awaitReady waits until the machine says that it is ready.
func (x *node) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr(x.ip, x.w.ports.ready)+"/readyz", nil)
		x.w.must(err)
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	x.w.fail("node %s is not ready", x.name)
}

// addr joins an address and a port.
func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
