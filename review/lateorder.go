package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the case.
const (
	cutLength = 5500 * time.Millisecond // for_s of node_cut
	thaw      = 300 * time.Millisecond  // thaw-ms
	firstRTO  = 200 * time.Millisecond  // first retransmission of TCP; each further one waits twice as long
	loadTime  = 3300 * time.Millisecond // the running requests end within 2 s, then the weights are loaded in 1.3 s
)

// cutLinks models the links of one machine: while they are cut, what it sends is held up,
// and new channels are not established. What was sent on an open channel arrives with
// the first retransmission after the cut, also if the sender has closed the channel.
type cutLinks struct {
	mu    sync.Mutex
	began time.Time // zero before the cut
}

func (l *cutLinks) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.began.IsZero() {
		l.began = time.Now()
	}
}

func (l *cutLinks) end() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began.Add(cutLength), !l.began.IsZero() && time.Since(l.began) < cutLength
}

// retransmitted returns when bytes that were sent at a time arrive if the links heal at end.
func retransmitted(sent, end time.Time) time.Time {
	at, d := sent, firstRTO
	for at.Before(end) {
		at, d = at.Add(d), 2*d
	}
	return at
}

// forward passes bytes on from one side to the other, through the links. Bytes that are held
// up are lost if their sender resets the channel meanwhile.
func forward(dst, src net.Conn, l *cutLinks, look func(b []byte)) {
	defer dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			look(buf[:n])
			held := bytes.Clone(buf[:n])
			if end, cut := l.end(); cut {
				var more []byte
				if more, err = hold(src, retransmitted(time.Now(), end)); err != nil && err != io.EOF {
					return
				}
				held = append(held, more...)
			}
			if _, werr := dst.Write(held); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold reads what else is sent until a time. The error is io.EOF if the sender has closed the
// channel, and another one if it has reset it.
func hold(src net.Conn, until time.Time) (more []byte, err error) {
	src.SetReadDeadline(until)
	defer src.SetReadDeadline(time.Time{})
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		more = append(more, buf[:n]...)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return more, nil
		case err != nil:
			time.Sleep(time.Until(until))
			return more, err
		}
	}
}

// relay accepts channels and forwards them to target. linksOf returns the links of the
// machine that opened a channel.
func relay(ln net.Listener, target string, linksOf func(c net.Conn) *cutLinks, look func(l *cutLinks, b []byte)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			l := linksOf(c)
			if _, cut := l.end(); cut {
				// The opening packets are lost; the caller gives up or begins anew.
				end, _ := l.end()
				time.Sleep(time.Until(end))
				c.Close()
				return
			}
			s, err := net.Dial("tcp", target)
			if err != nil {
				c.Close()
				return
			}
			go forward(c, s, l, func([]byte) {})
			forward(s, c, l, func(b []byte) { look(l, b) })
		}()
	}
}

// ownerOf returns which of the processes has the socket with the local port.
func ownerOf(port int, ns []*node) int {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	want := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 10 || !strings.HasSuffix(f[1], want) {
			continue
		}
		for i, n := range ns {
			fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.cmd.Process.Pid))
			for _, fd := range fds {
				if t, err := os.Readlink(fd); err == nil && t == "socket:["+f[9]+"]" {
					return i
				}
			}
		}
	}
	return -1
}

// order is an order as a server sees it.
type order struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Version  uint64 `json:"version"`
	Expected uint64 `json:"expected"`
	at       time.Time
	answer   int
}

// orderEngine is a model server that takes orders and doesn't check fences.
type orderEngine struct {
	w       *world
	id      string
	mu      sync.Mutex
	version uint64
	seq     uint64
	busy    bool
	loading uint64 // version that is being loaded while busy
	orders  []order
}

func (e *orderEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wrongInstance(w, r, e.id) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "daka510000", "version": e.version, "adapters": []any{}}}, "busy": e.busy,
			"seq": e.seq, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 144588, "handles": 0,
		})
	case "/order":
		b, _ := io.ReadAll(r.Body)
		var o order
		if json.Unmarshal(b, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		o.at, o.answer = time.Now(), http.StatusAccepted
		switch {
		case e.busy && o.Version == e.loading:
			// The order is being carried out.
		case e.busy || o.Expected != e.seq:
			o.answer = http.StatusConflict
		case o.Version <= e.version:
			o.answer = http.StatusOK
		default:
			e.seq, e.busy, e.loading = e.seq+1, true, o.Version
			time.AfterFunc(loadTime, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.version, e.busy = o.Version, false
			})
		}
		e.orders = append(e.orders, o)
		e.w.say("server %s gets an order of %s: version %d, fence %d, expected %d; its answer: %d", e.id, o.Holder, o.Version, o.Fence, o.Expected, o.answer)
		w.WriteHeader(o.answer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// lateOrder cuts off the machine that gives orders while its order is on the way. The order
// arrives after those of the next holder.
func lateOrder(recordPath string) (bool, error) {
	w, err := newWorld(recordPath, 3)
	if err != nil {
		return false, err
	}
	defer w.close()
	links := make([]*cutLinks, len(w.nodes))
	for i, n := range w.nodes {
		links[i] = &cutLinks{}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer ln.Close()
		go relay(ln, w.store.addr, func(net.Conn) *cutLinks { return links[i] }, func(*cutLinks, []byte) {})
		if err := n.setStore(ln.Addr().String()); err != nil {
			return false, err
		}
	}
	e := &orderEngine{w: w, id: "i-7f3a91c2", version: 1}
	eln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	srv := &http.Server{Handler: e}
	go srv.Serve(eln)
	defer srv.Close()
	pln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer pln.Close()
	var once sync.Once
	var cutAt time.Time
	go relay(pln, eln.Addr().String(), func(c net.Conn) *cutLinks {
		if i := ownerOf(c.RemoteAddr().(*net.TCPAddr).Port, w.nodes); i >= 0 {
			return links[i]
		}
		return &cutLinks{}
	}, func(l *cutLinks, b []byte) {
		if w.trouble && bytes.HasPrefix(b, []byte("POST /order")) {
			once.Do(func() {
				l.begin()
				cutAt = time.Now()
				w.say("the machine that gives the first order is cut off from the store and the server for %s", cutLength)
			})
		}
	})
	born := time.Now().UnixMilli()
	stop := make(chan struct{})
	defer close(stop)
	beat := func() {
		e.mu.Lock()
		models := []map[string]any{{"name": "daka510000", "version": e.version, "adapters": []any{}}}
		e.mu.Unlock()
		w.store.put("servers", e.id, entry("huvo11a", pln.Addr().String(), "ready", 64, born, models))
	}
	beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				beat()
			case <-stop:
				return
			}
		}
	}()
	w.store.put("versions", "daka510000", map[string]any{"model": "daka510000", "version": 1})
	w.store.put("config", "main", engineConfig(3, false))
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	rev := w.store.put("versions", "daka510000", map[string]any{"model": "daka510000", "version": 2})
	w.say("version 2 of the weights is named at revision %s", strconv.FormatUint(rev, 10))
	time.Sleep(18 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) == 0 || e.version != 2 {
		return false, fmt.Errorf("the server has not been brought to version 2")
	}
	broken := false
	for i, o := range e.orders {
		for _, p := range e.orders[:i] {
			if o.Holder != p.Holder && o.Fence < p.Fence && o.at.After(cutAt.Add(cutLength+thaw)) {
				w.say("BROKEN: %.1f s after the links have healed, the server gets fence %d of %s after fence %d of %s",
					o.at.Sub(cutAt.Add(cutLength)).Seconds(), o.Fence, o.Holder, p.Fence, p.Holder)
				broken = true
			}
		}
	}
	return broken, nil
}
