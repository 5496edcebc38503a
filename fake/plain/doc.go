// Package plain is a stand-in of a plain service beside the engines, such as the
// booking of a press or the charge of a rental.
//
// It counts how often each operation ran, so that a test can tell whether a
// call that may not be repeated ran at most once.
//
// # Usage
//
//	s := plain.New("b1", "booking")
//	srv, err := fake.Listen("127.0.0.1:0", s)
//	n := s.Runs("op-7")
package plain
