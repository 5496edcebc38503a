package member

import (
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Bounds of what is passed on.
const (
	loadLife   = 5 * time.Second // older load reports are not passed on
	crashQueue = 256             // crash reports that wait to be passed on
	crashSeen  = 4096            // crash reports remembered, so that each is passed on once
)

// loadItem is the newest load report of an upstream.
type loadItem struct {
	load *wire.Load
	at   time.Time
}

// crashItem is a crash report that is being passed on.
type crashItem struct {
	report *wire.CrashReport
	sends  int
}

// crashKey identifies a report.
type crashKey struct {
	workspace   string
	fingerprint uint64
	upstream    string
	incarnation uint64
}

// spread are loads and crash reports on their way through the fleet.
type spread struct {
	loads   map[string]loadItem
	turn    int
	crashes []crashItem
	seen    map[crashKey]bool
	order   []crashKey
	onLoad  func(*wire.Load)
	onCrash func(*wire.CrashReport)
}

func newSpread() spread {
	return spread{
		loads: make(map[string]loadItem), seen: make(map[crashKey]bool),
		onLoad: func(*wire.Load) {}, onCrash: func(*wire.CrashReport) {},
	}
}

// OnReports sets the functions that are given the loads and crash reports of other nodes.
func (s *State) OnReports(load func(*wire.Load), report func(*wire.CrashReport)) {
	s.spread.onLoad, s.spread.onCrash = load, report
}

// BroadcastLoad passes a load report on to other nodes.
func (s *State) BroadcastLoad(now time.Time, l *wire.Load) {
	s.spread.loads[l.GetUpstream()] = loadItem{load: l, at: now}
}

// BroadcastCrash passes a report on to other nodes.
func (s *State) BroadcastCrash(st *wire.CrashReport) { s.spread.add(st) }

// add queues a report that was not seen before.
func (r *spread) add(st *wire.CrashReport) bool {
	k := crashKey{st.GetWorkspace(), st.GetFingerprint(), st.GetUpstream(), st.GetIncarnation()}
	if r.seen[k] {
		return false
	}
	r.seen[k] = true
	r.order = append(r.order, k)
	if len(r.order) > crashSeen {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
	if len(r.crashes) < crashQueue {
		r.crashes = append(r.crashes, crashItem{report: st})
	}
	return true
}

// take takes the loads and crash reports of a message.
func (r *spread) take(now time.Time, g *wire.Gossip) {
	for _, l := range g.GetLoads() {
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		if old, ok := r.loads[l.GetUpstream()]; ok && !at.After(old.at) {
			continue
		}
		r.loads[l.GetUpstream()] = loadItem{load: l, at: at}
		r.onLoad(l)
	}
	for _, st := range g.GetCrashes() {
		if r.add(st) {
			r.onCrash(st)
		}
	}
}

// give puts loads and crash reports into a message. Loads take turns.
func (r *spread) give(now time.Time, g *wire.Gossip, rounds int) {
	names := make([]string, 0, len(r.loads))
	for n, it := range r.loads {
		if now.Sub(it.at) > loadLife {
			delete(r.loads, n)
			continue
		}
		names = append(names, n)
	}
	slices.Sort(names)
	for range min(maxLoads, len(names)) {
		r.turn++
		it := r.loads[names[r.turn%len(names)]]
		g.Loads = append(g.Loads, &wire.Load{
			Upstream: it.load.GetUpstream(), Incarnation: it.load.GetIncarnation(), Running: it.load.GetRunning(),
			Waiting: it.load.GetWaiting(), Draining: it.load.GetDraining(), AgeMs: uint32(now.Sub(it.at).Milliseconds()),
		})
	}
	kept := r.crashes[:0]
	for _, it := range r.crashes {
		if len(g.Crashes) < maxCrashes {
			g.Crashes = append(g.Crashes, it.report)
			it.sends++
		}
		if it.sends < rounds {
			kept = append(kept, it)
		}
	}
	r.crashes = kept
}
