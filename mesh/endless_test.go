package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/fake/endless"
)

// A snapshot without end is given up.
func TestEndlessSnapshot(t *testing.T) {
	const maxWritten = 32 << 20 // the largest limit, and what the sockets buffer
	for _, r := range endless.Responses {
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := endless.Serve(r)
			is.NoErr(err)
			defer s.Close()
			_, err = newSite(1).fetchSnapshot(t.Context(), s.Addr())
			is.True(err != nil)
			select {
			case n := <-s.Written:
				is.True(n < maxWritten)
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
