package stream

import (
	"fmt"

	"github.com/pkg/errors"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies the failures of a stream. The zero value stands for no failure.
type Kind int

// The kinds of failures: the input ended before the final event (KindBroken) or
// before any event (KindEmpty, also for a response without content), an event
// belongs to another response (KindWrongID), is not the next one (KindGap) or is
// malformed (KindBadEvent, also for a body), or the caller takes no more events
// (KindCallerGone).
const (
	KindNone       Kind = iota // none
	KindBroken                 // broken
	KindEmpty                  // empty
	KindWrongID                // crossed
	KindGap                    // gap
	KindBadEvent               // bad_event
	KindCallerGone             // caller_gone
)

// Error is the error of a failed stream.
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

// Resumable reports whether another upstream can continue the stream.
func (k Kind) Resumable() bool { return k != KindNone && k != KindCallerGone }

// KindOf returns the kind of the first [Error] in the chain of err, or KindNone if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindNone
}
