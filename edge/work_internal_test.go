package edge

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/mesh"
)

// Work survives the way to another node. Impossible values, which would make a node refuse
// requests or send without a limit, are left out.
func TestPeerWork(t *testing.T) {
	is := is.New(t)
	work := map[string]admit.Report{"s": {Outstanding: 900 * time.Millisecond, Waiting: 40 * time.Millisecond, Demand: 0.5}}
	is.Equal(peerWork(composeWork(work)), work)
	is.Equal(len(peerWork(composeWork(nil))), 1) // an idle node reports, too
	is.Equal(len(peerWork(nil)), 0)
	is.Equal(len(peerWork([]mesh.ServiceWork{
		{Service: "a", Outstanding: -1}, {Service: "b", Waiting: -1}, {Service: "c", Demand: -1}, {Service: "d", Demand: float32(math.NaN())}, {Service: "e", Demand: float32(math.Inf(1))},
	})), 0)
}
