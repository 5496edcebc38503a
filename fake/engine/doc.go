// Package engine simulates a model engine.
//
// It serves chat completions, plain and streamed. Each generated token depends only
// on the prompt and the token's offset, so that a test can tell a complete response
// from a damaged one. The engine batches requests in a fixed number of slots, prefills
// one prompt at a time and serves requests by priority. It keeps a bounded prefix
// cache, can report its load with a delay, resumes a stream at an offset and accepts
// orders with fencing numbers, as docs/UPSTREAMS.md describes.
//
// # Usage
//
//	e := engine.New("e1", engine.WithModel("quill", "v1"), engine.WithSlots(8))
//	srv, err := fake.Listen("127.0.0.1:0", e)
//	e.SetFaults(engine.Faults{CutAfterTokens: 10})
package engine
