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

// Room returns what is known of the work and the upstreams of a service.
func (p *Placer) Room(now time.Time, service string) admit.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := admit.Room{Nodes: max(1, len(p.view.Peers))}
	var recent, load float64 // upstreams with recent load reports, and the work at them in milliseconds
	plain := true
	for _, u := range p.byService[service] {
		own := u.ownWorkMS()
		r.Own += milliseconds(own)
		if !u.inService(now) {
			continue
		}
		r.InService++
		if u.usable(now) {
			r.Usable++
		}
		if u.Role == vane.RoleEngine {
			plain = false
		}
		if now.Sub(u.loadAt) < recentLoad {
			recent++
			load += u.reportedWorkMS()
		}
	}
	r.Base, r.Parallel = milliseconds(plainRequestMS), milliseconds(plainRequestMS)
	if !plain {
		r.Base, r.Parallel = milliseconds(idleEngineMS), 0 // prompts are computed one after the other
	}
	r.Ordered = !plain
	total := p.workTotals[service]
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

// Work estimates the time for which a request occupies the picked upstream: the computation
// of the prompt, or the service time divided by the requests that a plain service runs at
// once.
func (p *Placer) Work(c Pick) time.Duration {
	if c.Upstream.Role == vane.RoleEngine {
		return milliseconds(float64(c.UncachedTokens) / prefillTokensPerMS)
	}
	return milliseconds(plainRequestMS / float64(max(1, c.Upstream.Slots)))
}

// ownWorkMS returns the work of this node's requests that wait for their answers.
func (u *upstream) ownWorkMS() float64 {
	if u.Role == vane.RoleEngine {
		return float64(u.pending) / prefillTokensPerMS
	}
	return float64(u.inFlight) * plainRequestMS / float64(max(1, u.Slots))
}

// reportedWorkMS returns the work that the last load report tells of.
func (u *upstream) reportedWorkMS() float64 {
	if u.Role == vane.RoleEngine {
		return float64(u.load.Waiting) * waitingRequestMS
	}
	return float64(u.load.Running+u.load.Waiting) * plainRequestMS / float64(max(1, u.Slots))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
