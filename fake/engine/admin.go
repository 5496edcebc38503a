package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
)

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    string `json:"kind"`    // load_version or drain
	Version string `json:"version"` // weights to load; unused for drain
	Fence   uint64 `json:"fence"`   // fencing number; must not decrease
}

// recordLoad stores the current load, of which the last 256 are kept, for load reports
// that lag.
func (e *Engine) recordLoad() {
	running, waiting := e.batch.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHistory = append(e.loadHistory, loadSample{at: time.Now(), load: vane.Load{Running: running, Waiting: waiting}})
	if len(e.loadHistory) > 256 {
		e.loadHistory = e.loadHistory[1:]
	}
}

// getLoad handles GET /v1/load. With Faults.LoadLagMS it reports the last load that is
// at least that old, or zero if there is none.
func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.load()
	e.mu.Lock()
	rep := LoadReport{
		Running: running, Waiting: waiting, Slots: e.slots, Draining: e.faults.Draining,
		Incarnation: e.incarnation, Version: e.version,
	}
	if lag := time.Duration(e.faults.LoadLagMS) * time.Millisecond; lag > 0 {
		rep.Running, rep.Waiting = 0, 0
		for _, l := range e.loadHistory {
			if time.Since(l.at) >= lag {
				rep.Running, rep.Waiting = l.load.Running, l.load.Waiting
			}
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rep)
}

// getEvents handles GET /v1/cache_events. It leaves out the events that the faults
// hold back or lose.
func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	f := e.Faults()
	out := []CacheEvent{}
	for _, ev := range e.cache.eventsSince(after, f.EventsHeldBack) {
		if !e.chance(f.EventLossShare) {
			out = append(out, ev)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// order handles POST /v1/orders. It refuses an order with a lower fencing number than
// an earlier one, unless Faults.IgnoreFence is set.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.IgnoreFence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case "load_version":
		e.version = o.Version
		e.cache.clear()
	case "drain":
		e.faults.Draining = true
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}
