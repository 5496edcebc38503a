package sched

import (
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
)

// recentLoad is the age up to which a load report tells the backlog of an upstream. A
// queue changes within tenths of a second.
const recentLoad = 500 * time.Millisecond

// minRecentLoads is the share of the upstreams whose load reports have to be recent for an
// estimate of the backlog at all of them.
const minRecentLoads = 0.5

// leastDemand is the demand below which a total is the rest of subtractions.
const leastDemand = 1e-9

// SetPeerWork replaces what another node reports of its work, by service. The placer keeps
// the map. An empty map removes the node.
func (p *Placer) SetPeerWork(node string, work map[string]admit.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPeerWork(node, work)
}

// setPeerWork is SetPeerWork for callers that hold p.mu.
func (p *Placer) setPeerWork(node string, work map[string]admit.Report) {
	for service, w := range p.peerWork[node] {
		t := p.workTotals[service]
		p.workTotals[service] = admit.Report{Outstanding: t.Outstanding - w.Outstanding, Waiting: t.Waiting - w.Waiting, Demand: max(0, t.Demand-w.Demand)}
	}
	for service, w := range work {
		t := p.workTotals[service]
		p.workTotals[service] = admit.Report{Outstanding: t.Outstanding + w.Outstanding, Waiting: t.Waiting + w.Waiting, Demand: t.Demand + w.Demand}
	}
	for service := range p.peerWork[node] {
		if t := p.workTotals[service]; t.Outstanding == 0 && t.Waiting == 0 && t.Demand < leastDemand {
			delete(p.workTotals, service)
		}
	}
	if len(work) == 0 {
		delete(p.peerWork, node)
		return
	}
	p.peerWork[node] = work
}

// KeepPeersWork removes the reports of the nodes for which keep returns false.
func (p *Placer) KeepPeersWork(keep func(node string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node := range p.peerWork {
		if !keep(node) {
			p.setPeerWork(node, nil)
		}
	}
}

// Room returns what is known of the work and the upstreams of the query's service. Only the
// service and the regions of the query matter.
func (p *Placer) Room(now time.Time, q Query) admit.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := admit.Room{Nodes: max(1, len(p.view.Peers))}
	var recent, load float64 // upstreams with recent load reports, and the work at them in milliseconds
	plain := true
	v := p.speed(q.Service)
	for _, u := range p.byService[q.Service] {
		r.Own += milliseconds(v.ownMS(u))
		if !u.inService(now) || p.excludesDataCentre(q, u.DataCentre) {
			continue
		}
		if u.isCold(now) {
			r.InService += coldCapacity
		} else {
			r.InService += 1 / max(1, v.factor(now, u))
		}
		if u.usable(now) {
			r.Usable++
		}
		if u.Role == vane.RoleEngine {
			plain = false
		}
		if now.Sub(u.loadAt) < recentLoad {
			recent++
			load += v.reportedMS(u)
		}
	}
	r.Base, r.Parallel = milliseconds(v.WorkMS), milliseconds(v.WorkMS)
	if !plain {
		r.Base, r.Parallel = milliseconds(v.BaseMS), 0 // prompts are computed one after the other
	}
	r.Ordered = !plain
	total := p.workTotals[q.Service]
	r.Peers, r.Waiting, r.PeerDemand = total.Outstanding, total.Waiting, total.Demand
	r.Reporting = len(p.peerWork)
	if recent > 0 && recent >= minRecentLoads*r.InService {
		seen := max(0, milliseconds(load*r.InService/recent)-r.Own)
		if plain {
			r.Peers = seen
		} else {
			r.Peers = max(r.Peers, seen) // the reports don't count the running requests without an answer
		}
	}
	return r
}

// coldCapacity is the capacity of a cold upstream in relation to others. It tolerates a few
// requests a second only.
const coldCapacity = 0.1

// Work estimates the time for which a request occupies the picked upstream: the computation
// of the prompt, or the service time divided by the requests that a plain service runs at
// once.
func (p *Placer) Work(c Pick) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.speed(c.Upstream.Service)
	if c.Upstream.Role == vane.RoleEngine {
		return milliseconds(float64(c.UncachedTokens) / v.PrefillPerMS)
	}
	return milliseconds(v.WorkMS / float64(max(1, c.Upstream.Slots)))
}

// ownMS returns the milliseconds of work of this node's requests that wait for their answers.
func (v speed) ownMS(u *upstream) float64 {
	if u.Role == vane.RoleEngine {
		return float64(u.pending) / v.PrefillPerMS
	}
	return float64(u.inFlight) * v.WorkMS / float64(max(1, u.Slots))
}

// reportedMS returns the milliseconds of work that the last load report tells of.
func (v speed) reportedMS(u *upstream) float64 {
	if u.Role == vane.RoleEngine {
		return float64(u.load.Waiting) * v.WaitingMS
	}
	return float64(u.load.Running+u.load.Waiting) * v.WorkMS / float64(max(1, u.Slots))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
