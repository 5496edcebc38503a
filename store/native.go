package store

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
)

// Header names of the protocol of docs/PLATFORM.md.
const (
	HeaderVersion   = "Object-Version"
	HeaderIfVersion = "If-Version"
	HeaderRevision  = "Platform-Revision"
)

// WireBatch is the JSON form of the response to a list or a watch.
type WireBatch struct {
	Revision uint64       `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireObject is the JSON form of one object in the response to a list or a watch.
type WireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"` // encoded as base64 in JSON
	Deleted bool   `json:"deleted,omitempty"`
}

// native is the protocol of docs/PLATFORM.md.
type native struct{}

var _ Protocol = native{}

// Get implements Protocol.
func (native) Get(key string) Request {
	return Request{Method: http.MethodGet, Path: objectPath(key)}
}

// Put implements Protocol.
func (native) Put(key string, expected uint64, value []byte) Request {
	return Request{Method: http.MethodPut, Path: objectPath(key), Header: ifVersion(expected), Body: value}
}

// Delete implements Protocol.
func (native) Delete(key string, expected uint64) Request {
	return Request{Method: http.MethodDelete, Path: objectPath(key), Header: ifVersion(expected)}
}

// List implements Protocol. The response always has a single page.
func (native) List(prefix, _ string) Request {
	return Request{Method: http.MethodGet, Path: "/v1/objects", Query: url.Values{"prefix": {prefix}}}
}

// Restores implements Protocol. The platform loses nothing that it has acknowledged.
func (native) Restores(http.Header) (uint64, bool) { return 0, false }

// Watch implements Protocol.
func (native) Watch(prefix string, after uint64, wait time.Duration, _ bool) Request {
	return Request{Method: http.MethodGet, Path: "/v1/watch", Query: url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}}
}

// Hosts implements Protocol.
func (native) Hosts() Request { return Request{Method: http.MethodGet, Path: "/v1/hosts"} }

// DecodeGet implements Protocol.
func (native) DecodeGet(key string, r *Response) (vane.Object, error) {
	switch r.Status {
	case http.StatusOK:
		// Unlike the JSON of other responses, a value does not show its own end.
		if r.Framing == conns.FramingClose {
			return vane.Object{}, Cut("get", r)
		}
		v, err := version(r)
		return vane.Object{Key: key, Version: v, Value: r.Body}, err
	case http.StatusNotFound:
		return vane.Object{}, NotFound(key)
	}
	return vane.Object{}, Unexpected("get", r)
}

// DecodePut implements Protocol.
func (native) DecodePut(key string, expected uint64, r *Response) (uint64, error) {
	switch r.Status {
	case http.StatusOK:
		return version(r)
	case http.StatusPreconditionFailed:
		return 0, Conflict("put", key, expected, r.Header.Get(HeaderVersion))
	}
	return 0, Unexpected("put", r)
}

// DecodeDelete implements Protocol.
func (native) DecodeDelete(key string, expected uint64, r *Response) error {
	switch r.Status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusPreconditionFailed:
		return Conflict("delete", key, expected, r.Header.Get(HeaderVersion))
	}
	return Unexpected("delete", r)
}

// DecodeBatch implements Protocol.
func (native) DecodeBatch(_ string, r *Response) (vane.Batch, string, error) {
	if r.Status == http.StatusGone {
		return vane.Batch{}, "", Compacted()
	}
	if r.Status != http.StatusOK {
		return vane.Batch{}, "", Unexpected("read", r)
	}
	var w WireBatch
	if err := json.Unmarshal(r.Body, &w); err != nil {
		return vane.Batch{}, "", Unexpected("read", r).WithCause(err)
	}
	b := vane.Batch{Revision: w.Revision, Objects: make([]vane.Object, 0, len(w.Objects))}
	for _, o := range w.Objects {
		b.Objects = append(b.Objects, vane.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return b, "", nil
}

// DecodeHosts implements Protocol.
func (native) DecodeHosts(r *Response) ([]vane.Upstream, error) {
	if r.Status != http.StatusOK {
		return nil, Unexpected("hosts", r)
	}
	var ups []vane.Upstream
	if err := json.Unmarshal(r.Body, &ups); err != nil {
		return nil, Unexpected("hosts", r).WithCause(err)
	}
	return ups, nil
}

// ifVersion returns the header that makes a write conditional on the object's
// version.
func ifVersion(expected uint64) http.Header {
	return http.Header{HeaderIfVersion: {strconv.FormatUint(expected, 10)}}
}

// version returns the object's version from the response's header.
func version(r *Response) (uint64, error) {
	v, err := strconv.ParseUint(r.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, Unexpected("version", r).WithCause(err)
	}
	return v, nil
}

// objectPath returns the URL path of an object, with each part of the key escaped.
func objectPath(key string) string {
	return "/v1/objects/" + EscapeKey(key)
}

// EscapeKey returns the key for use in a URL path: it escapes the parts between
// slashes and keeps the slashes.
func EscapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

// Native returns the protocol of docs/PLATFORM.md.
func Native() Protocol { return native{} }
