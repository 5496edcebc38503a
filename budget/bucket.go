package budget

import "time"

// maxLows bounds the memory of a bucket. With more, refunds are rounded down.
const maxLows = 64

// TakeID names a Take, so that a part of it can be refunded.
type TakeID uint64

// low is a local minimum of the free room, reached just before the change seq.
type low struct {
	seq  TakeID
	room float64 // capacity less level
}

// Bucket is a token bucket with exact refunds. It is not safe for concurrent
// use. Time must not run backwards; earlier times count as the latest one.
type Bucket struct {
	rate  float64
	cap   float64
	level float64
	at    time.Time
	seq   TakeID
	lows  []low // room rises from front to back
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate, capacity float64) *Bucket {
	return &Bucket{rate: rate, cap: capacity, level: capacity, at: now}
}

// NewEmptyBucket returns an empty bucket.
func NewEmptyBucket(now time.Time, rate, capacity float64) *Bucket {
	b := NewBucket(now, rate, capacity)
	b.level = 0
	return b
}

// advance fills the bucket up to now.
func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.level = min(b.cap, b.level+b.rate*d.Seconds())
	b.at = now
}

// Level returns the tokens that could be taken now.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Rate returns the fill rate.
func (b *Bucket) Rate() float64 { return b.rate }

// Capacity returns the highest level.
func (b *Bucket) Capacity() float64 { return b.cap }

// Set changes rate and capacity from now on. The level is cut to the capacity
// but never raised.
func (b *Bucket) Set(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.note()
	b.rate, b.cap = rate, capacity
	b.level = min(b.level, capacity)
}

// Add raises rate, capacity and level, as a transfer from another bucket does.
// Negative amounts lower them; the level is cut to the capacity.
func (b *Bucket) Add(now time.Time, rate, capacity, level float64) {
	b.advance(now)
	b.note()
	b.rate = max(0, b.rate+rate)
	b.cap = max(0, b.cap+capacity)
	b.level = min(b.cap, b.level+level)
}

// Take takes n tokens if they are there.
func (b *Bucket) Take(now time.Time, n float64) (TakeID, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	return b.ForceTake(now, n), true
}

// ForceTake takes n tokens even if the level falls below zero.
func (b *Bucket) ForceTake(now time.Time, n float64) TakeID {
	b.advance(now)
	m := b.note()
	b.level -= n
	return m
}

// note remembers the free room just before a change.
func (b *Bucket) note() TakeID {
	b.seq++
	l := low{seq: b.seq, room: b.cap - b.level}
	for len(b.lows) > 0 && b.lows[len(b.lows)-1].room >= l.room {
		b.lows = b.lows[:len(b.lows)-1]
	}
	b.lows = append(b.lows, l)
	if len(b.lows) > maxLows {
		// The oldest is moved to the place of the next one, which can only make
		// refunds smaller.
		b.lows[1].room = b.lows[0].room
		b.lows = b.lows[1:]
	}
	return b.seq
}

// Refund gives back n tokens of the Take named by the mark, as if they had never
// been taken: tokens that would have overflowed since then stay lost. It returns
// what was given back.
func (b *Bucket) Refund(now time.Time, m TakeID, n float64) float64 {
	b.advance(now)
	room := b.cap - b.level
	i := b.after(m)
	if i < len(b.lows) {
		room = min(room, b.lows[i].room)
	}
	back := min(n, room)
	if back <= 0 {
		return 0
	}
	b.level += back
	b.fill(i, back)
	return back
}

// after returns the index of the first low later than the Take m.
func (b *Bucket) after(m TakeID) int {
	for i, l := range b.lows {
		if l.seq > m {
			return i
		}
	}
	return len(b.lows)
}

// fill lowers the room from index i on and drops the older lows that this hides.
func (b *Bucket) fill(i int, n float64) {
	if i >= len(b.lows) {
		return
	}
	for k := i; k < len(b.lows); k++ {
		b.lows[k].room -= n
	}
	j := i
	for j > 0 && b.lows[j-1].room >= b.lows[i].room {
		j--
	}
	b.lows = append(b.lows[:j], b.lows[i:]...)
}

// Wait returns how long it takes until n tokens are there, and false if they
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
