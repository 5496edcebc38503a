package rates_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/rates"
)

// engine generates samples of an engine with known rates.
type engine struct {
	rates.EngineRates
	wrong    float64 // share of the prompts whose cached parts are guessed wrong
	nonsense float64 // share of the samples with arbitrary values
	slow     float64 // share of the samples of a machine that works 2.5 times slower
	stated   bool    // slow machines say so
}

// sample returns one sample: of a long or a short prompt, behind up to 20 other requests,
// with a delay that is not explained by anything known.
func (e engine) sample(r *rand.Rand) rates.Sample {
	if r.Float64() < e.nonsense {
		return rates.Sample{FirstMS: 1 + 30*r.Float64(), Tokens: 5, MaxTokens: 9, Busy: 1e4, Waiting: 1e4, Slowdown: 50}
	}
	own, shared := 2890.0, 6300.0
	if r.IntN(2) == 0 {
		own, shared = 628, 198
	}
	hit := r.Float64() < 0.8
	guessHit := hit != (r.Float64() < e.wrong)
	s := rates.Sample{MinTokens: own, Tokens: own + 0.15*shared, MaxTokens: own + shared, Busy: float64(r.IntN(20)), Slowdown: 1}
	if !guessHit {
		s.Tokens = s.MaxTokens
	}
	if r.IntN(5) == 0 {
		s.Waiting = float64(r.IntN(6))
	}
	computed := own
	if !hit {
		computed += shared
	}
	s.FirstMS = e.FirstTokenMS(computed, s.Busy, s.Waiting)*(0.95+0.1*r.Float64()) + 15*r.ExpFloat64()
	if r.Float64() < e.slow {
		s.FirstMS *= 2.5
		if e.stated {
			s.Slowdown = 2.5
		}
	}
	return s
}

// Guards against estimates that are wrong by a constant factor at sites whose engines
// differ from those that the constants were measured on, and against learning from wrong
// guesses about caches, from nonsense and from slow machines.
func TestRatesAreLearned(t *testing.T) {
	prior := rates.New().Engine("")
	with := func(prefill, base float64) rates.EngineRates {
		return rates.EngineRates{PrefillPerMS: prefill, BaseMS: base, RunningMS: prior.RunningMS, WaitingMS: prior.WaitingMS}
	}
	for _, tt := range []struct {
		name      string
		engine    engine
		tolerance float64 // relative error of the estimated time to the first token of any of the prompts
	}{
		{"as assumed", engine{EngineRates: prior, wrong: 0.1}, 0.1},
		{"slow prefill", engine{EngineRates: with(36.1, 30), wrong: 0.1}, 0.1},
		{"usual prefill, short base time", engine{EngineRates: with(93.6, 30), wrong: 0.1}, 0.1},
		{"fast prefill", engine{EngineRates: with(112, 20), wrong: 0.1}, 0.12},
		{"half of the guesses wrong", engine{EngineRates: with(36.1, 90), wrong: 0.5}, 0.1},
		{"half of the guesses wrong, as assumed", engine{EngineRates: prior, wrong: 0.5}, 0.2},
		{"one of twenty samples is nonsense", engine{EngineRates: with(36.1, 90), wrong: 0.2, nonsense: 0.05}, 0.1},
		{"slow machines that say so", engine{EngineRates: with(36.1, 90), wrong: 0.2, slow: 0.15, stated: true}, 0.1},
		{"slow machines that do not say so", engine{EngineRates: with(112, 60), wrong: 0.2, slow: 0.15}, 0.12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(5) {
				r := rand.New(rand.NewPCG(seed, 9))
				e := rates.New()
				for range 300 {
					e.Observe("llm", tt.engine.sample(r))
				}
				got := e.Engine("llm")
				for _, tokens := range []float64{628, 2890, 9190} {
					estimate, actual := got.FirstTokenMS(tokens, 5, 0), tt.engine.FirstTokenMS(tokens, 5, 0)+10
					if d := math.Abs(estimate-actual) / actual; d > tt.tolerance {
						t.Errorf("seed %d, %v tokens: %.0f ms estimated, %.0f ms actual; %+v", seed, tokens, estimate, actual, got)
					}
				}
			}
		})
	}
}

// Guards against rates that move although the samples agree with them.
func TestRatesStayWithoutEvidence(t *testing.T) {
	is := is.New(t)
	e := rates.New()
	prior := e.Engine("llm")
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		e.Observe("llm", engine{EngineRates: rates.EngineRates{PrefillPerMS: 20, BaseMS: 500}}.sample(r))
		e.Observe("llm", rates.Sample{FirstMS: math.NaN(), Tokens: float64(i)})
		e.Observe("llm", rates.Sample{FirstMS: 9, Tokens: -1})
		e.Observe("llm", rates.Sample{FirstMS: 9, Waiting: math.Inf(1)})
	}
	is.Equal(e.Engine("llm"), prior) // too few samples
	is.Equal(e.Engine("other"), prior)
	for range 400 {
		e.Observe("as assumed", engine{EngineRates: prior, wrong: 0.1}.sample(r))
	}
	is.Equal(e.TakeChanges(), nil) // no rate moved by more than a quarter
}

// Guards against an overload that is taken for slow engines: the estimates would keep
// requests away after its end.
func TestOverloadIsNotSlowness(t *testing.T) {
	is := is.New(t)
	prior := rates.New().Engine("")
	r := rand.New(rand.NewPCG(11, 12))
	for _, stated := range []bool{true, false} {
		e := rates.New()
		for range 400 {
			s := engine{EngineRates: prior, wrong: 0.1}.sample(r)
			queued := 20 + 60*r.Float64()
			if s.FirstMS += 35 * queued; stated {
				s.Queued = queued
			}
			e.Observe("llm", s)
		}
		got := e.Engine("llm").FirstTokenMS(2890, 5, 0)
		t.Logf("queues stated %v: %.0f ms, %.0f ms without overload", stated, got, prior.FirstTokenMS(2890, 5, 0))
		is.True(got < 1500) // an idle engine gets requests, whatever was seen
		is.True(!stated || got < 1.3*prior.FirstTokenMS(2890, 5, 0))
		for range 250 {
			e.Observe("llm", engine{EngineRates: prior, wrong: 0.1}.sample(r))
		}
		is.True(math.Abs(e.Engine("llm").FirstTokenMS(2890, 5, 0)/prior.FirstTokenMS(2890, 5, 0)-1) < 0.2)
	}
}

func TestServiceTimeIsLearned(t *testing.T) {
	for _, work := range []float64{15, 30, 60} {
		t.Run(fmt.Sprint(work), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(3, 4))
			e := rates.New()
			for range 40 {
				busy, queued := float64(r.IntN(12)), 0.0
				if r.IntN(2) == 0 {
					queued = float64(r.IntN(12))
				}
				s := rates.Sample{Plain: true, FirstMS: work*(1+max(0, busy-5, queued)/6) + r.ExpFloat64(), Busy: busy, Queued: queued, Slots: 6, Slowdown: 1}
				if r.IntN(7) == 0 {
					s.FirstMS, s.Slowdown = 2.5*s.FirstMS, 2.5
				}
				e.Observe("plain", s)
				e.ObserveSlowdown("plain", s.Slowdown)
			}
			is.True(math.Abs(e.Plain("plain").WorkMS/work-1) < 0.15)
			is.True(e.Slowdown("plain") > 1 && e.Slowdown("plain") < 1.5)
		})
	}
}

// Guards against a new node that repeats the errors of the constants, and against nodes
// that send nonsense.
func TestPeersRates(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	actual := rates.EngineRates{PrefillPerMS: 36.1, BaseMS: 40, RunningMS: 0.6, WaitingMS: 35}
	node := rates.New()
	is.Equal(len(node.Export()), 0)
	e := rates.New()
	for i := range 3 {
		o := rates.New()
		for range 200 {
			o.Observe("llm", engine{EngineRates: actual}.sample(r))
		}
		e.Import(fmt.Sprint("n", i), o.Export())
	}
	prior := rates.New()
	good := e.Engine("llm")
	is.True(good.PrefillPerMS > 25 && good.PrefillPerMS < 50)
	is.Equal(len(e.Export()), 0) // what was heard is not passed on
	learned := func(prefill float64, samples int) map[string]rates.Learned {
		l := rates.Learned{Rates: rates.Rates{EngineRates: prior.Engine(""), PlainRates: prior.Plain("")}, Samples: samples}
		l.PrefillPerMS = prefill
		return map[string]rates.Learned{"llm": l}
	}
	for i, bad := range []map[string]rates.Learned{
		learned(math.NaN(), 100), learned(math.Inf(1), 100), learned(-3, 100), learned(0, 100), learned(1e9, 100), learned(36, -1), learned(36, 1<<40), {"llm": {}}, nil,
	} {
		e.Import(fmt.Sprint("bad", i), bad)
		is.Equal(e.Engine("llm"), good)
	}
	e.Import("liar", learned(1000, 100)) // within bounds: one of four nodes
	is.True(e.Engine("llm").PrefillPerMS < 1.5*good.PrefillPerMS)
	for _, n := range []string{"n0", "n1", "n2", "liar"} {
		e.Import(n, nil)
	}
	is.Equal(e.Engine("llm"), prior.Engine("llm"))
}

// BenchmarkObserve adds samples of an engine, with a fit after each sixteenth.
func BenchmarkObserve(b *testing.B) {
	r := rand.New(rand.NewPCG(7, 8))
	e := rates.New()
	b.ReportAllocs()
	for b.Loop() {
		e.Observe("llm", engine{EngineRates: rates.EngineRates{PrefillPerMS: 36.1, BaseMS: 40, RunningMS: 0.6, WaitingMS: 35}}.sample(r))
	}
}
