package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatch is the longest time that a watch waits.
const maxWatch = 30 * time.Second

// metadata is what the store maintains about an object.
type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create-revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	log     map[string][]event
	changed chan struct{}
	// onWrite is called under mu after each change, with the kind of the object.
	onWrite func(kind string, o object)
}

func newStore() *store {
	return &store{kinds: make(map[string]map[string]object), log: make(map[string][]event), changed: make(chan struct{}), onWrite: func(string, object) {}}
}

// commit records a change of an object. The caller must hold mu.
func (s *store) commit(kind string, o object, deleted bool) object {
	s.rev++
	o.Metadata.Revision = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.log[kind] = append(s.log[kind], event{o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	s.onWrite(kind, o)
	return o
}

// put writes the spec of an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, b
	s.commit(kind, o, false)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.commit(kind, o, true)
	}
}

// status returns the status of an object.
func (s *store) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodGet && name == "" {
		s.list(w, r, kind)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	have, found := s.kinds[kind][name]
	want := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, have)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.commit(kind, object{Metadata: metadata{Name: name}, Spec: in.Spec}, false))
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, have)
	case want != 0 && want != have.Metadata.Revision:
		reply(w, http.StatusConflict, have)
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.commit(kind, have, true))
	case r.Method == http.MethodPut && status:
		have.Status = in.Status
		reply(w, http.StatusOK, s.commit(kind, have, false))
	case r.Method == http.MethodPut:
		have.Spec = in.Spec
		reply(w, http.StatusOK, s.commit(kind, have, false))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// list answers a call for the objects of a kind, or for their changes.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	if !q.Has("watch") {
		s.mu.Lock()
		defer s.mu.Unlock()
		items := make([]object, 0, len(s.kinds[kind]))
		for _, o := range s.kinds[kind] {
			if o.Metadata.Name > q.Get("after") {
				items = append(items, o)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.rev})
		return
	}
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxWatch))
	for last := false; ; {
		s.mu.Lock()
		events, rev, changed := []event{}, s.rev, s.changed
		for _, e := range s.log[kind] {
			if e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
