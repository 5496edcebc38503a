package reply

import (
	"io"

	"github.com/pkg/errors"
)

// errTooLong is the error of a body that exceeds its limit.
var errTooLong = errors.New("the body is longer than the limit")

// Read reads a body to its end. A body of more than limit bytes is an error, since its
// beginning alone may mean something else.
func Read(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, errTooLong
	}
	return b, err
}
