package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/site"
)

// weightsDecoder decodes every object under "w/" as weights of the model "m", with the
// length of the value as their number.
type weightsDecoder struct{}

func (weightsDecoder) ConfigPrefix() string                       { return "c/" }
func (weightsDecoder) UpstreamPrefix() string                     { return "u/" }
func (weightsDecoder) WeightsPrefix() string                      { return "w/" }
func (weightsDecoder) RolloutPrefix() string                      { return "r/" }
func (weightsDecoder) Config(vane.Object) (*site.Config, bool)    { return nil, false }
func (weightsDecoder) Upstream(vane.Object) (vane.Upstream, bool) { return vane.Upstream{}, false }
func (weightsDecoder) Rollout(vane.Object) (vane.Rollout, bool)   { return vane.Rollout{}, false }
func (weightsDecoder) Weights(o vane.Object) (vane.TargetWeights, bool) {
	return vane.TargetWeights{Model: "m", Version: uint64(len(o.Value))}, true
}

// The process's monotonic clock stands still while the host is suspended. Measured with
// it, replaced weights would be in use for longer than their limit by that time.
func TestWeightsAgeWhileSuspended(t *testing.T) {
	is := is.New(t)
	s := NewService(nil, weightsDecoder{})
	s.Import([]vane.Object{{Key: "w/m", Value: []byte("1"), Version: 1}})
	s.Import([]vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}})
	w := s.View().Weights["m"]
	is.True(w.OutdatedFor(clock.BootTime(), 1) < time.Minute) // both are readings of BootTime
	is.True(w.OutdatedFor(clock.BootTime().Add(5*time.Second), 1) >= 5*time.Second)
	is.Equal(w.Since, w.Since.Round(0)) // no monotonic reading
}

// Records are shared between hosts and therefore hold wall times.
func TestRecordHoldsWallTimes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(500, 0)
	const offset, otherOffset = 1000 * time.Hour, 2000 * time.Hour
	w := Weights{TargetWeights: vane.TargetWeights{Model: "m", Version: 2}, History: []WeightsVersion{{Number: 1, Since: now.Add(-time.Minute)}, {Number: 2, Since: now}}}
	r := w.Record(offset)
	restarted := now.Add(offset - otherOffset) // the same moment on the clock of another host
	late := Weights{TargetWeights: w.TargetWeights, History: []WeightsVersion{{Number: 2, Since: restarted.Add(7 * time.Second)}}}
	is.Equal(late.merge(r, otherOffset).OutdatedFor(restarted.Add(8*time.Second), 1), 8*time.Second)
}
