package conns

import "net/http"

//go:generate stringer -type=Framing -linecomment -output=framing_string.go

// Framing is the way in which a response states the end of its body (RFC 9112, section
// 6.3).
type Framing int

// The framings: a declared length, which may be zero (FramingLength), chunks
// (FramingChunked), and the end of the connection (FramingClose). The latter does not
// show whether the body is complete: the connection of an upstream that crashes ends in
// the same way.
const (
	FramingLength  Framing = iota // length
	FramingChunked                // chunked
	FramingClose                  // close
)

// FramingOf returns the framing of a response. One to HEAD has no body that could be cut.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.Request != nil && r.Request.Method == http.MethodHead:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// SetHeader sets the header by which an HTTP server of net/http ends a response by closing
// the connection, if that is the framing. The server chooses between the others itself.
func (f Framing) SetHeader(h http.Header) {
	if f == FramingClose {
		h.Set("Transfer-Encoding", "identity")
	}
}
