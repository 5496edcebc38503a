package sched

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mustardvane.org/vane/mirror"
)

// Bounds of the picture of the cache store's link.
const (
	loadHalfLife = time.Second     // of the memory of what was moved
	maxWaitMS    = 400.0           // transfers that would wait longer are not worth it
	saveAgain    = 6 * time.Second // a part that is not held by then was dropped
	maxSaves     = 8192
	defaultLink  = 140_000.0 // Mbit/s
	defaultToken = 35_136.0  // bytes
)

// storeLoad estimates how busy the cache store's link is, from what this node
// moves and the number of nodes, which all see the same kind of traffic.
type storeLoad struct {
	nodes   float64
	perMS   float64 // tokens that the link carries in a millisecond
	sent    demand  // moved by this node
	perMove float64 // tokens of a usual move
}

// update takes the store's link and the number of nodes.
func (s *storeLoad) update(v *mirror.View) {
	s.nodes = float64(max(1, len(v.Peers)))
	link, token := defaultLink, defaultToken
	if v.Config != nil {
		if c, ok := v.Config.Cache(); ok && c.LinkMbps > 0 {
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
	s.perMS = link * mega / bitsPerByte / token / msPerS
}

// moved notes a transfer.
func (s *storeLoad) moved(now time.Time, tokens int) {
	s.sent.add(now, tokens)
	if s.perMove == 0 {
		s.perMove = float64(tokens)
	}
	s.perMove += (float64(tokens) - s.perMove) / 16
}

// busy returns the share of the link that is in use.
func (s *storeLoad) busy(now time.Time) float64 {
	if s.perMS <= 0 {
		return 0
	}
	return s.sent.perMS(now) * s.nodes / s.perMS
}

// wait returns the milliseconds that a fetch takes.
func (s *storeLoad) wait(now time.Time) float64 {
	const start = 3.0 // setting a transfer up
	if s.perMS <= 0 {
		return start
	}
	own := s.perMove / s.perMS
	b := s.busy(now)
	if b >= 1 {
		return maxWaitMS
	}
	return min(maxWaitMS, start+own+own*b/(1-b))
}

// saveLog remembers which parts were to be saved lately.
type saveLog struct {
	lru *simplelru.LRU[savedPart, time.Time]
}

// newSaveLog returns an empty log.
func newSaveLog() *saveLog {
	l, _ := simplelru.NewLRU[savedPart, time.Time](maxSaves, nil)
	return &saveLog{lru: l}
}

// due says whether a part that the store does not hold should be saved.
func (l *saveLog) due(now time.Time, salt, part string) bool {
	at, ok := l.lru.Get(savedPart{salt, part})
	return !ok || now.Sub(at) > saveAgain
}

// note notes that a part is being saved.
func (l *saveLog) note(now time.Time, salt, part string) { l.lru.Add(savedPart{salt, part}, now) }

// savedPart names a part under its salt.
type savedPart struct{ salt, part string }

// demand is the number of prompt tokens that this node sends to be computed.
type demand struct {
	recent float64 // tokens, decaying
	at     time.Time
}

// decay forgets what was sent long ago.
func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.recent *= math.Exp2(-float64(now.Sub(d.at)) / float64(loadHalfLife))
	}
	d.at = now
}

// add notes tokens that were sent.
func (d *demand) add(now time.Time, tokens int) {
	d.decay(now)
	d.recent += float64(tokens)
}

// perMS returns the tokens sent in a millisecond.
func (d *demand) perMS(now time.Time) float64 {
	d.decay(now)
	return d.recent * math.Ln2 / float64(loadHalfLife.Milliseconds())
}
