package sched

import (
	"time"

	"mustardvane.org/vane/mirror"
)

// ReleaseShare limits the requests of a service that may go to a release.
type ReleaseShare struct {
	Release string
	Share   float64 // fraction of the requests; zero if none may
	Faulty  bool    // no request goes to the release, even if no other upstream is left
}

// SetReleaseShares replaces the limits, by service. Services without one are not limited.
func (p *Placer) SetReleaseShares(shares map[string]ReleaseShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases = shares
}

// releaseFilter says to which upstreams of a service a request may go while the service
// is moved to another release.
type releaseFilter struct {
	release string
	only    bool // only to upstreams of the release
	never   bool // only to other upstreams
}

// excludes reports whether the request must not go to u.
func (f releaseFilter) excludes(u *upstream) bool {
	return f.only && u.Release != f.release || f.never && u.Release == f.release
}

// releaseFilter returns the filter for a request. The choice is made by a hash of the
// request ID, so that all attempts at all nodes agree. If the chosen side has no upstream
// in service, the other one is used, unless it is faulty or has not yet shown that it may
// get half of the requests. The caller must hold p.mu.
func (p *Placer) releaseFilter(now time.Time, q Query, target mirror.Weights) releaseFilter {
	s, ok := p.releases[q.Service]
	if !ok {
		return releaseFilter{}
	}
	if s.Faulty {
		return releaseFilter{release: s.Release, never: true}
	}
	draw := rendezvousHash(q.ID, s.Release) < s.Share
	f := releaseFilter{release: s.Release, only: draw, never: !draw}
	for _, u := range p.byService[q.Service] {
		if !f.excludes(u) && u.inService(now) && !u.isCold(now) && !p.excludesDataCentre(q, u.DataCentre) && !p.outdated(now, u, target) {
			return f
		}
	}
	if !draw && s.Share < minProvenShare {
		return f
	}
	return releaseFilter{}
}

// minProvenShare is the share from which on a release may get requests for want of other
// upstreams.
const minProvenShare = 0.5

// InFlightElsewhere returns the number of requests that all nodes have in flight at
// upstreams of the service with other releases.
func (p *Placer) InFlightElsewhere(service, release string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.byService[service] {
		if u.Release != release {
			n += u.inFlight + p.peerInFlight(u.Name)
		}
	}
	return n
}
