package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"mustardvane.org/vane/abuse"
	"mustardvane.org/vane/platform/stand"
)

// Misbehaving callers. The bodies of a crowd together exceed what a node may hold.
const (
	abusedMemoryMB = 112 // memory limit of the nodes, that of the smallest hosts
	crowdClients   = 40
	crowdBodyBytes = 1 << 20
	maxCrowdTime   = time.Second     // longest time for which a crowd stays after it has sent all
	maxCrowdPause  = 2 * time.Second // longest time between two crowds
)

// abuse sends one crowd of misbehaving callers after the other to random nodes until ctx ends.
// Their requests are not checked. Their effects on others are.
func (b *testbed) abuse(ctx context.Context, r *rand.Rand) {
	loads := abuse.Loads()
	for k := 0; ctx.Err() == nil; k++ {
		sleep(ctx, time.Duration(r.Int64N(int64(maxCrowdPause))))
		c := &abuse.Crowd{
			Addr: b.nodes[r.IntN(len(b.nodes))].callers(), Clients: crowdClients, Load: loads[r.IntN(len(loads))], BodyBytes: crowdBodyBytes,
			Head: func(client int, load abuse.Load) string {
				path := kindPaths[safe]
				if load == abuse.UnreadStreams {
					path = kindPaths[stream]
				}
				out := "POST " + path + " HTTP/1.1\r\nHost: " + stand.Host + "\r\n"
				for name, v := range stand.CallerHeaders(fmt.Sprintf("abuse%d-%d", k, client), stand.KeyB, deadlineMS) {
					out += name + ": " + v + "\r\n"
				}
				return out
			},
		}
		c.Start(ctx)
		c.Settled()
		sleep(ctx, time.Duration(r.Int64N(int64(maxCrowdTime))))
		c.Stop()
	}
}
