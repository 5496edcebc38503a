package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvEngine is a model server with a KV cache: it finds parts only under the text of
// X-Cache-Salt, and remembers which tenant's request made each.
type kvEngine struct {
	w    *world
	id   string
	mu   sync.Mutex
	made map[string]string // tenant by salt and part
	uses []kvUse
}

// kvUse is a use of a cached part.
type kvUse struct{ request, tenant, part, maker string }

func (e *kvEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wrongInstance(w, r, e.id) {
		return
	}
	if r.URL.Path == "/report" {
		reply(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}, "busy": false,
			"seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 144588, "handles": 0,
		})
		return
	}
	io.Copy(io.Discard, r.Body)
	id, tenant, salt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
	if v := r.Header.Get("X-Expect-Version"); v != "" && v != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	cached := true // a part counts if all parts before it are cached too
	for p := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(p, ":")
		maker, ok := e.made[salt+"\x00"+part]
		if cached = cached && ok; cached {
			e.uses = append(e.uses, kvUse{id, tenant, part, maker})
			e.w.log("server %s: %s of %s uses the cached part %s that a request of %s made, under salt %q", e.id, id, tenant, part, maker, salt)
			continue
		}
		e.w.log("server %s: %s of %s reads part %s, under salt %q", e.id, id, tenant, part, salt)
		e.made[salt+"\x00"+part] = tenant
	}
	e.mu.Unlock()
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", seal)
	h.Set("X-Weight-Versions", "1")
	h.Set("X-Server-Load", "1,0,64")
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= 5; i++ {
		fmt.Fprint(w, streamEvent(i))
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// isolated makes a tenant isolated by a change of the config, and looks whether another
// tenant still uses cached parts that the isolated one's requests made.
func isolated(recordPath string) (bool, error) {
	w, err := newWorld(recordPath, 3)
	if err != nil {
		return false, err
	}
	defer w.close()
	e := &kvEngine{w: w, id: "i-7f3a91c2", made: map[string]string{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	srv := &http.Server{Handler: e}
	go srv.Serve(ln)
	defer srv.Close()
	stop := make(chan struct{})
	defer close(stop)
	born := time.Now().UnixMilli()
	models := []map[string]any{{"name": "daka510000", "version": 1, "adapters": []any{}}}
	beat := func() {
		w.store.put("servers", e.id, entry("huvo11a", ln.Addr().String(), "ready", 64, born, models))
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
	time.Sleep(time.Second)
	const keyA, keyB = "wu3fexd9dnn2ctnfzs98", "9anu6wsjnbanfqasnmgk"
	for i := range 3 {
		if err := ask(w, w.nodes[i].front(), "a"+strconv.Itoa(i), keyA, "5c1e07a2:800,91bd3f06:410,aa0"+strconv.Itoa(i)+":250"); err != nil {
			return false, err
		}
	}
	rev := w.store.put("config", "main", engineConfig(9, w.trouble))
	w.say("config version 9 is acknowledged at revision %d: sese880 is isolated: %t", rev, w.trouble)
	time.Sleep(6 * time.Second) // three times config-deadline-ms
	for i := range 3 {
		if err := ask(w, w.nodes[i].front(), "b"+strconv.Itoa(i), keyB, "5c1e07a2:800,91bd3f06:410,bb0"+strconv.Itoa(i)+":250"); err != nil {
			return false, err
		}
	}
	broken := false
	for _, u := range e.uses {
		if u.tenant == "tati115" && u.maker == "sese880" && w.trouble {
			w.say("BROKEN: request %s of %s uses the part %s that a request of the isolated tenant %s made", u.request, u.tenant, u.part, u.maker)
			broken = true
		}
	}
	return broken, nil
}

// ask sends one stream request and reads its whole answer.
func ask(w *world, addr, id, key, prefix string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/xapu221/2f", strings.NewReader(strings.Repeat("x", 1700)))
	if err != nil {
		return err
	}
	req.Host = host
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Model": "daka510000", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": prefix, "X-Deadline-Ms": "15000", "X-Api-Key": key,
	} {
		req.Header.Set(k, v)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	w.log("request %s at %s: status %d, %d bytes", id, addr, r.StatusCode, len(b))
	if err != nil || r.StatusCode != http.StatusOK {
		return fmt.Errorf("request %s: status %d, %v", id, r.StatusCode, err)
	}
	return nil
}
