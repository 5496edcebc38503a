package batch

import (
	"math"
	"time"
)

// Limits and defaults of the model.
const (
	DefaultChunk = 4096 // prompt tokens of one prompt that an engine is assumed to compute in a step, the larger of the usual sizes
	minPerMS     = 1    // lowest rate in tokens per millisecond that is believed, so that no estimate divides by zero
	maxSlowdown  = 20   // highest slowdown that is believed
)

// Rates are the rates of an engine that works as fast as usual.
type Rates struct {
	PrefillPerMS float64 // prompt tokens computed per millisecond
	BaseMS       float64 // time to the first token at an idle engine in milliseconds, not counting the computation of the prompt
	RunningMS    float64 // delay of a first token in milliseconds for each running request, which is part of each step
	WaitingMS    float64 // delay of a first token in milliseconds for each request that has no slot yet
}

// Batch is what is known or expected of the requests at one engine. Numbers of requests
// and tokens are expected values, so that they need not be whole. Values that are not
// finite, or negative, count as zero.
type Batch struct {
	Rates    Rates
	Running  float64 // requests in the batch
	Waiting  float64 // requests that wait for a slot
	Prompts  float64 // requests whose prompts are not computed yet
	Tokens   float64 // prompt tokens that are not computed yet, of all requests
	Chunk    int     // tokens of one prompt computed in a step; DefaultChunk if zero or less
	Slowdown float64 // factor by which the engine takes longer than usual; 1 if zero or less
}

// FirstToken estimates the time until the first token of a new request with that many
// prompt tokens to compute. All outstanding prompts are assumed to be computed before it.
func (b Batch) FirstToken(tokens float64) time.Duration {
	r := b.Rates
	return duration(b.slowdown() * (r.BaseMS + r.RunningMS*amount(b.Running) + r.WaitingMS*amount(b.Waiting) + b.prefillMS(amount(b.Tokens)+amount(tokens))))
}

// Pause estimates the longest time between two tokens of a running stream because of the
// outstanding prompts. An engine computes at most a chunk of each prompt in a step. Some
// engines compute a chunk of only one, but nothing tells them apart, and a pause that is
// estimated too long costs less than one that is not expected.
func (b Batch) Pause() time.Duration { return duration(b.pauseMS(amount(b.Prompts), amount(b.Tokens))) }

// AddedPause estimates by how much a new request with that many prompt tokens to compute
// lengthens the pauses of the running streams.
func (b Batch) AddedPause(tokens float64) time.Duration {
	prompts, sum := amount(b.Prompts), amount(b.Tokens)
	return duration(b.pauseMS(prompts+1, sum+amount(tokens)) - b.pauseMS(prompts, sum))
}

// pauseMS returns the milliseconds that a step computes prompts.
func (b Batch) pauseMS(prompts, tokens float64) float64 {
	chunk := float64(b.Chunk)
	if b.Chunk <= 0 {
		chunk = DefaultChunk
	}
	return b.slowdown() * b.prefillMS(min(tokens, chunk*max(1, prompts)))
}

// prefillMS returns the milliseconds that the engine computes the tokens at its usual rate.
func (b Batch) prefillMS(tokens float64) float64 {
	return tokens / max(minPerMS, amount(b.Rates.PrefillPerMS))
}

// slowdown returns the believed slowdown.
func (b Batch) slowdown() float64 {
	if s := amount(b.Slowdown); s > 0 {
		return min(s, maxSlowdown)
	}
	return 1
}

// amount returns x, or zero if x is negative or not finite.
func amount(x float64) float64 {
	if x > 0 && !math.IsInf(x, 1) {
		return x
	}
	return 0
}

// duration converts milliseconds.
func duration(ms float64) time.Duration {
	return time.Duration(min(amount(ms), float64(math.MaxInt64/int64(time.Millisecond)/2)) * float64(time.Millisecond))
}
