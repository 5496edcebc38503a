package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Sizes of the read buffer and of the largest event that is accepted.
const (
	bufferBytes   = 2 << 10 // longer lines are assembled in Reader.long
	maxEventBytes = 1 << 20
)

// Event is one server-sent event. Its slices are valid until the next call of
// Next.
type Event struct {
	ID   []byte // content of the id field, or nil
	Name []byte // content of the event field, or nil
	Data []byte // content of the data fields, joined by newlines
}

// Reader splits a byte stream into server-sent events.
type Reader struct {
	r       *bufio.Reader
	long    []byte // holds a line that is longer than the buffer
	id      []byte
	name    []byte
	data    []byte
	hasData bool // the current event has a data field
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next event that has a data field. At the end of the input it
// returns io.EOF and drops an incomplete event. An event of more than 1 MiB is an
// [*Error] of kind KindBadEvent.
func (r *Reader) Next() (Event, error) {
	r.id, r.name, r.data, r.hasData = r.id[:0], r.name[:0], r.data[:0], false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if r.hasData {
				return Event{ID: r.id, Name: r.name, Data: r.data}, nil
			}
			continue
		}
		r.parseLine(line)
		if len(r.data) > maxEventBytes {
			return Event{}, eventTooLong(len(r.data))
		}
	}
}

// parseLine adds one non-empty line to the current event. It ignores comments and
// unknown fields.
func (r *Reader) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.hasData = true
	}
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return trimLineEnd(line), nil
}

// readLongLine assembles a line that does not fit the read buffer. part is its
// beginning.
func (r *Reader) readLongLine(part []byte) ([]byte, error) {
	r.long = append(r.long[:0], part...)
	for {
		part, err := r.r.ReadSlice('\n')
		r.long = append(r.long, part...)
		if len(r.long) > maxEventBytes {
			return nil, eventTooLong(len(r.long))
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return trimLineEnd(r.long), nil
	}
}

// trimLineEnd removes the line ending, LF or CRLF.
func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// eventTooLong returns the error for an event of at least n bytes, which exceeds
// maxEventBytes.
func eventTooLong(n int) error {
	return &Error{Kind: KindBadEvent, Have: "an event of at least " + itoa(n) + " bytes", Want: "at most " + itoa(maxEventBytes) + " bytes"}
}
