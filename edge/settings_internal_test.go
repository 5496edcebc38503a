package edge

import (
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// TestMemoryOfSettings guards against a node whose memory can't hold one body of the usual limit.
func TestMemoryOfSettings(t *testing.T) {
	for _, tt := range []struct {
		mb int
		ok bool
	}{
		{0, true}, // that of the host
		{16, false}, {32, false}, {64, true}, {112, true},
	} {
		is := is.New(t)
		s := DefaultSettings()
		s.Node, s.DataCentre, s.IP, s.StoreAddr = "n", "z", "127.0.0.1", "127.0.0.1:1"
		s.CallerAddr, s.ReadyAddr, s.DirectoryAddr, s.MeshPort = "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", 5
		s.MemoryMB, s.MaxFDs = tt.mb, 4100
		err := s.Check()
		is.Equal(err == nil, tt.ok)
		if err != nil {
			is.Equal(vane.KindOf(err), vane.KindInvalid)
		}
	}
}
