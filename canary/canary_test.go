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

// fault is what is wrong with a version, from an onset on.
type fault struct {
	name  string
	fail  float64 // added share of failures
	first float64 // factor on first tokens
	gap   float64 // factor on the time between tokens
	route string  // only on this route
	after int     // results of the new version before the onset
	half  bool    // only from the stage half on, as under load
}

// traffic draws outcomes of a model's requests.
type traffic struct {
	rnd  *rand.Rand
	base float64 // share of failures of any version
}

// sample draws one outcome.
func (tr *traffic) sample(version, route string, f *fault) canary.Sample {
	uncached := 200 + tr.rnd.IntN(16000)
	if version == "v2" {
		uncached = 200 + tr.rnd.IntN(20000) // its caches are colder
	}
	wait := tr.rnd.ExpFloat64() * 0.03
	s := canary.Sample{Version: version, Route: route, Uncached: uncached, Failed: tr.rnd.Float64() < tr.base}
	first := wait + float64(uncached)/60_000*(0.9+0.2*tr.rnd.Float64()) + 0.02
	gap := 0.02 * (0.8 + 0.4*tr.rnd.Float64())
	if f != nil {
		s.Failed = s.Failed || tr.rnd.Float64() < f.fail
		first *= max(1, f.first)
		gap *= max(1, f.gap)
	}
	s.First = time.Duration(first * float64(time.Second))
	s.Gap = time.Duration(gap * float64(time.Second))
	return s
}

// result is what became of a move.
type result struct {
	stage    canary.Stage
	requests int // until the end
	exposed  int // requests that the new version got before it was stopped
	onset    int // requests to the faulty version from the onset to the stop
}

// run moves a model in virtual time at a rate of requests a second.
func run(seed uint64, f *fault) result {
	const rate, routes, most = 45, 5, 40_000
	rnd := rand.New(rand.NewPCG(seed, 17))
	tr := &traffic{rnd: rnd, base: []float64{0, 0.002, 0.01}[seed%3]}
	m := canary.Move{From: "v1", To: "v2"}
	e := canary.NewEvidence(m.From, m.To)
	var r result
	stageAt, goodAt := 0, 0
	for r.requests = 0; r.requests < most && m.Open(); r.requests++ {
		route := fmt.Sprint("w", rnd.IntN(routes))
		version := "v1"
		if rnd.Float64() < m.Share() {
			version = "v2"
			r.exposed++
		}
		active := f != nil && version == "v2" && e.Results() >= f.after && (f.route == "" || f.route == route) &&
			(!f.half || m.Stage >= canary.StageHalf)
		var on *fault
		if active {
			on = f
			r.onset++
		}
		e.Add(tr.sample(version, route, on))
		if v, bad := e.Verdict(); bad {
			m = m.TakeBack(v)
			break
		}
		dwell := time.Duration(r.requests-stageAt) * time.Second / rate
		if next, ok := m.Next(dwell, e.Good()-goodAt); ok {
			m, stageAt, goodAt = next, r.requests, e.Good()
		}
	}
	r.stage = m.Stage
	return r
}

// faults are mixed over the bad moves.
var faults = []fault{
	{name: "fails always", fail: 1},
	{name: "fails at times", fail: 0.2},
	{name: "fails on one route", fail: 1, route: "w3"},
	{name: "fails later", fail: 0.5, after: 60},
	{name: "fails under load", fail: 0.3, half: true},
	{name: "slow first token", first: 2},
	{name: "slow first token on one route", first: 3, route: "w1"},
	{name: "slow tokens", gap: 1.5},
	{name: "slow tokens later", gap: 2, after: 100},
}

// TestThousandMoves runs 1,000 seeded moves, half of them of bad versions with the
// kinds of faults mixed. At least 99 in 100 bad versions must be taken back, and at
// most 1 in 100 good ones.
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
		if r.stage != canary.StageTakenBack {
			missed++
			kinds[f.name]++
		}
		if f.after == 0 && !f.half {
			exposed += r.exposed
			requests += r.requests
		}
	}
	t.Logf("%d moves: %d of 500 bad ones missed %v, %d of 500 good ones taken back; faults from the start reach %.2f %% of requests before the stop",
		moves, missed, kinds, wrong, 100*float64(exposed)/float64(requests))
	is.True(missed <= 5)
	is.True(wrong <= 5)
}

func TestEvidentFaultStopsSoon(t *testing.T) {
	is := is.New(t)
	e := canary.NewEvidence("v1", "v2")
	for range 100 {
		e.Add(canary.Sample{Version: "v1", Route: "w", First: time.Second, Uncached: 1000, Gap: time.Millisecond})
	}
	for range 4 {
		_, bad := e.Verdict()
		is.True(!bad)
		e.Add(canary.Sample{Version: "v2", Route: "w", Failed: true})
	}
	v, bad := e.Verdict()
	is.True(bad) // four failures in a row convict
	is.Equal(v.Reason, vane.ReasonVersionFails)
}

func TestStages(t *testing.T) {
	is := is.New(t)
	m := canary.Move{Model: "m", From: "v1", To: "v2"}
	is.True(m.Share() <= 0.02)
	for _, tt := range []struct {
		dwell time.Duration
		good  int
	}{{canary.Dwell, 0}, {0, 1000}} {
		_, ok := m.Next(tt.dwell, tt.good)
		is.True(!ok) // both time and results are needed
	}
	for m.Open() {
		next, ok := m.Next(canary.Dwell, 1000)
		is.True(ok)
		is.True(next.Share() >= m.Share())
		m = next
	}
	is.Equal(m.Stage, canary.StageDone)
	is.Equal(m.Carrier(), "v2")
	back := canary.Move{From: "v1", To: "v2"}.TakeBack(canary.Verdict{Reason: vane.ReasonVersionFails})
	is.Equal(back.Share(), 0.0)
	is.Equal(back.Carrier(), "v1")
	_, ok := back.Next(time.Hour, 1000)
	is.True(!ok) // for good
}
