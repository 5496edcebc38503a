package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	vane "mustardvane.org/vane"
)

// Weights are the target weights of a model and when this node learned of them.
type Weights struct {
	vane.TargetWeights
	Since   time.Time        // time at which this node learned of the target weights
	History []WeightsVersion // most recent target weights, oldest first
}

// WeightsVersion is a weights number and when this node learned that it was designated.
type WeightsVersion struct {
	Number uint64
	Since  time.Time
	Bound  bool // the number was designated after Since, while this node could not learn of it
	// Record says that Since was converted from a wall time in a record, by this node or one
	// that told it the age. One of the two wall clocks may be wrong.
	Record   bool
	recordMS int64 // that wall time in Unix milliseconds; zero if another node told the age
	Seen     bool  // this node, or one that told it the age, followed the store when the number was designated
}

// maxHistory is the maximum number of entries in a history. Older weights are no longer
// in use.
const maxHistory = 16

// OutdatedFor returns how long ago the weights with the number were superseded, or zero
// if no newer ones are known.
func (w Weights) OutdatedFor(now time.Time, number uint64) time.Duration {
	for _, n := range w.History {
		if n.Number > number {
			return now.Sub(n.Since)
		}
	}
	return 0
}

// WeightsRecordKey returns the key of the [WeightsRecord] of a model.
func WeightsRecordKey(model string) string { return weightsRecordPrefix + model }

// WeightsRecord is the stored record of when weights were designated for a model. Nodes
// that start later learn the times from it.
type WeightsRecord struct {
	Model   string   `json:"model"`
	Numbers []uint64 `json:"numbers"` // numbers of the weights, in ascending order
	AtMS    []int64  `json:"at_ms"`   // time of each number's designation, in Unix milliseconds on the clock of the node that wrote the record
}

// Record returns the history as a record. wallOffset is the wall time minus the time of
// the history's clock.
func (w Weights) Record(wallOffset time.Duration) WeightsRecord {
	r := WeightsRecord{Model: w.Model}
	for _, h := range w.History {
		r.Numbers = append(r.Numbers, h.Number)
		r.AtMS = append(r.AtMS, h.Since.Add(wallOffset).UnixMilli())
	}
	return r
}

// merge returns w with a history that includes the record. Where both have a number,
// the earlier time counts, but a time of the record replaces one that is only a lower
// bound, and none at which this node saw the designation, since wall clocks may be wrong.
// A time of the record that has been converted before is not converted again, so that steps of
// this node's wall clock do not change ages.
// Numbers newer than all in the history are ignored.
// wallOffset is as for [Weights.Record].
func (w Weights) merge(r WeightsRecord, wallOffset time.Duration) Weights {
	h := slices.Clone(w.History)
	for i, number := range r.Numbers {
		if i >= len(r.AtMS) {
			break
		}
		at := time.UnixMilli(r.AtMS[i]).Add(-wallOffset)
		j := slices.IndexFunc(h, func(x WeightsVersion) bool { return x.Number >= number })
		switch {
		case j < 0:
		case h[j].Number == number && (h[j].Seen || h[j].recordMS == r.AtMS[i]):
		case h[j].Number == number && (at.Before(h[j].Since) || h[j].Bound):
			h[j].Since, h[j].Bound, h[j].Record, h[j].recordMS = at, false, true, r.AtMS[i]
		case h[j].Number > number:
			h = slices.Insert(h, j, WeightsVersion{Number: number, Since: at, Record: true, recordMS: r.AtMS[i]})
		}
	}
	w.History = h[max(0, len(h)-maxHistory):]
	return w
}

// reconvert returns w with the times that come from wall times in the record converted again.
// wallOffset is as for [Weights.Record].
func (w Weights) reconvert(wallOffset time.Duration) Weights {
	w.History = slices.Clone(w.History)
	for i, h := range w.History {
		if h.recordMS != 0 {
			w.History[i].Since = time.UnixMilli(h.recordMS).Add(-wallOffset)
		}
	}
	return w
}

// ageTolerance is the least difference in age at which [State.MergeAge] changes a time,
// since messages with ages are delayed by different times.
const ageTolerance = 100 * time.Millisecond

// recordTolerance is the excess of an age from a record above which [State.MergeAge] replaces it
// by a lower one that was seen. Messages wait for up to two seconds at the relays of a large
// site, which makes the ages that they state lower.
const recordTolerance = 2 * time.Second

// MergeAge records that another node learned of weights longer ago than this node, which
// started later or could not learn of them. seen is that node's [WeightsVersion.Seen]; an
// age without it comes from a record and replaces none that was seen. One that was seen also
// replaces an age from a record that is much too high. It reports whether the view changed.
func (s *State) MergeAge(now time.Time, model string, number uint64, age time.Duration, seen bool) bool {
	w, ok := s.view.Weights[model]
	if !ok || number > w.Version {
		return false // the weights themselves are still to arrive
	}
	x := WeightsVersion{Number: number, Since: now.Add(-age), Seen: seen, Record: !seen}
	hist := slices.Clone(w.History)
	i, found := slices.BinarySearchFunc(hist, number, func(h WeightsVersion, n uint64) int { return cmp.Compare(h.Number, n) })
	switch {
	case !found:
		hist = slices.Insert(hist, i, x)
	case seen && hist[i].Record && x.Since.Sub(hist[i].Since) > recordTolerance:
		hist[i] = x
	case !seen && (hist[i].Seen || hist[i].Bound), !hist[i].Bound && !x.Since.Before(hist[i].Since.Add(-ageTolerance)):
		return false
	default:
		hist[i] = x
	}
	v := *s.view
	v.Weights = maps.Clone(v.Weights)
	w.History = hist[max(0, len(hist)-maxHistory):]
	v.Weights[model] = w
	s.view = &v
	return true
}
