package memory

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what a hold is for.
type Kind int

// The kinds of holds.
const (
	KindHead     Kind = iota // head
	KindBody                 // body
	KindResponse             // response
)

// Unidentified is added to the priority of requests whose caller is not known, so that these never
// evict those of known ones. It is that of request headers, too.
const Unidentified = 1 << 16

// Class says what a hold is for, and how urgent it is.
type Class struct {
	Kind     Kind
	Priority int // of the request; 0 is the highest
}

// State is what the choice of holders to evict knows of a hold.
type State struct {
	Class    Class
	Bytes    int64
	Progress time.Time // when the sender last made progress
	Pinned   bool      // the request may run, so it can't be refused any more
}

// stallTime is the time without progress after which a hold may be evicted in favour of others
// of its priority. Senders on ordinary links pause for less, except after lost packets.
const stallTime = time.Second

// Victims returns the indexes of the holds to be evicted so that at least need bytes become free
// for a hold of the given priority, least deserving first: those with the lowest priority, and
// among them those that have made no progress for the longest time. Only holds of a lower
// priority, or without progress for a second, are evicted. It returns nil if they do not suffice.
func Victims(holds []State, need int64, priority int, now time.Time) []int {
	var order []int
	for i, h := range holds {
		if h.Pinned || h.Bytes == 0 || h.Class.Priority < priority {
			continue
		}
		if h.Class.Priority > priority || now.Sub(h.Progress) >= stallTime {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := holds[i], holds[j]
		return cmp.Or(-cmp.Compare(a.Class.Priority, b.Class.Priority), a.Progress.Compare(b.Progress), -cmp.Compare(a.Bytes, b.Bytes))
	})
	for n, i := range order {
		if need -= holds[i].Bytes; need <= 0 {
			return order[:n+1]
		}
	}
	return nil
}
