package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// In a burst, requests wait at engines for seconds. The limit of replaced weights applies
// to the time at which a request begins, not to the time at which it is sent.
func TestWaitingRequestsDoNotBeginOnOutdatedWeights(t *testing.T) {
	const limit = 12 * time.Second
	const period = 100 * time.Millisecond // of the checks for waiting requests
	for _, tt := range []struct {
		name        string
		sent        time.Duration // time from the announcement of new weights until the requests are sent
		firstBegins time.Duration // time that the first request waits at the engine; zero if all wait until the limit
		replaced    bool          // the engine serves the replaced weights
		withdrawn   int
	}{
		{"sent before the announcement", -time.Second, 0, true, 5},
		{"sent shortly before the engine is avoided", 10400 * time.Millisecond, 0, true, 5},
		{"one of five begins in time", 10400 * time.Millisecond, 200 * time.Millisecond, true, 4},
		{"newest weights", 10 * time.Second, 0, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serves := uint64(1)
			if !tt.replaced {
				serves = 2
			}
			p := sched.New("dc0", &cache{}, sched.WithWeightsLimit(limit))
			p.Update(view(1, same(serves), mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
			at := begin.Add(tt.sent)
			waiting := map[*sched.Attempt]bool{}
			for i := range 5 {
				q := query(i, i)
				c, ok := p.Pick(at, q)
				is.True(ok)
				a := p.Begin(at, q, c)
				waiting[a] = true
				p.OnExpire(a, func() { delete(waiting, a) })
				if i == 0 && tt.firstBegins > 0 {
					p.FirstByte(at.Add(tt.firstBegins), a)
					delete(waiting, a)
				}
			}
			n := 0
			for now := at; now.Before(begin.Add(limit)); now = now.Add(period) {
				n += len(p.ExpireWaiting(now))
			}
			is.Equal(n, tt.withdrawn)
			if tt.replaced {
				is.Equal(len(waiting), 0)
			}
		})
	}
}

// A request is not sent to an engine at which it would wait until the engine's weights
// have reached their limit.
func TestQueueThatOutlastsTheWeightsLimit(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{}, sched.WithWeightsLimit(12*time.Second))
	p.Update(view(1, same(1), mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	at := begin.Add(10 * time.Second)
	for i := range 30 { // each of these prompts takes about 100 ms to compute
		if c, ok := p.Pick(at, query(i, i)); ok {
			is.True(c.Estimate < 2*time.Second)
			p.Begin(at, query(i, i), c)
		}
	}
	_, ok := p.Pick(at, query(31, 31))
	is.True(!ok)
}
