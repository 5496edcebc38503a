package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs as fractions of the worth of one request. Their ratios follow the charges of the
// two sites in docs/design/0010-routed-sites.md.
const (
	lateCost           = 0.7  // cost of an answer whose first token arrives after the objective
	waitCost           = 0.08 // cost of waiting for the whole objective, so that the faster of otherwise equal upstreams is chosen
	oldWeightsCost     = 0.2  // cost of an answer from replaced weights
	recomputeTokenCost = 1e-4 // cost of each shared token that is computed again
	copyTokenCost      = 2e-5 // cost of each shared token that is fetched, since it evicts another one
	remoteByteCost     = 2e-6 // cost of each byte between data centres
	preferenceCost     = 0.03 // cost at a rendezvous hash of 1, and proportionally less at lower ones; prompts with the same parts thus prefer the same upstream
	probationCost      = 0.3  // cost of using an upstream that failed recently, for the risk that it fails again
)

// Estimates of times and rates that are not learned.
const (
	engineFetchMS        = 6.0                     // time to fetch shared parts from another engine
	defaultObjective     = 500 * time.Millisecond  // time within which the first token should arrive
	defaultWeightsLimit  = 12 * time.Second        // default time from the announcement of new weights until engines with older ones get no requests
	newestShare          = 0.7                     // share of the prefill rate of the engines with the newest weights that is used while other engines have older ones
	newestShareManyNodes = 0.45                    // value of newestShare for more than manyNodes nodes, since each learns late what the others send
	manyNodes            = 10                      // number of nodes above which newestShareManyNodes applies
	oldWeightsGrace      = 1500 * time.Millisecond // time after their replacement during which old weights cost nothing
)

// hitProbability is the probability that an engine still holds shared parts that it is
// believed to hold.
const hitProbability = 0.85

// maxStoreMS is a limit in milliseconds. If a fetch from the cache store is estimated to
// take at least this long, the parts are fetched from an engine that holds as many.
const maxStoreMS = 40.0

// StartMargin is the time that a request may wait at a busy engine before it begins.
// Engines get no new requests from this long before the time limit of their weights.
const StartMargin = 1500 * time.Millisecond

// lateProbability returns the estimated probability that an answer misses its objective,
// where x is the estimated time divided by the objective. Above the point where the
// answer is certainly late the result exceeds 1 and grows slowly, so that less late
// upstreams are still preferred.
func lateProbability(x float64) float64 {
	const onTime, late = 0.5, 1.1 // between these ratios the result is uncertain, since estimates err by a factor of about two
	switch {
	case x <= onTime:
		return 0
	case x >= late:
		return 1 + (x-late)/4
	}
	return (x - onTime) / (late - onTime)
}

// rendezvousHash returns a hash in [0, 1) of a key, such as a part's ID, and a name, such
// as an upstream's. It is the same at all nodes.
func rendezvousHash(key, name string) float64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	const bits = 53
	return float64(d.Sum64()>>(64-bits)) / (1 << bits)
}
