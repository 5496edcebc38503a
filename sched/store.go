package sched

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mustardvane.org/vane/mirror"
)

// Parameters of the model of the cache store.
const (
	rateHalfLife      = time.Second     // time after which recorded tokens count half in a tokenRate
	maxWaitMS         = 400.0           // estimated time of a fetch over a saturated link, long enough that the store is not chosen
	saveRetryInterval = 6 * time.Second // time after which a save has failed if the store does not hold the part
	maxSaves          = 8192            // largest number of remembered saves
	defaultLinkMbps   = 140_000.0       // capacity of the link if it is not configured
	defaultTokenBytes = 35_136.0        // size of one cached token if it is not configured
)

// storeLink estimates the load of the cache store's link from this node's transfers
// multiplied by the number of nodes, since all nodes see the same kind of traffic.
type storeLink struct {
	nodes        float64   // number of nodes; at least 1
	tokensPerMS  float64   // capacity of the link in tokens per millisecond
	transfers    tokenRate // tokens that the engines transfer for this node's requests
	meanTransfer float64   // average number of tokens of a transfer
}

// update sets the capacity of the link and the number of nodes from the view.
func (s *storeLink) update(v *mirror.View) {
	s.nodes = float64(max(1, len(v.Peers)))
	link, token := defaultLinkMbps, defaultTokenBytes
	if v.Config != nil {
		if c, ok := v.Config.CacheStore(); ok && c.LinkMbps > 0 {
			link = c.LinkMbps
		}
		for _, u := range v.Upstreams {
			if e, ok := v.Config.Service(u.Service); ok && e.TokenBytes > 0 {
				token = e.TokenBytes
				break
			}
		}
	}
	const bitsPerByte, mega, msPerS = 8, 1e6, 1e3
	s.tokensPerMS = link * mega / bitsPerByte / token / msPerS
}

// recordTransfer records a transfer from or to the store.
func (s *storeLink) recordTransfer(now time.Time, tokens int) {
	s.transfers.add(now, tokens)
	if s.meanTransfer == 0 {
		s.meanTransfer = float64(tokens)
	}
	s.meanTransfer += (float64(tokens) - s.meanTransfer) / 16
}

// utilisation returns the estimated share of the link's capacity that is in use, which
// can exceed 1.
func (s *storeLink) utilisation(now time.Time) float64 {
	if s.tokensPerMS <= 0 {
		return 0
	}
	return s.transfers.perMS(now) * s.nodes / s.tokensPerMS
}

// waitMS returns the estimated milliseconds that a fetch takes, with the waiting time of
// an M/M/1 queue.
func (s *storeLink) waitMS(now time.Time) float64 {
	const setupMS = 3.0
	if s.tokensPerMS <= 0 {
		return setupMS
	}
	own := s.meanTransfer / s.tokensPerMS
	b := s.utilisation(now)
	if b >= 1 {
		return maxWaitMS
	}
	return min(maxWaitMS, setupMS+own+own*b/(1-b))
}

// saveLog records when engines were last told to save a part to the store.
type saveLog struct {
	lru *simplelru.LRU[savedPart, time.Time]
}

// newSaveLog returns an empty log.
func newSaveLog() *saveLog {
	l, _ := simplelru.NewLRU[savedPart, time.Time](maxSaves, nil)
	return &saveLog{lru: l}
}

// due reports whether a part that the store does not hold should be saved: no save was
// recorded, or the last one is so long ago that it must have failed.
func (l *saveLog) due(now time.Time, salt, part string) bool {
	at, ok := l.lru.Get(savedPart{salt, part})
	return !ok || now.Sub(at) > saveRetryInterval
}

// record records that an engine was told to save a part.
func (l *saveLog) record(now time.Time, salt, part string) { l.lru.Add(savedPart{salt, part}, now) }

// savedPart is a part's ID with its salt.
type savedPart struct{ salt, part string }

// tokenRate is an exponentially weighted rate of tokens. The zero value is a rate of
// zero.
type tokenRate struct {
	recent    float64 // recorded tokens, decayed to updatedAt
	updatedAt time.Time
}

// decay updates the weighted sum to now.
func (d *tokenRate) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.recent *= math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(rateHalfLife))
	}
	d.updatedAt = now
}

// add records tokens.
func (d *tokenRate) add(now time.Time, tokens int) {
	d.decay(now)
	d.recent += float64(tokens)
}

// perMS returns the rate in tokens per millisecond.
func (d *tokenRate) perMS(now time.Time) float64 {
	d.decay(now)
	return d.recent * math.Ln2 / float64(rateHalfLife.Milliseconds())
}
