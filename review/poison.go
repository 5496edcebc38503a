package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Deployment and load of the case.
const (
	poisonEngines  = 6
	poisonClients  = 12
	poisonPause    = 1500 * time.Millisecond // between two attempts of the request that crashes servers
	engineDown     = 2 * time.Second         // from a crash until the server is back, under a new id
	poisonRun      = 40 * time.Second
	contact        = 3 * time.Second // contact-ms
	allowedRetries = 3
	poisonBody     = "a prompt on which servers crash"
	engineEvents   = 20
	engineGap      = 100 * time.Millisecond
)

// engineMain is a model server as a process of its own. It crashes with the first token of
// a request that has poisonBody.
func engineMain(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	id := f.String("id", "", "instance id")
	addr := f.String("addr", "", "address")
	storeAddr := f.String("store", "", "address of the store")
	f.Parse(args)
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	born := time.Now().UnixMilli()
	models := []map[string]any{{"name": "daka510000", "version": 1, "adapters": []any{}}}
	go func() {
		for ; ; time.Sleep(heartbeat) {
			register(*storeAddr, *id, entry("huvo11a", *addr, "ready", 64, born, models))
		}
	}()
	http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wrongInstance(w, r, *id) {
			return
		}
		if r.URL.Path == "/report" {
			reply(w, http.StatusOK, map[string]any{
				"stage": "unified", "models": models, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 144588, "handles": 0,
			})
			return
		}
		b, _ := io.ReadAll(r.Body)
		poison := strings.Contains(string(b), poisonBody)
		fmt.Printf("%d run %s poison=%t\n", time.Now().UnixMilli(), r.Header.Get("X-Request-Id"), poison)
		h := w.Header()
		h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h.Set("X-Response-Seal", seal)
		h.Set("X-Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		for i := 1; i <= engineEvents; i++ {
			fmt.Fprint(w, streamEvent(i))
			w.(http.Flusher).Flush()
			time.Sleep(engineGap)
			if poison {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
		}
	}))
}

// engineSlot keeps one model server running: after a crash it starts another one.
type engineSlot struct {
	n, starts int
	addr, log string
}

func (s *engineSlot) run(w *world, crashed func(id string), stop chan struct{}) {
	for {
		s.starts++
		id := fmt.Sprintf("i-%04x%04x", s.n, s.starts)
		f, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return
		}
		c := exec.Command(self(), "engine", "--id", id, "--addr", s.addr, "--store", w.store.addr)
		c.Stdout, c.Stderr = f, f
		err = c.Start()
		f.Close()
		if err != nil {
			return
		}
		track(c)
		done := make(chan struct{})
		go func() { c.Wait(); close(done) }()
		select {
		case <-done:
			crashed(id)
		case <-stop:
			c.Process.Kill()
			<-done
			return
		}
		select {
		case <-time.After(engineDown):
		case <-stop:
			return
		}
	}
}

// poison sends a request again and again that crashes each server that begins to run it.
func poison(recordPath string) (bool, error) {
	w, err := newWorld(recordPath, 3)
	if err != nil {
		return false, err
	}
	defer w.close()
	ports, err := freePorts(poisonEngines)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	crashed := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		w.log("server %s has crashed", id)
	}
	stopEngines := make(chan struct{})
	var engines sync.WaitGroup
	var slots []*engineSlot
	for i, p := range ports {
		s := &engineSlot{n: i, addr: fmt.Sprintf("127.0.0.1:%d", p), log: filepath.Join(w.dir, fmt.Sprintf("engine%d", i))}
		slots = append(slots, s)
		engines.Go(func() { s.run(w, crashed, stopEngines) })
	}
	w.cleanup = append(w.cleanup, func() { close(stopEngines); engines.Wait() })
	w.store.put("versions", "daka510000", map[string]any{"model": "daka510000", "version": 1})
	cfg := engineConfig(3, false)
	route := cfg["routes"].([]any)[0].(map[string]any)
	route["timeout-ms"], route["max-attempts"], route["latency-goal-ms"] = 5000, 1, 500
	w.store.put("config", "main", cfg)
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	var wg sync.WaitGroup
	sound, soundCut := 0, 0
	for i := range poisonClients {
		wg.Go(func() {
			for n := 0; time.Since(begin) < poisonRun; n++ {
				a := askStream(w, fmt.Sprintf("%08x%08x", i, n), fmt.Sprintf("a sound prompt %d %d", i, n))
				mu.Lock()
				if sound++; a != "whole" && strings.HasPrefix(a, "200") {
					soundCut++
				}
				mu.Unlock()
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	if w.trouble {
		wg.Go(func() {
			for n := 0; time.Since(begin) < poisonRun; n++ {
				askStream(w, fmt.Sprintf("ffffffff%08x", n), poisonBody)
				time.Sleep(poisonPause)
			}
		})
	}
	wg.Wait()
	var arrivals []int64
	for _, s := range slots {
		b, _ := os.ReadFile(s.log)
		w.log("runs of server slot %d, by Unix milliseconds:\n%s", s.n, b)
		for l := range strings.Lines(string(b)) {
			var at int64
			var id string
			if k, _ := fmt.Sscanf(l, "%d run %s poison=true", &at, &id); k == 2 && strings.Contains(l, "poison=true") {
				arrivals = append(arrivals, at)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at > crashes[2].Add(contact).UnixMilli() {
				late++
			}
		}
	}
	w.say("the request reached servers %d times and crashed %d; %d times later than contact-ms after the third crash (allowed: %d)",
		len(arrivals), len(crashes), late, allowedRetries)
	w.say("%d sound streams of other requesters, %d of them cut after they had begun", sound, soundCut)
	return late > allowedRetries, nil
}

// askStream sends a stream request to any node and says how it ended.
func askStream(w *world, id, body string) string {
	at := w.nodes[rand.IntN(len(w.nodes))]
	c, err := net.Dial("tcp", at.front())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /xapu221/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: daka510000\r\nX-Token-Usage: 460,80\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:198,%s:262\r\nX-Deadline-Ms: 5000\r\nX-Api-Key: wu3fexd9dnn2ctnfzs98\r\nContent-Length: %d\r\n\r\n%s",
		host, id, id, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.log("request %s at %s: no answer: %v", id, at.name, err)
		return "no answer"
	}
	b, err := io.ReadAll(r.Body)
	out := fmt.Sprintf("%d, %d events, %v", r.StatusCode, strings.Count(string(b), "data:"), err)
	if r.StatusCode == http.StatusOK && err == nil {
		out = "whole"
	}
	w.log("request %s at %s: %s", id, at.name, out)
	return out
}
