package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/mesh"
)

// A prompt with too many parts does not displace the crashes before it.
func TestHugePromptLeavesOtherCrashes(t *testing.T) {
	is := is.New(t)
	n := newPendingUpdates()
	now := time.Now()
	n.addPartCrash(crash.PartCrash{Parts: make([]uint64, 4), At: now})
	n.addPartCrash(crash.PartCrash{Parts: make([]uint64, maxCrashHashes+1), At: now})
	m := &mesh.Message{}
	n.fill(now, m)
	is.Equal(len(m.PartCrashes), 1)
}

// A node with too large a message sends none.
func TestPromptsOfManyPartsFitMessage(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		crashes, parts, expect int
	}{
		{"few parts", 5, 4, 5},
		{"many crashes", 200, 1, maxPartUpdates},
		{"long conversations", 128, 60, 17},
		{"huge prompts", 10, maxCrashHashes, 1},
		{"more than a message may hold", 10, 4000, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newPendingUpdates()
			now := time.Now()
			for i := range tt.crashes {
				n.addPartCrash(crash.PartCrash{Incarnation: uint64(i), Parts: make([]uint64, tt.parts), At: now})
			}
			m := &mesh.Message{}
			n.fill(now, m)
			is.Equal(len(m.PartCrashes), tt.expect)
			if tt.expect > 0 {
				is.Equal(m.PartCrashes[tt.expect-1].Incarnation, uint64(tt.crashes-1)) // the newest is kept
			}
		})
	}
}
