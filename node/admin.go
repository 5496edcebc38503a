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

// followTimeout limits how long a time line request with follow waits for a new
// event.
const followTimeout = 10 * time.Second

// Status is the JSON answer of GET /v1/status.
type Status struct {
	Node       string                `json:"node"`
	DataCentre string                `json:"data_centre"`
	Ready      bool                  `json:"ready"`
	Leaving    bool                  `json:"leaving"`
	Revision   uint64                `json:"revision"` // revision of the configuration in force; 0 if there is none yet
	Keys       KeyStatus             `json:"keys"`
	InFlight   int                   `json:"in_flight"` // requests admitted and not yet completed
	Waiting    int                   `json:"waiting"`   // requests queued for admission
	Upstreams  []UpstreamStatus      `json:"upstreams"`
	Members    []MemberStatus        `json:"members"`
	Leases     int                   `json:"leases"` // number of budget shards whose lease the node holds
	Budgets    []budget.LedgerStatus `json:"budgets"`
	Moves      []MoveStatus          `json:"moves"`
	Targets    []target.Report       `json:"targets"`
}

// MemberStatus is the status of another node in this node's view.
type MemberStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Status     string `json:"status"`
}

// KeyStatus says whether the node accepts callers' keys. Reason is empty if it does.
type KeyStatus struct {
	Confirmed bool   `json:"confirmed"`
	Reason    string `json:"why,omitempty"`
}

// UpstreamStatus is the status of an upstream in this node's view.
type UpstreamStatus struct {
	Name    string             `json:"name"`
	State   vane.UpstreamState `json:"state"`
	Model   string             `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
}

// adminHandler returns the handler of the operators' HTTP interface.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, n.Status()) })
	mux.HandleFunc("GET /v1/timeline", n.timeline)
	return mux
}

// ready reports whether the node can serve requests, and returns the reason if it
// can't.
func (n *Node) ready() (bool, string) {
	if n.config.Current().Revision == 0 {
		return false, "no configuration yet"
	}
	if !n.directory.Loaded() {
		return false, "no list of upstreams yet"
	}
	return true, ""
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := n.ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Status returns the answer of GET /v1/status.
func (n *Node) Status() Status {
	ready, _ := n.ready()
	confirmed, reason := n.keysConfirmed()
	running, waiting := n.gate.Load()
	s := Status{
		Node: n.settings.Node.Name, DataCentre: n.settings.Node.DataCentre, Ready: ready, Leaving: n.entry.Draining(),
		Revision: n.config.Current().Revision, Keys: KeyStatus{Confirmed: confirmed, Reason: reason},
		InFlight: running, Waiting: waiting, Upstreams: []UpstreamStatus{}, Members: []MemberStatus{},
		Leases: n.leases.HeldCount(), Budgets: n.allocator.LedgerStatuses(time.Now()), Moves: n.moves.Status(time.Now()),
		Targets: n.targets.Reports(time.Now()),
	}
	for _, u := range n.directory.All() {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{Name: u.Name, State: u.State, Model: u.Model, Version: u.Version})
	}
	for _, m := range n.peers.View().Members {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, DataCentre: m.DataCentre, Status: statusName(m.Status)})
	}
	return s
}

// statusName returns a member's status in lower case without the enum prefix, for
// example "alive".
func statusName(st wire.Status) string {
	return strings.ToLower(strings.TrimPrefix(st.String(), "STATUS_"))
}

// timeline serves GET /v1/timeline. With the query parameter follow it waits up to
// 10 s for an event whose sequence number is above the parameter since.
func (n *Node) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	seq, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	f := event.Filter{Workspace: q.Get("workspace"), RequestID: q.Get("request"), Subject: q.Get("subject"), Kind: q.Get("what")}
	if q.Get("follow") != "" {
		select {
		case <-n.events.Updated(seq):
		case <-time.After(followTimeout):
		case <-r.Context().Done():
			return
		}
	}
	reply.JSON(w, n.events.Since(seq, f))
}
