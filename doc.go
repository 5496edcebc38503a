// Package vane is a router for language-model traffic with long shared
// prompts. It defines the value types and the interfaces that the packages of
// the router share; the implementations are in the packages below it and can be
// used one by one.
//
// # Usage
//
// The daemon in cmd/vaned runs the whole router. A program that embeds a part of
// it constructs that part from its package and connects the parts through the
// interfaces of this package:
//
//	st := store.New("http://10.0.0.5:7000", store.WithTimeout(time.Second))
//	pl := place.New()
//	pick, ok := pl.Pick(now, query)
//
// # Decisions and time
//
// Decision logic reads no clock and opens no socket. Its methods take the current
// time as an argument and return the action to take, so that the same code runs
// in the daemon, in a replay and in a test under virtual time.
//
// # Errors
//
// A refused request is reported as a [Refusal]. It carries a [Reason], an
// [Execution] that says whether the request can have reached an upstream, and a
// message that names the remedy. Every other failure is an [Error] with a [Kind].
package vane
