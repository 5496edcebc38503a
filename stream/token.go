package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	vane "mustardvane.org/vane"
)

// Sizes of a token's parts.
const (
	idBytes  = 16 // the request id
	macBytes = 12 // the truncated HMAC-SHA256
)

// Signer creates and verifies the tokens that identify streams in event ids. All
// routers share its secret, so that each can resume a stream that another began.
type Signer struct{ secret []byte }

// NewSigner returns a Signer with the shared secret.
func NewSigner(secret string) *Signer { return &Signer{secret: []byte(secret)} }

// mac returns the authentication code that binds a stream's id to the workspace and
// to the fingerprint of the request.
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

// Token returns the token of a stream: its id and authentication code in base64.
func (s *Signer) Token(id [idBytes]byte, workspace string, fingerprint uint64) string {
	b := append(id[:], s.mac(id, workspace, fingerprint)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// VerifyEventID checks an event id that a caller presents with a repeated request. It
// returns the stream's id and the offset after the event. If the event id is
// malformed or belongs to another workspace or request, the error is a
// [*vane.Refusal] with ReasonResumeInvalid.
func (s *Signer) VerifyEventID(eventID, workspace string, fingerprint uint64) (id [idBytes]byte, next int, err error) {
	token, offset, ok := strings.Cut(eventID, ".")
	b, derr := base64.RawURLEncoding.DecodeString(token)
	n, nok := atoi([]byte(offset))
	if !ok || derr != nil || !nok || len(b) != idBytes+macBytes {
		return id, 0, vane.Refuse(vane.ReasonResumeInvalid, "Last-Event-ID is malformed; send the id of the last event unchanged")
	}
	copy(id[:], b)
	if !hmac.Equal(b[idBytes:], s.mac(id, workspace, fingerprint)) {
		return id, 0, vane.Refuse(vane.ReasonResumeInvalid, "Last-Event-ID belongs to another request; repeat the same body with the same workspace's key")
	}
	return id, n + 1, nil
}
