package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
)

// fault is a simulated defect of the new version.
type fault struct {
	name             string
	failureRate      float64 // failure rate in addition to baseFailureRate
	firstTokenFactor float64 // factor on the time to the first token
	tokenGapFactor   float64 // factor on the time between tokens
	route            string  // the only affected route; empty for all
	onsetResults     int     // results of the new version before the fault begins
	fromHalf         bool    // the fault begins at StageHalf, as under load
}

// traffic generates random results of a model's requests.
type traffic struct {
	rnd             *rand.Rand
	baseFailureRate float64 // failure rate of both versions
}

// sample returns one random result. f may be nil.
func (tr *traffic) sample(version, route string, f *fault) canary.Sample {
	uncached := 200 + tr.rnd.IntN(16000)
	if version == "v2" {
		uncached = 200 + tr.rnd.IntN(20000) // the caches of the new version hold less
	}
	wait := tr.rnd.ExpFloat64() * 0.03
	s := canary.Sample{Version: version, Route: route, UncachedTokens: uncached, Failed: tr.rnd.Float64() < tr.baseFailureRate}
	first := wait + float64(uncached)/60_000*(0.9+0.2*tr.rnd.Float64()) + 0.02
	gap := 0.02 * (0.8 + 0.4*tr.rnd.Float64())
	if f != nil {
		s.Failed = s.Failed || tr.rnd.Float64() < f.failureRate
		first *= max(1, f.firstTokenFactor)
		gap *= max(1, f.tokenGapFactor)
	}
	s.FirstToken = time.Duration(first * float64(time.Second))
	s.TokenGap = time.Duration(gap * float64(time.Second))
	return s
}

// result is the outcome of a simulated move.
type result struct {
	stage      canary.Stage
	requests   int // until the end of the move
	exposed    int // requests to the new version
	afterOnset int // requests to the faulty version after the fault began
}

var start = time.Unix(5000, 0)

// run simulates a move in virtual time at a fixed rate of requests per second. f is
// nil for a good version.
func run(seed uint64, f *fault) result {
	const rate, routes, most = 45, 5, 40_000
	rnd := rand.New(rand.NewPCG(seed, 17))
	tr := &traffic{rnd: rnd, baseFailureRate: []float64{0, 0.002, 0.01}[seed%3]}
	m := canary.Move{From: "v1", To: "v2"}
	c := canary.NewComparison(m.From, m.To)
	var r result
	stageAt, goodAt := 0, 0
	for r.requests = 0; r.requests < most && m.InProgress(); r.requests++ {
		route := fmt.Sprint("w", rnd.IntN(routes))
		version := "v1"
		if rnd.Float64() < m.Share() {
			version = "v2"
			r.exposed++
		}
		active := f != nil && version == "v2" && c.Results() >= f.onsetResults && (f.route == "" || f.route == route) &&
			(!f.fromHalf || m.Stage >= canary.StageHalf)
		var on *fault
		if active {
			on = f
			r.afterOnset++
		}
		x := tr.sample(version, route, on)
		x.At = start.Add(time.Duration(r.requests) * time.Second / rate)
		c.Add(x)
		if v, bad := c.Regression(); bad {
			m = m.RollBack(v)
			break
		}
		dwell := time.Duration(r.requests-stageAt) * time.Second / rate
		if next, ok := m.Next(dwell, c.Good()-goodAt); ok {
			m, stageAt, goodAt = next, r.requests, c.Good()
		}
	}
	r.stage = m.Stage
	return r
}

// faults are the faults of the bad versions, which take turns.
var faults = []fault{
	{name: "fails always", failureRate: 1},
	{name: "fails at times", failureRate: 0.2},
	{name: "fails on one route", failureRate: 1, route: "w3"},
	{name: "fails later", failureRate: 0.5, onsetResults: 60},
	{name: "fails under load", failureRate: 0.3, fromHalf: true},
	{name: "slow first token", firstTokenFactor: 2},
	{name: "slow first token on one route", firstTokenFactor: 3, route: "w1"},
	{name: "slow tokens", tokenGapFactor: 1.5},
	{name: "slow tokens later", tokenGapFactor: 2, onsetResults: 100},
}

// TestThousandMoves runs 1,000 seeded moves, half of them to a bad version with one of
// the faults. At least 99 % of the bad versions must be rolled back, and at most 1 %
// of the good ones.
func TestThousandMoves(t *testing.T) {
	is := is.New(t)
	const moves = 1000
	missed, wrong, exposed, requests := 0, 0, 0, 0
	kinds := map[string]int{}
	for seed := range uint64(moves) {
		if seed%2 == 0 {
			if r := run(seed, nil); r.stage != canary.StageDone {
				wrong++
			}
			continue
		}
		f := faults[int(seed/2)%len(faults)]
		r := run(seed, &f)
		if r.stage != canary.StageRolledBack {
			missed++
			kinds[f.name]++
		}
		if f.onsetResults == 0 && !f.fromHalf {
			exposed += r.exposed
			requests += r.requests
		}
	}
	t.Logf("%d moves: %d of 500 bad versions missed %v, %d of 500 good versions rolled back; faults present from the start affect %.2f %% of requests before the rollback",
		moves, missed, kinds, wrong, 100*float64(exposed)/float64(requests))
	is.True(missed <= 5)
	is.True(wrong <= 5)
}

// Guards against the rollback of a good version because pauses delay many of its requests
// at once. Each engine pauses at random for up to 90 ms, some 6 % of the time, and delays
// the requests that arrive meanwhile. Moves to a version as good as the old one must
// complete, and those to one with slow first tokens must be rolled back.
func TestPausesAreNoRegression(t *testing.T) {
	const rate, moves = 250, 200
	for _, tt := range []struct {
		name   string
		factor float64
		stage  canary.Stage
	}{{"good version", 1, canary.StageDone}, {"slow first tokens", 2, canary.StageRolledBack}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			wrong, exposed := 0, 0
			for seed := range uint64(moves) {
				rnd := rand.New(rand.NewPCG(seed, 23))
				m := canary.Move{From: "v1", To: "v2"}
				c := canary.NewComparison(m.From, m.To)
				pausedUntil := map[string]time.Time{}
				now, stageAt, goodAt := start, start, 0
				for m.InProgress() && now.Sub(start) < time.Minute {
					now = now.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
					for _, v := range []string{"v1", "v2"} {
						if now.After(pausedUntil[v]) && rnd.Float64() < 1.3/rate {
							pausedUntil[v] = now.Add(time.Duration(10+rnd.IntN(80)) * time.Millisecond)
						}
					}
					version, factor := "v1", 1.0
					if rnd.Float64() < m.Share() {
						version, factor = "v2", tt.factor
						exposed++
					}
					first := time.Duration(factor * (2 + rnd.Float64()) * float64(time.Millisecond))
					if p := pausedUntil[version]; p.After(now) {
						first += 5 * time.Millisecond
					}
					c.Add(canary.Sample{At: now, Version: version, Route: "w", FirstToken: first, UncachedTokens: 1000, TokenGap: time.Millisecond})
					if v, bad := c.Regression(); bad {
						m = m.RollBack(v)
						break
					}
					if next, ok := m.Next(now.Sub(stageAt), c.Good()-goodAt); ok {
						m, stageAt, goodAt = next, now, c.Good()
					}
				}
				if m.Stage != tt.stage {
					wrong++
				}
			}
			t.Logf("%d of %d moves did not end %v; %.1f requests per move reached the new version", wrong, moves, tt.stage, float64(exposed)/moves)
			is.True(wrong <= moves/100)
		})
	}
}

func TestEvidentFaultStopsSoon(t *testing.T) {
	is := is.New(t)
	c := canary.NewComparison("v1", "v2")
	for range 100 {
		c.Add(canary.Sample{Version: "v1", Route: "w", FirstToken: time.Second, UncachedTokens: 1000, TokenGap: time.Millisecond})
	}
	for range 4 {
		_, bad := c.Regression()
		is.True(!bad)
		c.Add(canary.Sample{Version: "v2", Route: "w", Failed: true})
	}
	v, bad := c.Regression()
	is.True(bad) // four failures in a row are a regression
	is.Equal(v.Reason, vane.ReasonVersionFails)
}

func TestStages(t *testing.T) {
	is := is.New(t)
	m := canary.Move{Model: "m", From: "v1", To: "v2"}
	is.True(m.Share() <= 0.02)
	for _, tt := range []struct {
		dwell time.Duration
		good  int
	}{{canary.MinStageTime, 0}, {0, 1000}} {
		_, ok := m.Next(tt.dwell, tt.good)
		is.True(!ok) // both the time and the results are required
	}
	for m.InProgress() {
		next, ok := m.Next(canary.MinStageTime, 1000)
		is.True(ok)
		is.True(next.Share() >= m.Share())
		m = next
	}
	is.Equal(m.Stage, canary.StageDone)
	is.Equal(m.ActiveVersion(), "v2")
	back := canary.Move{From: "v1", To: "v2"}.RollBack(canary.Regression{Reason: vane.ReasonVersionFails})
	is.Equal(back.Share(), 0.0)
	is.Equal(back.ActiveVersion(), "v1")
	_, ok := back.Next(time.Hour, 1000)
	is.True(!ok) // a rollback is permanent
}

// Results that do not show that the new version works as fast as the old one do not count as
// good ones.
func TestSlowResultsCountAsGood(t *testing.T) {
	for _, tt := range []struct {
		name string
		s    canary.Sample
		good int
	}{
		{"as fast", canary.Sample{FirstToken: 100 * time.Millisecond, TokenGap: 20 * time.Millisecond}, 1},
		{"slow first token", canary.Sample{FirstToken: 400 * time.Millisecond, TokenGap: 20 * time.Millisecond}, 0},
		{"slow tokens", canary.Sample{FirstToken: 100 * time.Millisecond, TokenGap: 80 * time.Millisecond}, 0},
		{"unanswered", canary.Sample{FirstToken: 100 * time.Millisecond, Unanswered: true}, 0},
		{"failed", canary.Sample{Failed: true}, 0},
		{"without times", canary.Sample{}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := canary.NewComparison("v1", "v2")
			for range 50 {
				c.Add(canary.Sample{Version: "v1", Route: "r", FirstToken: 100 * time.Millisecond, TokenGap: 20 * time.Millisecond})
			}
			tt.s.Version, tt.s.Route = "v2", "r"
			c.Add(tt.s)
			is.Equal(c.Good(), tt.good)
		})
	}
}

// After a disturbance of the old version, a slow new version is found by what the old one
// needs now.
func TestSlowVersionAfterADisturbanceOfTheOldOne(t *testing.T) {
	is := is.New(t)
	c := canary.NewComparison("v1", "v2")
	old := func(n int, gap time.Duration) {
		for range n {
			c.Add(canary.Sample{Version: "v1", Route: "r", TokenGap: gap})
		}
	}
	old(100, 25*time.Millisecond)
	old(100, 130*time.Millisecond)
	old(100, 25*time.Millisecond)
	for range 12 {
		c.Add(canary.Sample{Version: "v2", Route: "r", TokenGap: 80 * time.Millisecond})
	}
	_, found := c.Regression()
	is.True(found)
}
