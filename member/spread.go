package member

import (
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Limits of the reports that are relayed by gossip.
const (
	loadReportLifetime = 5 * time.Second // older load reports are no longer relayed
	maxQueuedCrashes   = 256             // crash reports being relayed; further ones are not relayed
	maxSeenCrashes     = 4096            // crash reports remembered, so that duplicates are recognised
)

// loadReport is the newest load report of an upstream.
type loadReport struct {
	load *wire.Load
	at   time.Time // when the report was made, by this node's clock
}

// crashReport is a crash report that is being relayed.
type crashReport struct {
	report *wire.CrashReport
	sends  int // messages sent so far that carried the report
}

// crashKey identifies a crash report.
type crashKey struct {
	workspace   string
	fingerprint uint64
	upstream    string
	incarnation uint64
}

// reportRelay relays load and crash reports through the fleet.
type reportRelay struct {
	loads     map[string]loadReport // by upstream
	next      int                   // rotation counter of the load reports in fill
	crashes   []crashReport         // crash reports being relayed
	seen      map[crashKey]bool
	seenOrder []crashKey // keys of seen, oldest first
	onLoad    func(*wire.Load)
	onCrash   func(*wire.CrashReport)
}

func newReportRelay() reportRelay {
	return reportRelay{
		loads: make(map[string]loadReport), seen: make(map[crashKey]bool),
		onLoad: func(*wire.Load) {}, onCrash: func(*wire.CrashReport) {},
	}
}

// OnReports sets the functions that are called with load and crash reports from
// other nodes. Call it before Handle.
func (s *State) OnReports(load func(*wire.Load), crash func(*wire.CrashReport)) {
	s.reports.onLoad, s.reports.onCrash = load, crash
}

// BroadcastLoad queues a load report for gossip to other nodes. It replaces an
// earlier report of the same upstream.
func (s *State) BroadcastLoad(now time.Time, l *wire.Load) {
	s.reports.loads[l.GetUpstream()] = loadReport{load: l, at: now}
}

// BroadcastCrash queues a crash report for gossip to other nodes, unless the same
// report was queued before.
func (s *State) BroadcastCrash(c *wire.CrashReport) { s.reports.add(c) }

// add queues a crash report and returns true, or returns false if the report was
// seen before. If the queue is full, a new report is not queued.
func (r *reportRelay) add(c *wire.CrashReport) bool {
	k := crashKey{c.GetWorkspace(), c.GetFingerprint(), c.GetUpstream(), c.GetIncarnation()}
	if r.seen[k] {
		return false
	}
	r.seen[k] = true
	r.seenOrder = append(r.seenOrder, k)
	if len(r.seenOrder) > maxSeenCrashes {
		delete(r.seen, r.seenOrder[0])
		r.seenOrder = r.seenOrder[1:]
	}
	if len(r.crashes) < maxQueuedCrashes {
		r.crashes = append(r.crashes, crashReport{report: c})
	}
	return true
}

// receive processes the load and crash reports of a message. Each new one is
// delivered and relayed.
func (r *reportRelay) receive(now time.Time, g *wire.Gossip) {
	for _, l := range g.GetLoads() {
		at := now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		if old, ok := r.loads[l.GetUpstream()]; ok && !at.After(old.at) {
			continue
		}
		r.loads[l.GetUpstream()] = loadReport{load: l, at: at}
		r.onLoad(l)
	}
	for _, c := range g.GetCrashes() {
		if r.add(c) {
			r.onCrash(c)
		}
	}
}

// fill adds load and crash reports to a message to be sent. Load reports rotate,
// so that those of all upstreams are sent in turn. A crash report is no longer
// relayed after sends messages have carried it.
func (r *reportRelay) fill(now time.Time, g *wire.Gossip, sends int) {
	names := make([]string, 0, len(r.loads))
	for n, it := range r.loads {
		if now.Sub(it.at) > loadReportLifetime {
			delete(r.loads, n)
			continue
		}
		names = append(names, n)
	}
	slices.Sort(names)
	for range min(maxLoadReports, len(names)) {
		r.next++
		it := r.loads[names[r.next%len(names)]]
		g.Loads = append(g.Loads, &wire.Load{
			Upstream: it.load.GetUpstream(), Incarnation: it.load.GetIncarnation(), Running: it.load.GetRunning(),
			Waiting: it.load.GetWaiting(), Draining: it.load.GetDraining(), AgeMs: uint32(now.Sub(it.at).Milliseconds()),
		})
	}
	kept := r.crashes[:0]
	for _, it := range r.crashes {
		if len(g.Crashes) < maxCrashReports {
			g.Crashes = append(g.Crashes, it.report)
			it.sends++
		}
		if it.sends < sends {
			kept = append(kept, it)
		}
	}
	r.crashes = kept
}
