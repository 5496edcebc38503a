package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
)

// Sizes of the stored form in bytes.
const (
	compressFrom = 64 << 10 // smaller configurations stay readable
	maxDecoded   = 64 << 20
)

// gzipMagic begins a compressed configuration.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the form in which the platform keeps f: JSON, compressed if it
// is large.
func (f *Fleet) Encode() ([]byte, error) {
	b, err := json.Marshal(f)
	if err != nil || len(b) < compressFrom {
		return b, errors.Wrap(err, "config: encode")
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(b); err != nil {
		return nil, errors.Wrap(err, "config: compress")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "config: compress")
	}
	return out.Bytes(), nil
}

// DecodeFleet reads the form in which the platform keeps a configuration.
func DecodeFleet(b []byte) (*Fleet, error) {
	var f Fleet
	b, err := inflate(b)
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "config.decode", "apply the configuration again with vanectl", "object %s is not a configuration", FleetKey).WithCause(err)
	}
	return &f, nil
}

// inflate returns b, uncompressed if it is compressed.
func inflate(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, gzipMagic) {
		return b, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "config: uncompress")
	}
	out, err := io.ReadAll(io.LimitReader(z, maxDecoded))
	return out, errors.Wrap(err, "config: uncompress")
}
