package rates

import "math"

// Parameters of the fit.
const (
	minErrorMS      = 8.0  // error of an estimate at short times, mostly the steps of the engine's batch
	errorShare      = 0.08 // further error as a share of the time
	queueErrorShare = 0.25 // further error as a share of the delay that the prior expects for other requests, whose number is old news
	rightGuess      = 0.85 // expected share of right guesses about the cache
	guessEvidence   = 10.0 // samples that the expected share counts for
	partlyCached    = 0.1  // weight of the case that the guessed tokens are right, as with prompts of which some parts were cached
	slowWeight      = 0.25 // weight of a sample of an upstream that was slow or fast, since the slowdown may have changed during the request
	usualSlowdown   = 1.25 // slowdown up to which a sample has full weight
	minEvidence     = 3.0  // log-likelihood ratio from which on a fit replaces the prior: 20 to 1
	iterations      = 3    // of the fit at one prefill rate, which begins with the result at the one before
	coarseStep      = 1.3  // ratio of adjacent prefill rates in the search
	fineStep        = 1.06
	fineSteps       = 4 // to each side of the best prefill rate of the coarse search
)

// Standard deviations of the prior.
const (
	prefillDeviation = 0.5 // of the logarithm of the prefill rate
	baseDeviation    = 40.0
	runningDeviation = 0.5
	waitingDeviation = 25.0
)

// cases is the number of cases of what an engine had cached.
const cases = 3

// engineSample is a sample in the form that is fitted.
type engineSample struct {
	ms            float64 // time to the first token in milliseconds, at the usual speed
	busy, waiting float64
	tokens        [cases]float64 // tokens that were computed before the first token, in each case
	missed        float64        // share of the shared tokens that the guess expects not to be cached
	err           float64        // expected error in milliseconds
	weight        float64
}

// newSample returns the sample x, with the slowdown that it was measured at.
func (prior Rates) newSample(x Sample, slowdown float64) engineSample {
	s := engineSample{ms: x.FirstMS / slowdown, busy: x.Busy, waiting: x.Waiting, weight: 1}
	s.tokens = [cases]float64{x.AheadTokens + x.MinTokens, x.AheadTokens + x.Tokens, x.AheadTokens + x.MaxTokens}
	if d := x.MaxTokens - x.MinTokens; d > 0 {
		s.missed = (x.Tokens - x.MinTokens) / d
	}
	s.err = minErrorMS + errorShare*s.ms + queueErrorShare*(prior.RunningMS*x.Busy+prior.WaitingMS*x.Waiting+x.AheadTokens/prior.PrefillPerMS)
	s.err += prior.unknownQueueMS(x)
	if slowdown > usualSlowdown || slowdown < 1/usualSlowdown {
		s.weight = slowWeight
	}
	return s
}

// unknownQueueMS returns the delay that the prior expects for requests that were in the
// queue when x was answered, but were not known when it was sent.
func (prior Rates) unknownQueueMS(x Sample) float64 {
	return prior.WaitingMS * max(0, x.Queued-x.Waiting)
}

// guesses are the probabilities that nothing was cached. They are fitted too, since a
// guess that is often wrong must not count as evidence.
type guesses struct {
	hit, miss float64 // if everything shared was expected to be cached, or nothing
}

// expectedGuesses are the probabilities without samples.
var expectedGuesses = guesses{hit: 1 - rightGuess, miss: rightGuess}

// logPrior returns the logarithm of the prior density of g, up to a constant.
func (g guesses) logPrior() float64 {
	beta := func(p, mean float64) float64 {
		return guessEvidence * (mean*math.Log(p) + (1-mean)*math.Log(1-p))
	}
	return beta(g.hit, expectedGuesses.hit) + beta(g.miss, expectedGuesses.miss)
}

// candidate is one setting of all that is fitted.
type candidate struct {
	EngineRates
	guesses
}

// likelihoods returns the weighted likelihood of each case under r, up to a common factor,
// and the squares of the errors in units of the expected error.
func (s *engineSample) likelihoods(r candidate) (p, z2 [cases]float64) {
	rest := s.ms - r.BaseMS - r.RunningMS*s.busy - r.WaitingMS*s.waiting
	perToken, perErr := 1/r.PrefillPerMS, 1/s.err
	missed := (1-s.missed)*r.hit + s.missed*r.miss
	p = [cases]float64{(1 - partlyCached) * (1 - missed), partlyCached, (1 - partlyCached) * missed}
	for k := range cases {
		z := (rest - s.tokens[k]*perToken) * perErr
		z2[k] = z * z
		d := 1 + z2[k]*(1/freedom)
		p[k] /= d * d
	}
	return p, z2
}

// freedom is the number of degrees of freedom of the error's distribution. The exponent of
// the density is (freedom+1)/2 = 2.
const freedom = 3.0

// logLikelihood returns the log-likelihood of the samples and of the prior under r, up to
// a constant.
func logLikelihood(prior EngineRates, r candidate, samples []engineSample) float64 {
	square := func(d, deviation float64) float64 { return d * d / (2 * deviation * deviation) }
	sum := -square(math.Log(r.PrefillPerMS/prior.PrefillPerMS), prefillDeviation) - square(r.BaseMS-prior.BaseMS, baseDeviation) -
		square(r.RunningMS-prior.RunningMS, runningDeviation) - square(r.WaitingMS-prior.WaitingMS, waitingDeviation) + r.logPrior()
	for i := range samples {
		p, _ := samples[i].likelihoods(r)
		sum += samples[i].weight * math.Log(p[0]+p[1]+p[2])
	}
	return sum
}

// fitEngine returns the most likely rates, or the prior if the samples are not clearly less
// likely under it.
func fitEngine(prior EngineRates, samples []engineSample) EngineRates {
	r := candidate{prior, expectedGuesses}
	best, bestL := r, math.Inf(-1)
	try := func(prefill float64) {
		if prefill < lowest.PrefillPerMS || prefill > highest.PrefillPerMS {
			return
		}
		r.PrefillPerMS = prefill
		r = fitAt(prior, r, samples)
		if l := logLikelihood(prior, r, samples); l > bestL {
			best, bestL = r, l
		}
	}
	for prefill := lowest.PrefillPerMS; prefill <= highest.PrefillPerMS; prefill *= coarseStep {
		try(prefill)
	}
	r = best
	centre := best.PrefillPerMS
	for i := -fineSteps; i <= fineSteps; i++ {
		try(centre * math.Pow(fineStep, float64(i)))
	}
	if bestL < logLikelihood(prior, fitGuesses(prior, samples), samples)+minEvidence {
		return prior
	}
	return best.EngineRates
}

// fitAt returns the most likely rates with the prefill rate of r, beginning with r. Each
// iteration weighs the cases of the samples by their likelihoods and solves a linear
// least-squares problem.
func fitAt(prior EngineRates, r candidate, samples []engineSample) candidate {
	deviation := [3]float64{baseDeviation, runningDeviation, waitingDeviation}
	low := [3]float64{lowest.BaseMS, lowest.RunningMS, lowest.WaitingMS}
	high := [3]float64{highest.BaseMS, highest.RunningMS, highest.WaitingMS}
	perToken := 1 / r.PrefillPerMS
	for range iterations {
		var a [3][3]float64
		var b [3]float64
		x := [3]float64{prior.BaseMS, prior.RunningMS, prior.WaitingMS}
		for i := range x {
			w := 1 / (deviation[i] * deviation[i])
			a[i][i], b[i] = w, w*x[i]
		}
		var g guessCounts
		for i := range samples {
			s := &samples[i]
			p, z2 := s.likelihoods(r)
			g.add(s, p)
			perSum := (freedom + 1) / (p[0] + p[1] + p[2])
			w, y := 0.0, 0.0
			for k := range cases {
				c := p[k] * perSum / (freedom + z2[k])
				w, y = w+c, y+c*(s.ms-s.tokens[k]*perToken)
			}
			scale := s.weight / (s.err * s.err)
			w, y = w*scale, y*scale
			f := [3]float64{1, s.busy, s.waiting}
			for j := range f {
				b[j] += f[j] * y
				for k := range f {
					a[j][k] += f[j] * f[k] * w
				}
			}
		}
		x = [3]float64{r.BaseMS, r.RunningMS, r.WaitingMS}
		solve(a, b, &x, low, high)
		r.BaseMS, r.RunningMS, r.WaitingMS = x[0], x[1], x[2]
		r.guesses = g.guesses()
	}
	return r
}

// fitGuesses returns the given rates with the most likely probabilities of the guesses.
func fitGuesses(rates EngineRates, samples []engineSample) candidate {
	r := candidate{rates, expectedGuesses}
	for range iterations {
		var g guessCounts
		for i := range samples {
			p, _ := samples[i].likelihoods(r)
			g.add(&samples[i], p)
		}
		r.guesses = g.guesses()
	}
	return r
}

// guessCounts counts the prompts by guess and by what was probably cached.
type guessCounts struct {
	hits, missedHits, misses, missedMisses float64
}

// add counts a sample with the likelihoods of its cases.
func (g *guessCounts) add(s *engineSample, p [cases]float64) {
	if s.tokens[0] == s.tokens[cases-1] {
		return // nothing was guessed
	}
	known := s.weight * (p[0] + p[cases-1]) / (p[0] + p[1] + p[2])
	missed := known * p[cases-1] / (p[0] + p[cases-1])
	g.hits, g.missedHits = g.hits+known*(1-s.missed), g.missedHits+missed*(1-s.missed)
	g.misses, g.missedMisses = g.misses+known*s.missed, g.missedMisses+missed*s.missed
}

// guesses returns the probabilities that follow from the counts and the expected ones.
func (g *guessCounts) guesses() guesses {
	return guesses{
		hit:  (g.missedHits + guessEvidence*expectedGuesses.hit) / (g.hits + guessEvidence),
		miss: (g.missedMisses + guessEvidence*expectedGuesses.miss) / (g.misses + guessEvidence),
	}
}

// solve minimises x'ax/2 - b'x within the bounds, by minimising along each coordinate in
// turn. a must be positive definite.
func solve(a [3][3]float64, b [3]float64, x *[3]float64, low, high [3]float64) {
	const sweeps = 30
	for range sweeps {
		for i := range x {
			rest := b[i]
			for j := range x {
				if j != i {
					rest -= a[i][j] * x[j]
				}
			}
			x[i] = min(max(rest/a[i][i], low[i]), high[i])
		}
	}
}
