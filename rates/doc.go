// Package rates learns how fast the upstreams of each service work, from what their
// responses show. It reads no clock and does no input or output.
//
// # Usage
//
//	e := rates.New()
//	e.Observe("llm", rates.Sample{FirstMS: 240, MinTokens: 2890, Tokens: 3835, MaxTokens: 9190, Busy: 12})
//	r := e.Engine("llm")
//	ms := r.FirstTokenMS(3835, 12, 0)
//
// Nodes tell each other what they have learned, with [Estimator.Export] and
// [Estimator.Import]. A node uses the values of the others until it has samples itself.
//
// # Load pattern
//
// Engines of different deployments compute between 36 and 112 prompt tokens per
// millisecond, and the work of plain services takes 15 to 60 ms. With fixed rates, all
// estimates of a deployment err in the same direction by a factor of up to 2.5.
//
// # Method
//
// The time to the first token of an engine is modelled as
//
//	BaseMS + tokens/PrefillPerMS + RunningMS*busy + WaitingMS*waiting
//
// and fitted to the latest samples of a service. Whether a prompt's shared parts were
// cached is a guess, so each sample is a mixture of three cases: everything shared was
// cached, the guess is right, nothing was cached. Residuals have Student's t distribution
// with three degrees of freedom, so that single samples far off hardly count. The prior is
// centred on the rates that the estimator was created with. A fit replaces them only if
// the samples are clearly more likely under it.
package rates
