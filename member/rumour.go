package member

import (
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Bounds of what is passed on.
const (
	loadLife    = 5 * time.Second // older load reports are not passed on
	strikeQueue = 256             // strikes that wait to be passed on
	strikeSeen  = 4096            // strikes remembered, so that each is passed on once
)

// loadItem is the newest load report of an upstream.
type loadItem struct {
	load *wire.Load
	at   time.Time
}

// strikeItem is a strike that is being passed on.
type strikeItem struct {
	strike *wire.Strike
	sends  int
}

// strikeKey identifies a strike.
type strikeKey struct {
	workspace   string
	fingerprint uint64
	upstream    string
	incarnation uint64
}

// rumours are loads and strikes on their way through the fleet.
type rumours struct {
	loads    map[string]loadItem
	turn     int
	strikes  []strikeItem
	seen     map[strikeKey]bool
	order    []strikeKey
	onLoad   func(*wire.Load)
	onStrike func(*wire.Strike)
}

func newRumours() rumours {
	return rumours{
		loads: make(map[string]loadItem), seen: make(map[strikeKey]bool),
		onLoad: func(*wire.Load) {}, onStrike: func(*wire.Strike) {},
	}
}

// OnRumour sets the functions that are told loads and strikes from other nodes.
func (s *State) OnRumour(load func(*wire.Load), strike func(*wire.Strike)) {
	s.rumours.onLoad, s.rumours.onStrike = load, strike
}

// TellLoad passes a load report on to other nodes.
func (s *State) TellLoad(now time.Time, l *wire.Load) {
	s.rumours.loads[l.GetUpstream()] = loadItem{load: l, at: now}
}

// TellStrike passes a strike on to other nodes.
func (s *State) TellStrike(st *wire.Strike) { s.rumours.add(st) }

// add queues a strike that was not seen before.
func (r *rumours) add(st *wire.Strike) bool {
	k := strikeKey{st.GetWorkspace(), st.GetFingerprint(), st.GetUpstream(), st.GetIncarnation()}
	if r.seen[k] {
		return false
	}
	r.seen[k] = true
	r.order = append(r.order, k)
	if len(r.order) > strikeSeen {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
	if len(r.strikes) < strikeQueue {
		r.strikes = append(r.strikes, strikeItem{strike: st})
	}
	return true
}

// take takes the loads and strikes of a message.
func (r *rumours) take(now time.Time, g *wire.Gossip) {
	for _, l := range g.GetLoads() {
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		if old, ok := r.loads[l.GetUpstream()]; ok && !at.After(old.at) {
			continue
		}
		r.loads[l.GetUpstream()] = loadItem{load: l, at: at}
		r.onLoad(l)
	}
	for _, st := range g.GetStrikes() {
		if r.add(st) {
			r.onStrike(st)
		}
	}
}

// give puts loads and strikes into a message. Loads take turns.
func (r *rumours) give(now time.Time, g *wire.Gossip, rounds int) {
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
	kept := r.strikes[:0]
	for _, it := range r.strikes {
		if len(g.Strikes) < maxStrikes {
			g.Strikes = append(g.Strikes, it.strike)
			it.sends++
		}
		if it.sends < rounds {
			kept = append(kept, it)
		}
	}
	r.strikes = kept
}
