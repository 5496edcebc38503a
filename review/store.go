package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry; an entry is removed after
// three of them without a write (PROTOCOL.md, "Service discovery").
const heartbeat = 1200 * time.Millisecond

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create-revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store. It is sound: it loses nothing and
// answers each call.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	log     map[string][]event
	beats   map[string]time.Time // last write of a server's entry
	changed chan struct{}
	srv     *http.Server
	addr    string
}

func newStore() (*store, error) {
	s := &store{
		rev: 1, kinds: map[string]map[string]object{}, log: map[string][]event{}, beats: map[string]time.Time{},
		changed: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(ln)
	go s.expire()
	return s, nil
}

func (s *store) close() { s.srv.Close() }

// expire removes the entries of servers that are silent.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, name)
				if o, ok := s.kinds["servers"][name]; ok {
					s.commit("servers", o, true)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) commit(kind string, o object, deleted bool) object {
	s.rev++
	o.Metadata.Revision = s.rev
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		if _, ok := s.kinds[kind][o.Metadata.Name]; !ok {
			o.Metadata.CreateRevision = s.rev
		}
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.log[kind] = append(s.log[kind], event{o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) uint64 {
	b, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "servers" {
		s.beats[name] = time.Now()
	}
	o, ok := s.kinds[kind][name]
	if ok && string(o.Spec) == string(b) {
		return o.Metadata.Revision
	}
	o.Metadata.Name, o.Spec = name, b
	return s.commit(kind, o, false).Metadata.Revision
}

// remove deletes an object as the operator or a server does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, name)
	if o, ok := s.kinds[kind][name]; ok {
		s.commit(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		json.NewEncoder(w).Encode(v)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		items := []object{}
		for n, o := range s.kinds[kind] {
			if n > q.Get("after") {
				items = append(items, o)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": rev})
	default:
		s.write(w, r, kind, name, len(parts) > 2 && parts[2] == "status")
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		evs := []event{}
		for _, e := range s.log[kind] {
			if e.Object.Metadata.Revision > after {
				evs = append(evs, e)
			}
		}
		rev, ch := s.rev, s.changed
		s.mu.Unlock()
		if len(evs) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": evs, "current-rev": rev})
			return
		}
		select {
		case <-ch:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": evs, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if r.Method != http.MethodDelete && json.Unmarshal(b, &in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	want := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		want, _ = strconv.ParseUint(v, 10, 64)
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "servers" && r.Method != http.MethodDelete {
		s.beats[name] = time.Now()
	}
	o, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && want != 0 && want != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		o.Metadata.Name, o.Spec = name, in.Spec
		reply(w, http.StatusCreated, s.commit(kind, o, false))
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		delete(s.beats, name)
		reply(w, http.StatusOK, s.commit(kind, o, true))
	case status:
		if string(o.Status) != string(in.Status) {
			o.Status = in.Status
			o = s.commit(kind, o, false)
		}
		reply(w, http.StatusOK, o)
	default:
		if string(o.Spec) != string(in.Spec) {
			o.Spec = in.Spec
			o = s.commit(kind, o, false)
		}
		reply(w, http.StatusOK, o)
	}
}
