package quota

import (
	"math"
	"time"
)

// Parameters of the overdraft, which the nodes may take beyond the level while they do not
// know of each other's admissions, so that chance does not make a node refuse what the
// limit has room for. They pay it back before they take another.
const (
	overdraft      = 2.0 // largest overdraft, at a full bucket, as a multiple of overdraftUnit
	overdraftLevel = 0.5 // fraction of the burst up to which there is no overdraft
	ownerOverdraft = 0.5 // overdraft of a workspace's owner, as a multiple of overdraftUnit
)

// grant is one admission that the other nodes may not know of yet.
type grant struct {
	at    time.Time
	units float64
}

// recentUnits is a sum of units of which those of halfLifeSeconds ago count half.
type recentUnits struct {
	sum float64
	at  time.Time
}

// add adds n units at time now.
func (r *recentUnits) add(now time.Time, n float64) {
	r.sum, r.at = r.value(now)+n, now
}

// value returns the sum at time now.
func (r *recentUnits) value(now time.Time) float64 {
	return r.sum * math.Exp2(-max(0, now.Sub(r.at).Seconds())/halfLifeSeconds)
}

// rate returns the average units per second.
func (r *recentUnits) rate(now time.Time) float64 { return r.value(now) * math.Ln2 / halfLifeSeconds }

// expire moves the grants that all nodes know of by now from unreported to known.
func (k *bucket) expire(now time.Time, delay time.Duration) {
	for len(k.grants) > 0 && now.Sub(k.grants[0].at) >= delay {
		k.unreported -= k.grants[0].units
		k.known.add(now, k.grants[0].units)
		k.grants = k.grants[1:]
	}
	if len(k.grants) == 0 {
		k.unreported = 0
	}
}

// allowance returns the units that this node may admit now, which are negative after a
// large request, and the rate at which they grow. What all nodes together may admit before
// they know of each other's admissions is split in two: a node may go on at its rate, as
// far as that suffices for all, and take its part of the rest. All nodes compute both from
// what all of them know, so that the parts add up to the whole. Only the
// fraction shared of the rest is divided among the nodes.
func (b *Buckets) allowance(now time.Time, ws string, k *bucket, shared float64) (units, growth float64) {
	if len(b.peers) == 0 {
		return k.level, k.limit.Rate
	}
	own, total := b.rates(now, ws, k)
	d := b.delay.Seconds()
	full := (k.level/max(1, k.limit.Burst) - overdraftLevel) / (1 - overdraftLevel)
	whole := k.level + k.unreported + (total-own)*d + max(0, full)*overdraft*k.overdraftUnit()
	expected := min(1, max(0, whole)/max(1, total*d)) * d
	part := shared * (own + k.limit.Rate/float64(1+len(b.peers))) / (total + k.limit.Rate)
	return own*expected + part*(whole-total*expected) - k.unreported, part * k.limit.Rate
}

// overdraftUnit is the size of overdrafts: a burst, but not more than the rate yields in a
// second, since the whole of a long burst may have been admitted just before.
func (k *bucket) overdraftUnit() float64 { return min(k.limit.Burst, k.limit.Rate) }

// ownerAllowance returns the units that the workspace's owner may admit now, and the rate at
// which they grow. The level accounts for what the other nodes are expected to admit. The
// owner knows its own admissions, so that it may go below zero by a part of the burst and
// pay that back.
func (k *bucket) ownerAllowance() (units, growth float64) {
	return ownerShare*k.level + ownerOverdraft*k.overdraftUnit(), ownerShare * k.limit.Rate
}

// rates returns the units per second that this node and all nodes together admit, as far as
// all nodes know.
func (b *Buckets) rates(now time.Time, ws string, k *bucket) (own, total float64) {
	own = min(k.known.rate(now), k.limit.Rate)
	total = own + k.peerRate
	b.silentLongest(now, b.silenceTimeout, func(p *peer) {
		total += k.limit.Rate/float64(1+len(b.peers)) - p.rate(ws, k.limit.Rate)
	})
	return own, total
}
