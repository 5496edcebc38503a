// Package store is the client of the platform's object API.
//
// The protocol is written down in docs/PLATFORM.md. Calls have a timeout and a
// circuit breaker; reads are retried with jittered backoff. A conditional write
// whose answer is lost is resolved by repeating it and reading back, which
// needs values that no other writer would write: put a nonce into them.
//
// # Usage
//
//	st := store.New("http://10.0.0.5:7000", store.WithTimeout(time.Second))
//	ver, err := st.Put(ctx, "lease/budget/3", 0, value)
//	switch vane.KindOf(err) {
//	case vane.KindConflict: // another writer was first
//	case vane.KindUnknown:  // the outcome can't be told; act on neither
//	}
//
// # Units
//
// Versions are platform revisions, counted in writes. They only ever rise and
// serve as fencing numbers.
package store
