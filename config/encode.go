package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
)

// Size limits of the encoded configuration, in bytes.
const (
	compressThreshold = 64 << 10 // smaller configurations are stored as plain JSON, for readability
	maxDecompressed   = 64 << 20 // limit on the memory that a compressed configuration can occupy
)

// gzipMagic is the prefix of a compressed configuration.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns f in the form that the platform stores: JSON, compressed with gzip
// if it has 64 KiB or more.
func (f *Fleet) Encode() ([]byte, error) {
	b, err := json.Marshal(f)
	if err != nil || len(b) < compressThreshold {
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

// DecodeFleet decodes a configuration from the form that the platform stores. It
// returns an error of kind invalid if b is not a configuration.
func DecodeFleet(b []byte) (*Fleet, error) {
	var f Fleet
	b, err := decompress(b)
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "config.decode", "apply the configuration again with vanectl", "object %s is not a configuration", FleetKey).WithCause(err)
	}
	return &f, nil
}

// decompress returns b, decompressed if it is compressed. Output beyond
// maxDecompressed is cut off, so that it can't be decoded as JSON.
func decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, gzipMagic) {
		return b, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "config: decompress")
	}
	out, err := io.ReadAll(io.LimitReader(z, maxDecompressed))
	return out, errors.Wrap(err, "config: decompress")
}
