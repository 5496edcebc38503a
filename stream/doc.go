// Package stream relays streamed responses event by event.
//
// A [Reader] splits a server-sent event stream into events without allocating.
// A [Relay] checks that each event belongs to the request and follows the one
// before it, gives it an id from which any router can resume, and writes it to
// the caller. A stream ends with the event [DONE]; any other end is an error, so
// that a truncated stream is never taken for a complete one.
//
// # Usage
//
//	rel := stream.NewRelay(w, token, 0, true)
//	err := rel.Copy(stream.NewReader(body), "chatcmpl-42")
//	if err != nil && stream.KindOf(err).Resumable() {
//		// send the request to another upstream with resume_offset rel.NextOffset()
//	}
//
// # Units
//
// Offsets count events from the start of the response, beginning at zero.
package stream
