package conns

import (
	"io"

	"github.com/pkg/errors"
)

// noLimit is the value of limitedReader.left for an unlimited number of bytes.
const noLimit = -1

// errTooLong is the error of a phase of an exchange in which the upstream sent more
// than it may.
var errTooLong = errors.New("the upstream sent more than the limit")

// limitedReader reads from a connection as many bytes as the current phase of the
// exchange allows.
type limitedReader struct {
	r     io.Reader
	left  int64 // bytes that may still be read in this phase
	ended bool  // the connection ended or failed
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, errTooLong
	}
	if l.left > 0 {
		b = b[:min(int64(len(b)), l.left)]
	}
	n, err := l.r.Read(b)
	if l.left > 0 {
		l.left -= int64(n)
	}
	if err != nil {
		l.ended = true
	}
	return n, err
}
