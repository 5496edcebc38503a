package admit_test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestDiag(t *testing.T) {
	if os.Getenv("DIAG") == "" {
		t.Skip()
	}
	l := engines(2.5)
	if os.Getenv("DIAG") == "plain" {
		l = plain(2.5)
	}
	l.fault = func(f *fleet) {
		var tick func()
		var last outcome
		tick = func() {
			q, run := 0, 0
			for _, u := range f.ups {
				q += len(u.queue)
				run += u.running
			}
			var d, own, peers, dem, tok float64
			w := 0
			for _, n := range f.nodes {
				r := n.placer.Room(f.time(), "s")
				own += r.Own.Seconds() * 1000
				peers += r.Peers.Seconds() * 1000 / float64(len(f.nodes))
				dem += n.admit.Demand(f.time(), "s")
				w += len(n.waiting)
				_ = d
				tok = r.PeerDemand
			}
			o := f.all
			each := l.work.Seconds() * 1000
			if l.slots == 6 {
				each /= 6
			}
			fmt.Printf("%5.1f delay %4.0f own %4.0f peers %4.0f demand %4.1f (peers %4.1f) waiting %d  ontime %d late %d refused %d twice %d\n", f.now.Seconds(), float64(q)*each/float64(l.upstreams), own/float64(l.upstreams), peers/float64(l.upstreams), dem, tok, w, o.onTime-last.onTime, o.late-last.late, o.refused-last.refused, o.twice-last.twice)
			last = o
			f.at(f.now+500*time.Millisecond, tick)
		}
		f.at(3*time.Second, tick)
	}
	replay(l, 1)
}
