package budget

import "time"

// maxMinima bounds the memory of a bucket. With more minima, refunds are rounded
// down.
const maxMinima = 64

// TakeID identifies a Take, so that part of it can be refunded.
type TakeID uint64

// minimum is a local minimum of the free room, reached just before change seq.
type minimum struct {
	seq  TakeID
	room float64 // capacity minus level, in tokens
}

// Bucket is a token bucket with exact refunds. It is not safe for concurrent use.
// Time must not go backwards; an earlier time is treated as the latest one seen.
type Bucket struct {
	rate      float64
	cap       float64
	level     float64
	updatedAt time.Time
	seq       TakeID
	minima    []minimum // in the order of changes, with increasing room
}

// NewBucket returns a full bucket. The rate is in tokens per second, the capacity in
// tokens.
func NewBucket(now time.Time, rate, capacity float64) *Bucket {
	return &Bucket{rate: rate, cap: capacity, level: capacity, updatedAt: now}
}

// NewEmptyBucket returns an empty bucket.
func NewEmptyBucket(now time.Time, rate, capacity float64) *Bucket {
	b := NewBucket(now, rate, capacity)
	b.level = 0
	return b
}

// advance adds the tokens that have accrued up to now.
func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.updatedAt)
	if d <= 0 {
		return
	}
	b.level = min(b.cap, b.level+b.rate*d.Seconds())
	b.updatedAt = now
}

// Level returns the tokens that are available at the given time. It is negative
// after a ForceTake beyond the level.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Rate returns the fill rate in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Capacity returns the highest possible level in tokens.
func (b *Bucket) Capacity() float64 { return b.cap }

// Set changes rate and capacity from now on. The level is cut to the new capacity
// and is never raised.
func (b *Bucket) Set(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.recordChange()
	b.rate, b.cap = rate, capacity
	b.level = min(b.level, capacity)
}

// Add adds to rate, capacity and level, as in a transfer from another bucket.
// Negative amounts reduce them. The level is cut to the capacity.
func (b *Bucket) Add(now time.Time, rate, capacity, level float64) {
	b.advance(now)
	b.recordChange()
	b.rate = max(0, b.rate+rate)
	b.cap = max(0, b.cap+capacity)
	b.level = min(b.cap, b.level+level)
}

// Take takes n tokens if they are available.
func (b *Bucket) Take(now time.Time, n float64) (TakeID, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	return b.ForceTake(now, n), true
}

// ForceTake takes n tokens even if the level becomes negative.
func (b *Bucket) ForceTake(now time.Time, n float64) TakeID {
	b.advance(now)
	id := b.recordChange()
	b.level -= n
	return id
}

// recordChange records the free room just before a change and numbers the change.
func (b *Bucket) recordChange() TakeID {
	b.seq++
	current := minimum{seq: b.seq, room: b.cap - b.level}
	for len(b.minima) > 0 && b.minima[len(b.minima)-1].room >= current.room {
		b.minima = b.minima[:len(b.minima)-1]
	}
	b.minima = append(b.minima, current)
	if len(b.minima) > maxMinima {
		// Merges the two oldest minima into the smaller room, which can only
		// reduce refunds.
		b.minima[1].room = b.minima[0].room
		b.minima = b.minima[1:]
	}
	return b.seq
}

// Refund gives back n tokens of a Take as if they had never been taken: tokens that
// would have overflowed since then stay lost. It returns the tokens given back.
func (b *Bucket) Refund(now time.Time, id TakeID, n float64) float64 {
	b.advance(now)
	room := b.cap - b.level
	i := b.firstMinimumAfter(id)
	if i < len(b.minima) {
		room = min(room, b.minima[i].room)
	}
	back := min(n, room)
	if back <= 0 {
		return 0
	}
	b.level += back
	b.reduceRoom(i, back)
	return back
}

// firstMinimumAfter returns the index of the first minimum after the given Take.
func (b *Bucket) firstMinimumAfter(id TakeID) int {
	for i, l := range b.minima {
		if l.seq > id {
			return i
		}
	}
	return len(b.minima)
}

// reduceRoom subtracts n from the minima from index i on, and removes the earlier
// minima that no longer have less room than minimum i.
func (b *Bucket) reduceRoom(i int, n float64) {
	if i >= len(b.minima) {
		return
	}
	for k := i; k < len(b.minima); k++ {
		b.minima[k].room -= n
	}
	j := i
	for j > 0 && b.minima[j-1].room >= b.minima[i].room {
		j--
	}
	b.minima = append(b.minima[:j], b.minima[i:]...)
}

// Wait returns the time until n tokens are available. It returns false if they
// never will be.
func (b *Bucket) Wait(now time.Time, n float64) (time.Duration, bool) {
	b.advance(now)
	if n <= b.level {
		return 0, true
	}
	if n > b.cap || b.rate <= 0 {
		return 0, false
	}
	return time.Duration((n-b.level)/b.rate*float64(time.Second)) + time.Microsecond, true
}
