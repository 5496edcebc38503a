package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Sizes of the cut.
const (
	DefaultPiece  = 4000 // tokens of one cached piece
	bytesPerToken = 4    // bytes of one token, on average
	saltBytes     = 18   // bytes of a cache salt before encoding
)

// Message is one message of a prompt.
type Message struct {
	Role    string
	Content string
}

// cutter hashes a prompt and notes a level at each piece boundary.
type cutter struct {
	d      *xxhash.Digest
	size   int // bytes of a piece
	left   int // bytes until the next boundary
	bytes  int
	levels []vane.Level
}

// Cut returns the levels of a prompt. The seed of the hash chain is the
// workspace and the model. pieceTokens must be above zero.
func Cut(workspace, model string, msgs []Message, pieceTokens int) vane.Prompt {
	size := pieceTokens * bytesPerToken
	c := cutter{d: xxhash.New(), size: size, left: size}
	seed(c.d, workspace)
	seed(c.d, model)
	common := 0
	for i, m := range msgs {
		if i == len(msgs)-1 && i > 0 {
			common = len(c.levels)
		}
		c.write(m.Role)
		c.write("\n")
		c.write(m.Content)
		c.write("\n")
	}
	if len(msgs) == 1 {
		common = len(c.levels)
	}
	return vane.Prompt{Levels: c.levels, Common: common, Tokens: (c.bytes + bytesPerToken - 1) / bytesPerToken}
}

// seed writes a length-prefixed string, so that two strings can't run together.
func seed(d *xxhash.Digest, s string) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(s)
}

// write hashes s and cuts at each boundary inside it.
func (c *cutter) write(s string) {
	c.bytes += len(s)
	for len(s) >= c.left {
		_, _ = c.d.WriteString(s[:c.left])
		s = s[c.left:]
		c.left = c.size
		n := len(c.levels) + 1
		c.levels = append(c.levels, vane.Level{Hash: c.d.Sum64(), Tokens: n * c.size / bytesPerToken})
	}
	_, _ = c.d.WriteString(s)
	c.left -= len(s)
}

// Fingerprint names a request's text within its workspace; equal requests have
// equal fingerprints.
func Fingerprint(workspace string, body []byte) uint64 {
	d := xxhash.New()
	seed(d, workspace)
	_, _ = d.Write(body)
	return d.Sum64()
}

// Salt returns the cache salt that an engine is sent. It depends on the
// workspace, the model, the version of the weights and the engine's incarnation,
// so that an engine can't serve blocks of another workspace, of older weights or
// of an engine that is gone. The secret keeps salts from being guessed.
func Salt(secret, workspace string, u vane.Upstream) string {
	m := hmac.New(sha256.New, []byte(secret))
	for _, s := range []string{workspace, u.Model, u.Version, u.Name} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		m.Write(n[:])
		m.Write([]byte(s))
	}
	var inc [8]byte
	binary.LittleEndian.PutUint64(inc[:], u.Incarnation)
	m.Write(inc[:])
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:saltBytes])
}
