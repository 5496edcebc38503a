// Package batch models the batch of one engine. It is a pure function of what is known
// of the engine: it reads no clock and keeps no state.
//
// An engine computes the prompts of new requests in chunks between the tokens of its
// running streams. A request with a long prompt therefore delays the first tokens of the
// requests that arrive after it, and the tokens of the streams that run.
//
// # Usage
//
//	b := batch.Batch{Rates: rates, Running: 5, Prompts: 1, Tokens: 2890}
//	first := b.FirstToken(9190)
//	added := b.AddedPause(9190)
package batch
