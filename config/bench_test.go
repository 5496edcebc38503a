package config_test

import (
	"fmt"
	"testing"
	"time"

	"mustardvane.org/vane/config"
)

// fleetOf returns a configuration with n workspaces of two keys each.
func fleetOf(n int) *config.Fleet {
	f := &config.Fleet{Classes: []config.Class{{Name: "c", FirstToken: config.Duration(820 * time.Millisecond)}}}
	for i := range n {
		f.Workspaces = append(f.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i), Class: "c", Rate: 1000, Burst: 10000,
			Keys: []config.Key{{ID: "a", SHA256: config.HashKey(fmt.Sprint("a", i))}, {ID: "b", SHA256: config.HashKey(fmt.Sprint("b", i))}},
		})
	}
	return f
}

// BenchmarkRevision measures decoding and indexing a configuration, and reports its
// encoded size.
func BenchmarkRevision(b *testing.B) {
	for _, n := range []int{5, 540, 5400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, err := fleetOf(n).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				f, err := config.DecodeFleet(v)
				if err != nil {
					b.Fatal(err)
				}
				config.NewView(f, 1)
			}
			b.ReportMetric(float64(len(v)), "B/revision")
		})
	}
}
