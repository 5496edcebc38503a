package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its changes (history-s of the sheet).
const historyTime = 20 * time.Second

// object is one version of an object.
type object struct {
	name            string
	revision        uint64
	createRevision  uint64
	spec, status    json.RawMessage
	finalizers      json.RawMessage
	deleting, ended bool
	at              time.Time
}

// wire returns the object in the platform's format.
func (o object) wire() map[string]any {
	m := map[string]any{"name": o.name, "revision": o.revision, "create-revision": o.createRevision, "deleting": o.deleting, "finalizers": []any{}}
	if len(o.finalizers) > 0 {
		m["finalizers"] = o.finalizers
	}
	out := map[string]any{"metadata": m, "spec": json.RawMessage("{}"), "status": json.RawMessage("{}")}
	if len(o.spec) > 0 {
		out["spec"] = o.spec
	}
	if len(o.status) > 0 {
		out["status"] = o.status
	}
	return out
}

// store is a stand-in of the platform's store. Each node has an address of its own to it.
type store struct {
	rec *recorder

	mu      sync.Mutex
	rev     uint64
	lost    uint64 // revision up to which the history is gone
	kinds   map[string]map[string]object
	log     map[string][]object
	changed chan struct{}
	told    map[string]time.Time // by kind: last answer to a watch that held events
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rev: 1, kinds: make(map[string]map[string]object), log: make(map[string][]object), told: make(map[string]time.Time), changed: make(chan struct{})}
}

// listen opens an address for the calls of a node and returns it.
func (s *store) listen(node string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) }))
	}()
	return ln.Addr().String()
}

// put writes an object as the operator, a server or another writer does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.name, o.spec = name, b
	s.commit(kind, o)
}

// seen reports whether a node has been told of changes of a kind since a time.
func (s *store) seen(kind string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[kind].After(since)
}

// state returns the state in the status of a roll-out to a target; "" if there is none.
func (s *store) state(service, target string) string {
	var st struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if json.Unmarshal(s.kinds["rollouts"][service].status, &st) != nil || st.Target != target {
		return ""
	}
	return st.State
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		o.ended = true
		s.commit(kind, o)
	}
}

// commit writes an object. The caller must hold mu.
func (s *store) commit(kind string, o object) object {
	s.rev++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.revision, o.at = s.rev, time.Now()
	if _, ok := s.kinds[kind][o.name]; !ok {
		o.createRevision = s.rev
	}
	if o.ended {
		delete(s.kinds[kind], o.name)
	} else {
		s.kinds[kind][o.name] = o
	}
	l := append(s.log[kind], o)
	for len(l) > 0 && time.Since(l[0].at) > historyTime {
		s.lost = max(s.lost, l[0].revision)
		l = l[1:]
	}
	s.log[kind] = l
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) serve(node string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	q := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		s.write(node, w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o.wire())
	case q.Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get("after"))
	}
}

// A page of a list has up to pageItems objects, and ends after pageBytes.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items, more, size := []any{}, false, 0
	for i, n := range names {
		o := s.kinds[kind][n]
		if size += len(o.spec) + len(o.status); i == pageItems || i > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, o.wire())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, o := range s.log[kind] {
			if o.revision > after {
				events = append(events, map[string]any{"object": o.wire(), "deleted": o.ended})
			}
		}
		rev, changed, gone := s.rev, s.changed, after < s.lost
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.mu.Lock()
			s.told[kind] = time.Now()
			s.mu.Unlock()
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write carries out a create, an update or a removal.
func (s *store) write(node string, w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Metadata struct {
			Name       string          `json:"name"`
			Revision   *uint64         `json:"revision"`
			Finalizers json.RawMessage `json:"finalizers"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || len(b) > 0 && json.Unmarshal(b, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	if v := r.URL.Query().Get("revision"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		in.Metadata.Revision = &n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && in.Metadata.Revision != nil && *in.Metadata.Revision != old.revision:
		reply(w, http.StatusConflict, old.wire())
		return
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := old
	next.name = name
	switch {
	case r.Method == http.MethodDelete:
		next.ended = true
	case isStatus:
		next.status = in.Status
	default:
		next.spec, next.finalizers = in.Spec, in.Metadata.Finalizers
		if ok && string(old.spec) == string(next.spec) && string(old.finalizers) == string(next.finalizers) {
			reply(w, http.StatusOK, old.wire()) // changes nothing
			return
		}
	}
	o := s.commit(kind, next)
	s.rec.add("store", "%s wrote %s/%s (%s), revision %d", node, kind, name, r.Method, o.revision)
	reply(w, http.StatusOK, o.wire())
}

// reply sends v as JSON.
func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
