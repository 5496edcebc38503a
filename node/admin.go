package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/internal/reply"
	"mustardvane.org/vane/target"
	"mustardvane.org/vane/wire"
)

// followWait is how long a reader of the time line waits for news.
const followWait = 10 * time.Second

// Status is the answer of GET /v1/status.
type Status struct {
	Node       string            `json:"node"`
	DataCentre string            `json:"data_centre"`
	Ready      bool              `json:"ready"`
	Leaving    bool              `json:"leaving"`
	Revision   uint64            `json:"revision"` // configuration in force
	Keys       KeyStatus         `json:"keys"`
	InFlight   int               `json:"in_flight"`
	Waiting    int               `json:"waiting"`
	Upstreams  []UpstreamStatus  `json:"upstreams"`
	Members    []MemberStatus    `json:"members"`
	Leases     int               `json:"leases"` // budget shards held
	Budgets    []budget.Position `json:"budgets"`
	Moves      []MoveStatus      `json:"moves"`
	Targets    []target.Report   `json:"targets"`
}

// MemberStatus is another node as this one sees it.
type MemberStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Status     string `json:"status"`
}

// KeyStatus says whether the node accepts keys.
type KeyStatus struct {
	Confirmed bool   `json:"confirmed"`
	Why       string `json:"why,omitempty"`
}

// UpstreamStatus is an upstream as the node sees it.
type UpstreamStatus struct {
	Name    string             `json:"name"`
	State   vane.UpstreamState `json:"state"`
	Model   string             `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
}

// adminHandler returns the operators' mux.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, n.Status()) })
	mux.HandleFunc("GET /v1/timeline", n.timeline)
	return mux
}

// ready says whether the node can serve, and if not, why.
func (n *Node) ready() (bool, string) {
	if n.conf.Current().Revision == 0 {
		return false, "no configuration yet"
	}
	if !n.dir.Loaded() {
		return false, "no list of upstreams yet"
	}
	return true, ""
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, why := n.ready()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Status returns what operators see of the node.
func (n *Node) Status() Status {
	ready, _ := n.ready()
	confirmed, why := n.fresh()
	running, waiting := n.gate.Load()
	s := Status{
		Node: n.set.Node.Name, DataCentre: n.set.Node.DataCentre, Ready: ready, Leaving: n.entry.Draining(),
		Revision: n.conf.Current().Revision, Keys: KeyStatus{Confirmed: confirmed, Why: why},
		InFlight: running, Waiting: waiting, Upstreams: []UpstreamStatus{}, Members: []MemberStatus{},
		Leases: n.keeper.Held(), Budgets: n.hub.Positions(time.Now()), Moves: n.moves.Status(time.Now()),
		Targets: n.target.Reports(time.Now()),
	}
	for _, u := range n.dir.All() {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{Name: u.Name, State: u.State, Model: u.Model, Version: u.Version})
	}
	for _, m := range n.peers.View().Members {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, DataCentre: m.DataCentre, Status: statusName(m.Status)})
	}
	return s
}

// statusName returns the short name of a member's status.
func statusName(st wire.Status) string {
	return strings.ToLower(strings.TrimPrefix(st.String(), "STATUS_"))
}

// timeline serves GET /v1/timeline. With follow it waits for news.
func (n *Node) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	seq, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	f := event.Filter{Workspace: q.Get("workspace"), Request: q.Get("request"), Subject: q.Get("subject"), What: q.Get("what")}
	if q.Get("follow") != "" {
		select {
		case <-n.ring.Wake(seq):
		case <-time.After(followWait):
		case <-r.Context().Done():
			return
		}
	}
	reply.JSON(w, n.ring.Since(seq, f))
}
