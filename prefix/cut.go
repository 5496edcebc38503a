package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Sizes of pieces, tokens and salts.
const (
	DefaultPieceTokens = 4000 // number of tokens of a piece that engines cache
	bytesPerToken      = 4    // assumed average number of bytes of a token
	saltBytes          = 18   // length of a salt in bytes before it is encoded
)

// Message is one message of a prompt.
type Message struct {
	Role    string
	Content string
}

// cutter hashes a prompt and adds a level at each piece boundary.
type cutter struct {
	d      *xxhash.Digest // hash of everything written so far
	size   int            // size of a piece in bytes
	left   int            // number of bytes until the next piece boundary
	bytes  int            // number of bytes written so far
	levels []vane.Level
}

// Cut returns the levels of a prompt. Levels that end before the last message count as
// shared with other prompts; in a prompt of one message all levels do. pieceTokens is the
// size of a piece in tokens and must be positive.
func Cut(workspace, model string, msgs []Message, pieceTokens int) vane.Prompt {
	size := pieceTokens * bytesPerToken
	c := cutter{d: xxhash.New(), size: size, left: size}
	hashString(c.d, workspace)
	hashString(c.d, model)
	shared := 0
	for i, m := range msgs {
		if i == len(msgs)-1 && i > 0 {
			shared = len(c.levels)
		}
		c.write(m.Role)
		c.write("\n")
		c.write(m.Content)
		c.write("\n")
	}
	if len(msgs) == 1 {
		shared = len(c.levels)
	}
	return vane.Prompt{Levels: c.levels, SharedLevels: shared, Tokens: (c.bytes + bytesPerToken - 1) / bytesPerToken}
}

// hashString writes the length of s and s to the digest. The length keeps the boundary
// between two strings unambiguous.
func hashString(d *xxhash.Digest, s string) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(s)
}

// write hashes s and adds a level at each piece boundary inside it.
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

// Fingerprint returns a hash that identifies a request's body within its workspace.
// Equal bodies have equal fingerprints.
func Fingerprint(workspace string, body []byte) uint64 {
	d := xxhash.New()
	hashString(d, workspace)
	_, _ = d.Write(body)
	return d.Sum64()
}

// Salt returns the cache salt to send to an engine, in URL-safe base64. It depends on
// the workspace, the model, the version of the weights, and the engine's name and
// incarnation, so that an engine can't reuse cached blocks of another workspace, of older
// weights or of a process that has ended. The secret keeps salts from being guessed.
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
