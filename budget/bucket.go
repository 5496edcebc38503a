package budget

import "time"

// maxPeaks bounds the memory of a bucket. With more peaks, refunds are rounded
// down.
const maxPeaks = 64

// Mark names a Take, so that a part of it can be refunded.
type Mark uint64

// peak is a local maximum of the level, reached just before the Take seq.
type peak struct {
	seq   Mark
	level float64
}

// Bucket is a token bucket with exact refunds. It is not safe for concurrent
// use. Time must not run backwards; earlier times count as the latest one.
type Bucket struct {
	rate  float64
	cap   float64
	level float64
	at    time.Time
	seq   Mark
	peaks []peak // levels fall from front to back
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate, capacity float64) *Bucket {
	return &Bucket{rate: rate, cap: capacity, level: capacity, at: now}
}

// NewBucketAt returns a bucket with the given level, which may be negative.
func NewBucketAt(now time.Time, rate, capacity, level float64) *Bucket {
	b := NewBucket(now, rate, capacity)
	b.level = min(capacity, level)
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
	b.rate, b.cap = rate, capacity
	b.level = min(b.level, capacity)
}

// Take takes n tokens if they are there.
func (b *Bucket) Take(now time.Time, n float64) (Mark, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	return b.Force(now, n), true
}

// Force takes n tokens even if the level falls below zero.
func (b *Bucket) Force(now time.Time, n float64) Mark {
	b.advance(now)
	b.seq++
	b.push(peak{seq: b.seq, level: b.level})
	b.level -= n
	return b.seq
}

// push adds the newest peak and drops the older ones that it hides.
func (b *Bucket) push(p peak) {
	for len(b.peaks) > 0 && b.peaks[len(b.peaks)-1].level <= p.level {
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	b.peaks = append(b.peaks, p)
	if len(b.peaks) > maxPeaks {
		// The oldest peak is moved to the place of the next one, which can only
		// make refunds smaller.
		b.peaks[1].level = b.peaks[0].level
		b.peaks = b.peaks[1:]
	}
}

// Refund gives back n tokens of the Take named by the mark, as if they had never
// been taken: tokens that would have overflowed since then stay lost. It returns
// what was given back.
func (b *Bucket) Refund(now time.Time, m Mark, n float64) float64 {
	b.advance(now)
	top := b.level
	i := b.after(m)
	if i < len(b.peaks) {
		top = max(top, b.peaks[i].level)
	}
	back := min(n, b.cap-top)
	if back <= 0 {
		return 0
	}
	b.level += back
	b.raise(i, back)
	return back
}

// after returns the index of the first peak later than the Take m.
func (b *Bucket) after(m Mark) int {
	for i, p := range b.peaks {
		if p.seq > m {
			return i
		}
	}
	return len(b.peaks)
}

// raise lifts the peaks from index i on and drops the older ones they hide.
func (b *Bucket) raise(i int, n float64) {
	if i >= len(b.peaks) {
		return
	}
	for k := i; k < len(b.peaks); k++ {
		b.peaks[k].level += n
	}
	j := i
	for j > 0 && b.peaks[j-1].level <= b.peaks[i].level {
		j--
	}
	b.peaks = append(b.peaks[:j], b.peaks[i:]...)
}

// Wait returns how long it takes until n tokens are there, and false if they
// never will be.
func (b *Bucket) Wait(now time.Time, n float64) (time.Duration, bool) {
	b.advance(now)
	if n > b.cap || b.rate <= 0 {
		return 0, n <= b.level
	}
	if n <= b.level {
		return 0, true
	}
	return time.Duration((n-b.level)/b.rate*float64(time.Second)) + time.Microsecond, true
}
