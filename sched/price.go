package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prices in parts of a request's worth. They are ratios of what the two sites of
// docs/design/0010-routed-sites.md charge.
const (
	lateShare    = 0.7  // lost by an answer after its objective
	delayShare   = 0.08 // lost by waiting for the whole objective, so that less wait wins among equals
	oldShare     = 0.2  // lost by a request on replaced weights
	rereadShare  = 1e-4 // lost by each shared token that is computed again
	copyShare    = 2e-5 // lost by each shared token that is fetched, since it takes the place of another one
	farShare     = 2e-6 // lost by each byte between data centres
	homeShare    = 0.03 // preference of a prompt for the same upstream
	unknownShare = 0.3  // risk of an upstream that failed lately
)

// Estimates of engine times.
const (
	prefillPerMS  = 90.0 // prompt tokens that an engine computes in a millisecond
	stepPerRun    = 0.6  // milliseconds that a running request adds to the first token of another
	engineMS      = 90.0 // from a request to its first token at an idle engine
	engineFetchMS = 6.0  // fetching shared parts from another engine
	waitingMS     = 35.0 // that a request in an upstream's queue adds
	defaultTarget = 500 * time.Millisecond
	defaultLimit  = 12 * time.Second
	newShare      = 0.7  // of what engines with the newest weights can compute, while there are few
	newShareMany  = 0.45 // the same at many nodes, each of which sees late what the others send
	manyNodes     = 10
	oldGrace      = 1500 * time.Millisecond // replaced weights cost nothing for so long
)

// heldChance is the chance that shared parts are still held by an engine that is
// believed to hold them.
const heldChance = 0.85

// engineWaitMS is the wait for the cache store's link from which on other engines
// are asked for parts.
const engineWaitMS = 40.0

// StartMargin is how long a request may wait at a busy engine before it begins:
// engines get no new requests so long before the limit of their weights.
const StartMargin = 1500 * time.Millisecond

// lateRisk returns the risk that an answer is late, for an estimated time as a
// part of the objective.
func lateRisk(x float64) float64 {
	const sure, lost = 0.5, 1.1 // estimates err by a factor of about two
	switch {
	case x <= sure:
		return 0
	case x >= lost:
		return 1 + (x-lost)/4
	}
	return (x - sure) / (lost - sure)
}

// affinity returns a number in [0, 1) that all nodes agree on.
func affinity(part, upstream string) float64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(part)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(upstream)
	const bits = 53
	return float64(d.Sum64()>>(64-bits)) / (1 << bits)
}
