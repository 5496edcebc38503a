package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	vane "mustardvane.org/vane"
)

// Sizes of a token in bytes.
const (
	idBytes  = 16 // request id
	macBytes = 12
)

// Signer makes and checks the tokens that name a stream in event ids. All
// routers share its secret, so that each can resume what another began.
type Signer struct{ secret []byte }

// NewSigner returns a signer with the shared secret.
func NewSigner(secret string) *Signer { return &Signer{secret: []byte(secret)} }

// mac binds a stream's id to the workspace and to the request's fingerprint.
func (s *Signer) mac(id [idBytes]byte, workspace string, fingerprint uint64) []byte {
	m := hmac.New(sha256.New, s.secret)
	m.Write([]byte("stream"))
	m.Write(id[:])
	var f [8]byte
	binary.LittleEndian.PutUint64(f[:], fingerprint)
	m.Write(f[:])
	m.Write([]byte(workspace))
	return m.Sum(nil)[:macBytes]
}

// Token returns the token of a stream.
func (s *Signer) Token(id [idBytes]byte, workspace string, fingerprint uint64) string {
	b := append(id[:], s.mac(id, workspace, fingerprint)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// VerifyEventID checks an event id that a caller presented with a repeated request. It
// returns the stream's id and the offset after the event.
func (s *Signer) VerifyEventID(eventID, workspace string, fingerprint uint64) (id [idBytes]byte, next int, err error) {
	token, offset, ok := strings.Cut(eventID, ".")
	b, derr := base64.RawURLEncoding.DecodeString(token)
	n, nok := atoi([]byte(offset))
	if !ok || derr != nil || !nok || len(b) != idBytes+macBytes {
		return id, 0, vane.Refuse(vane.ReasonResumeInvalid, "Last-Event-ID is not an id of this system; send the id of the last event unchanged")
	}
	copy(id[:], b)
	if !hmac.Equal(b[idBytes:], s.mac(id, workspace, fingerprint)) {
		return id, 0, vane.Refuse(vane.ReasonResumeInvalid, "Last-Event-ID belongs to another request; repeat the same body with the same workspace's key")
	}
	return id, n + 1, nil
}
