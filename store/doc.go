// Package store is the client of the platform's object API.
//
// docs/PLATFORM.md describes the protocol. Calls have a timeout and a circuit
// breaker; reads are retried with jittered backoff. If the response to a
// conditional write is lost, the client repeats the write and reads the object
// back to learn the outcome. That requires values that no other writer would
// write, so values should include a nonce.
//
// # Usage
//
//	st := store.New("http://10.0.0.5:7000", store.WithTimeout(time.Second))
//	ver, err := st.Put(ctx, "lease/budget/3", 0, value)
//	switch vane.KindOf(err) {
//	case vane.KindConflict:        // another writer was first
//	case vane.KindUnknownOutcome:  // the outcome is not known; assume neither success nor failure
//	}
//
// # Units
//
// Versions are platform revisions, counted in writes. They never decrease and
// serve as fencing numbers.
package store
