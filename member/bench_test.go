package member_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"mustardvane.org/vane/member"
	"mustardvane.org/vane/wire"
)

// BenchmarkSecond simulates one second of a node in a fleet of n: the node sends its
// pings and receives an acknowledgement of each, and answers three pings from
// others. It reports the bytes that the node sends, including packet headers.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 40, 100, 380} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := member.New(&wire.Member{Name: "self", Addr: "10.0.0.1:1", Callers: "10.0.0.1:2", DataCentre: "dc-1", Incarnation: 1}, member.WithRandSeed(1))
			var peers []*wire.Member
			for i := range n - 1 {
				peers = append(peers, &wire.Member{
					Name: fmt.Sprintf("vane-%d", i), Addr: fmt.Sprintf("10.0.1.%d:8082", i), Callers: fmt.Sprintf("10.0.1.%d:8080", i),
					DataCentre: "dc-2", Incarnation: uint64(1_796_000_000_000 + i),
				})
			}
			now := epoch
			s.MergeMembers(now, peers)
			byAddr := map[string]*wire.Member{}
			for _, p := range peers {
				byAddr[p.GetAddr()] = p
			}
			sent, seq := 0, 0
			count := func(ps []member.Packet) []member.Packet {
				for _, p := range ps {
					raw, _ := proto.Marshal(p.Msg)
					sent += len(raw) + 12 + 28 // 12 bytes of authentication code, 28 of IP and UDP headers
				}
				return ps
			}
			second := func() {
				for range 5 {
					now = now.Add(tickInterval)
					for _, p := range count(s.Tick(now)) {
						count(s.Handle(now, &wire.Gossip{Kind: wire.Kind_KIND_ACK, From: byAddr[p.Addr], Sequence: p.Msg.GetSequence(), View: p.Msg.GetView()}))
					}
				}
				for range 3 {
					seq++
					count(s.Handle(now, &wire.Gossip{Kind: wire.Kind_KIND_PING, From: peers[seq%len(peers)], Sequence: uint64(seq)}))
				}
			}
			for range 60 {
				second() // until the updates about the initial members have been sent
			}
			sent = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				second()
			}
			b.ReportMetric(float64(sent)/float64(b.N), "B/s-sent")
		})
	}
}
