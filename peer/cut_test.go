package peer

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"mustardvane.org/vane/wire"
)

// A datagram that is cut after any byte is refused. Its message alone would not show all
// cuts: it may end after any of its fields.
func TestCutDatagram(t *testing.T) {
	is := is.New(t)
	secret := []byte("0123456789abcdef")
	b, err := proto.Marshal(&wire.Gossip{Sequence: 7, From: &wire.Member{Name: "n1"}, Members: []*wire.Member{{Name: "n2"}, {Name: "n3"}}})
	is.NoErr(err)
	d := seal(secret, b)
	decodable := 0
	for n := range len(d) {
		if _, ok := open(secret, d[:n]); ok {
			t.Errorf("cut after %d of %d bytes", n, len(d))
		}
		if n > macSize && proto.Unmarshal(d[macSize:n], &wire.Gossip{}) == nil {
			decodable++
		}
	}
	is.True(decodable > 0)
	got, ok := open(secret, d)
	is.True(ok)
	is.Equal(got, b)
}
