// Package plain simulates a plain HTTP service that the router fronts beside the
// engines, such as one that books a press or charges for a rental.
//
// It counts how often each operation ran, so that a test can tell whether a request
// that must not be repeated ran at most once.
//
// # Usage
//
//	s := plain.New("b1", "booking")
//	srv, err := fake.Listen("127.0.0.1:0", s)
//	n := s.Runs("op-7")
package plain
