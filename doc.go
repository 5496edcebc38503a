// Package vane is a router for language-model traffic with long shared
// prompts. It holds the value types and the interfaces that the parts of the
// router agree on; the implementations live in the packages below it and can
// be embedded one by one.
//
// # Usage
//
// A program that only wants the router runs the daemon in cmd/vaned. A program
// that embeds a part builds it from its own package and passes the interfaces
// of this package between the parts:
//
//	st := store.New("http://10.0.0.5:7000", store.WithTimeout(time.Second))
//	pl := place.New(place.WithPrefillRate(20_000))
//	pick, err := pl.Pick(now, req, upstreams)
//
// # Decisions and time
//
// Decision logic never reads a clock and never opens a socket. Its methods take
// the current time as an argument and return what is to be done, so that the
// same code runs in a daemon, in a replay and in a test under virtual time.
//
// # Errors
//
// A refused request is a [Refusal]. It carries a [Reason], an [Execution] that
// says whether the request can have reached an upstream, and a message that
// names the remedy. Every other failure is an [Error] with a [Kind].
package vane
