// Package stream relays streamed answers event by event.
//
// A [Reader] splits a server-sent event stream into events without allocating.
// A [Relay] checks that each event belongs to the request and follows the one
// before it, gives it an id from which any router can resume, and writes it to
// the caller. A stream ends with the event [DONE]; anything else is reported, so
// that a short stream is never taken for a complete one.
//
// # Usage
//
//	rel := stream.NewRelay(w, stream.Position{Token: tok, Next: 0}, "chatcmpl-42")
//	err := rel.Copy(stream.NewReader(body))
//	if err != nil && stream.KindOf(err).Resumable() {
//		// send the request elsewhere with resume_offset rel.Next()
//	}
//
// # Units
//
// Offsets count events from the start of the answer, beginning at zero.
package stream
