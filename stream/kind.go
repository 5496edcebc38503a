package stream

import (
	"fmt"

	"github.com/pkg/errors"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classes the failures of a stream.
type Kind int

// The kinds of failures.
const (
	KindNone       Kind = iota // none
	KindBroken                 // broken
	KindEmpty                  // empty
	KindWrongID                // crossed
	KindGap                    // gap
	KindBadEvent               // bad_event
	KindCallerGone             // caller_gone
)

// Error is a failed stream.
type Error struct {
	Kind  Kind
	Have  string // what was found
	Want  string // what was expected
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := fmt.Sprintf("stream: %s: have %s, want %s; the stream can be resumed from the last event id", e.Kind, e.Have, e.Want)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Resumable says whether another upstream can go on with the stream.
func (k Kind) Resumable() bool { return k != KindNone && k != KindCallerGone }

// KindOf returns the kind of the first [Error] in the chain of err.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindNone
}
