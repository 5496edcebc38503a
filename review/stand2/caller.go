package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request, as on the sheets.
type kind struct {
	name, method, path string
	limit              time.Duration // time limit of a request
	perS               float64
}

// host is the host of all routes.
const host = "app.example"

// callers sends requests as the requesters of a site do, each over a new channel.
type callers struct {
	w    *world
	http *http.Client
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	addrs   []string
	until   time.Time
	n       int
	success map[string]int // by kind
	others  map[string]int // by kind and outcome
}

// startCallers sends requests of all kinds until the callers are stopped.
func (w *world) startCallers(kinds ...kind) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{w: w, stop: stop, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, success: make(map[string]int), others: make(map[string]int)}
	for _, k := range kinds {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for {
				select {
				case <-time.After(time.Duration(rand.ExpFloat64() / k.perS * float64(time.Second))):
				case <-ctx.Done():
					return
				}
				c.wg.Add(1)
				go func() { defer c.wg.Done(); c.send(k) }()
			}
		}()
	}
	return c
}

// end stops the callers, and waits until all requests have ended.
func (c *callers) end() {
	c.stop()
	c.wg.Wait()
}

// target returns the address of a machine that takes requests.
func (c *callers) target() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.After(c.until) {
		for _, i := range rand.Perm(len(c.w.nodes)) {
			u := "http://" + addr(c.w.nodes[i].ip, c.w.ports.directory) + "/resolve?name=" + url.QueryEscape(host) + "&region=montevideo&zone=cerro"
			a, err := c.resolve(u)
			if err == nil && len(a.Addresses) > 0 {
				c.addrs, c.until = a.Addresses, now.Add(time.Duration(min(a.TTL, 5)*float64(time.Second)))
				break
			}
		}
	}
	if len(c.addrs) == 0 {
		return "", fmt.Errorf("no machine is known")
	}
	return c.addrs[rand.IntN(len(c.addrs))], nil
}

// resolved is a directory's response.
type resolved struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl-s"`
}

// resolve asks a directory.
func (c *callers) resolve(u string) (resolved, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var a resolved
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return a, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// send sends one request.
func (c *callers) send(k kind) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%05d", k.name, c.n)
	c.mu.Unlock()
	to, err := c.target()
	if err != nil {
		c.ended(id, k, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.limit)
	defer cancel()
	var body io.Reader
	if k.method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+to+k.path+id, body)
	c.w.must(err)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(k.limit.Milliseconds()))
	c.w.sent(id)
	resp, err := c.http.Do(req)
	if err != nil {
		c.ended(id, k, "no answer")
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.ended(id, k, "answer cut off")
		return
	}
	if resp.StatusCode < 300 && resp.Header.Get("X-Response-Seal") != "" {
		c.ended(id, k, "")
		return
	}
	c.ended(id, k, fmt.Sprintf("status %d", resp.StatusCode))
}

// ended records the outcome of a request; "" is success.
func (c *callers) ended(id string, k kind, outcome string) {
	c.mu.Lock()
	if outcome == "" {
		c.success[k.name]++
	} else {
		c.others[k.name+": "+outcome]++
	}
	c.mu.Unlock()
	if outcome == "" {
		outcome = "success"
	}
	c.w.record("answered %s: %s", id, outcome)
}
