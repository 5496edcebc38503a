package sched

import "time"

// prefillUnit is the number of prompt tokens in a unit of the outstanding prompts that
// nodes tell each other.
const prefillUnit = 1024

// peerLoad is what another node told of its requests.
type peerLoad struct {
	inFlight map[string]int // number of requests by upstream
	prefill  map[string]int // outstanding prompt tokens by engine, in units of prefillUnit
	told     bool           // prefill is known, also if it is empty
	at       int64          // time of the message in milliseconds since the placer's epoch
}

// peerTotal sums what the other nodes told of one upstream.
type peerTotal struct {
	inFlight int   // requests in flight
	untold   int   // those of nodes that do not tell their outstanding prompts
	prefill  int64 // outstanding prompt tokens in units of prefillUnit
	weighted int64 // sum of the units, each times the time of its message
}

// prefillLeft estimates the outstanding prompt tokens at the time now, in milliseconds
// since the epoch, if the engine has computed them at the given rate since the messages.
// The prompts sent since then are not known, but the same at all engines on average.
// Messages are up to seconds old, in which most prompts are computed; if they counted as
// outstanding, all nodes would avoid the same engines and overload the others.
func (t peerTotal) prefillLeft(now int64, perMS float64) float64 {
	if t.prefill <= 0 {
		return 0
	}
	age := max(0, float64(now)-float64(t.weighted)/float64(t.prefill))
	return max(0, float64(t.prefill*prefillUnit)-perMS*age)
}

// addPeer adds l to the totals, or subtracts it if sign is -1.
func (p *Placer) addPeer(l peerLoad, sign int) {
	update := func(name string, change func(*peerTotal)) {
		t := p.peerTotals[name]
		change(&t)
		if t == (peerTotal{}) {
			delete(p.peerTotals, name)
			return
		}
		p.peerTotals[name] = t
	}
	for name, n := range l.inFlight {
		update(name, func(t *peerTotal) {
			t.inFlight += sign * n
			if !l.told {
				t.untold += sign * n
			}
		})
	}
	for name, n := range l.prefill {
		update(name, func(t *peerTotal) {
			t.prefill += int64(sign * n)
			t.weighted += int64(sign*n) * l.at
		})
	}
}

// setPeer replaces what another node told. Without requests in flight, the node is
// removed. The caller must hold p.mu.
func (p *Placer) setPeer(node string, l peerLoad) {
	p.addPeer(p.peers[node], -1)
	if len(l.inFlight) == 0 {
		delete(p.peers, node)
		return
	}
	p.addPeer(l, 1)
	p.peers[node] = l
}

// sinceEpoch returns the milliseconds since the first message of another node.
func (p *Placer) sinceEpoch(now time.Time) int64 {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch).Milliseconds()
}

// SetPeerInFlight replaces the numbers of requests that another node has in flight, by
// upstream, of which it does not tell the outstanding prompts. The placer keeps the map.
// An empty map removes the node.
func (p *Placer) SetPeerInFlight(node string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPeer(node, peerLoad{inFlight: inFlight})
}

// SetPeerLoad replaces the numbers of requests that another node has in flight, and its
// outstanding prompts as returned by [Placer.Prefill] there. A node that has never told of
// any is taken for one whose build does not. The placer keeps the maps. Numbers of
// outstanding prompts that are negative or larger than maxPeerPrefill are ignored. An
// empty inFlight removes the node.
func (p *Placer) SetPeerLoad(now time.Time, node string, inFlight, prefill map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range prefill {
		if n <= 0 || n > maxPeerPrefill {
			delete(prefill, name)
		}
	}
	if len(prefill) > 0 {
		p.telling[node] = struct{}{}
	}
	_, told := p.telling[node]
	p.setPeer(node, peerLoad{inFlight: inFlight, prefill: prefill, told: told, at: p.sinceEpoch(now)})
}

// maxPeerPrefill is the largest believed number of outstanding prompts of one node at one
// engine, in units of prefillUnit. It is more than the memory of any engine holds.
const maxPeerPrefill = 1 << 14

// KeepPeersInFlight removes the nodes for which keep returns false, such as those that are
// down, from the requests in flight and from the learned rates.
func (p *Placer) KeepPeersInFlight(keep func(node string) bool) {
	p.mu.Lock()
	p.rates.KeepPeers(keep)
	var gone []string
	for node := range p.peers {
		if !keep(node) {
			gone = append(gone, node)
		}
	}
	p.mu.Unlock()
	for _, node := range gone {
		p.forgetPeer(node)
	}
}

// forgetPeer removes a node, which may be started again with another build.
func (p *Placer) forgetPeer(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.telling, node)
	p.setPeer(node, peerLoad{})
}

// peerInFlight returns the number of requests that the other nodes have in flight at an
// upstream. The caller must hold p.mu.
func (p *Placer) peerInFlight(name string) int { return p.peerTotals[name].inFlight }

// Prefill returns the prompt tokens of this node's requests that are not computed yet, by
// engine, in units of 1,024 tokens. Engines with less than half a unit are left out.
func (p *Placer) Prefill() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int)
	for name, u := range p.upstreams {
		if n := (u.pending + prefillUnit/2) / prefillUnit; n > 0 {
			out[name] = n
		}
	}
	return out
}
