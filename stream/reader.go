package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Sizes of the reader.
const (
	bufferSize = 2 << 10 // bytes read at once; longer lines are collected
	maxEvent   = 1 << 20 // bytes of one event
)

// Event is one server-sent event. Its slices are valid until the next call of
// Next.
type Event struct {
	ID   []byte // content of the id field, or nil
	Name []byte // content of the event field, or nil
	Data []byte // content of the data fields, joined by newlines
}

// Reader splits a byte stream into events.
type Reader struct {
	r    *bufio.Reader
	line []byte // a line that was longer than the buffer
	id   []byte
	name []byte
	data []byte
	got  bool // the event has a data field
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next event that has data. It returns io.EOF at the end of the
// input; an event that the end cuts off is dropped.
func (r *Reader) Next() (Event, error) {
	r.id, r.name, r.data, r.got = r.id[:0], r.name[:0], r.data[:0], false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if r.got {
				return Event{ID: r.id, Name: r.name, Data: r.data}, nil
			}
			continue
		}
		r.field(line)
		if len(r.data) > maxEvent {
			return Event{}, tooLong(len(r.data))
		}
	}
}

// field takes one non-empty line. Comments and unknown fields are ignored.
func (r *Reader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	case "data":
		if r.got {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.got = true
	}
}

// readLine returns the next line without its end.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return r.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return trim(line), nil
}

// longLine collects a line that does not fit the buffer.
func (r *Reader) longLine(part []byte) ([]byte, error) {
	r.line = append(r.line[:0], part...)
	for {
		part, err := r.r.ReadSlice('\n')
		r.line = append(r.line, part...)
		if len(r.line) > maxEvent {
			return nil, tooLong(len(r.line))
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return trim(r.line), nil
	}
}

// trim cuts the end of a line.
func trim(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// tooLong reports an event over the bound.
func tooLong(n int) error {
	return &Error{Kind: KindBadEvent, Have: "an event of at least " + itoa(n) + " bytes", Want: "at most " + itoa(maxEvent)}
}
