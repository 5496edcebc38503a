// Package engine is a stand-in of a model engine.
//
// It answers the chat completions protocol, plain and streamed, with words that
// depend only on the prompt and the offset, so that a test can tell a complete
// answer from a damaged one. It batches requests in slots, prefills one prompt
// at a time, keeps a bounded prefix cache in pieces, reports its load with a
// lag, honours priorities, resumes a stream at an offset and takes orders with
// fencing numbers, as docs/UPSTREAMS.md describes.
//
// # Usage
//
//	e := engine.New("e1", engine.WithModel("quill", "v1"), engine.WithSlots(8))
//	srv, err := fake.Listen("127.0.0.1:0", e)
//	e.SetFaults(engine.Faults{CutAfter: 10})
package engine
