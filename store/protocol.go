package store

import (
	"net/http"
	"net/url"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
)

// Request is one HTTP request to the platform.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Response is an HTTP response whose body has been read.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Framing  conns.Framing // with conns.FramingClose, Body may lack its end
	Restores uint64        // see Protocol.Restores
}

// Protocol encodes the requests to a platform's object API and decodes the
// responses. Versions in its parameters and results are the platform's plain
// revisions. Connections, time limits, retries and the resolution of lost responses are up
// to the client.
type Protocol interface {
	// Get requests one object.
	Get(key string) Request
	// Put replaces the object if it has the version expected, or creates it if
	// expected is zero.
	Put(key string, expected uint64, value []byte) Request
	// Delete removes the object if it has the version expected.
	Delete(key string, expected uint64) Request
	// List requests one page of the objects whose key has the prefix. The first page
	// is requested with an empty string, a later one with the string that DecodeBatch
	// returned.
	List(prefix, page string) Request
	// Watch requests the changes after a revision; the platform waits for them up to
	// the given time. On a relaxed watch, changes may arrive some seconds late, which
	// costs the platform less.
	Watch(prefix string, after uint64, wait time.Duration, relaxed bool) Request
	// Hosts requests the list of upstreams.
	Hosts() Request

	// Restores returns how often the platform has come back from a copy of its objects, and
	// false if the headers of the response do not state it. Its revisions go back each time.
	Restores(h http.Header) (uint64, bool)

	// DecodeGet decodes the response to Get.
	DecodeGet(key string, r *Response) (vane.Object, error)
	// DecodePut decodes the response to Put and returns the object's new version.
	DecodePut(key string, expected uint64, r *Response) (uint64, error)
	// DecodeDelete decodes the response to Delete.
	DecodeDelete(key string, expected uint64, r *Response) error
	// DecodeBatch decodes the response to List or Watch. The string is the next page to
	// list; empty if there is none.
	DecodeBatch(prefix string, r *Response) (vane.Batch, string, error)
	// DecodeHosts decodes the response to Hosts.
	DecodeHosts(r *Response) ([]vane.Upstream, error)
}

// StatusProtocol is a Protocol of a platform that keeps what the system records about an
// object apart from the object's value.
type StatusProtocol interface {
	Protocol
	// PutStatus replaces the status of the object if it has the version expected. Its
	// response is decoded by DecodePut.
	PutStatus(key string, expected uint64, status []byte) Request
}

// NotFound returns the error for an object that does not exist.
func NotFound(key string) *vane.Error {
	return vane.Errorf(vane.KindNotFound, "store.get", "create it first", "object %s does not exist", key)
}

// Compacted returns the error for a revision from which a watch can't continue,
// since the platform no longer holds the changes after it.
func Compacted() *vane.Error {
	return vane.Errorf(vane.KindCompacted, "store.watch", "list again and watch from the list's revision", "the platform no longer holds the changes after the revision")
}

// Conflict returns the error for a conditional write that found the object at
// version have instead of the version expected.
func Conflict(op, key string, expected uint64, have string) *vane.Error {
	return vane.Errorf(vane.KindConflict, "store."+op, "read the object and decide again",
		"object %s is at version %s, not %d", key, have, expected)
}

// Cut returns the error for a response whose body may lack its end.
func Cut(op string, r *Response) *vane.Error {
	return vane.Errorf(vane.KindUnavailable, "store."+op, "check what serves the platform's address: it must state the length of bodies", "the response with status %d does not state where its body ends", r.Status)
}

// UnknownOutcome returns the error for a response to a write that reports success, but not
// what the write has led to.
func UnknownOutcome(op string, r *Response) *vane.Error {
	return vane.Errorf(vane.KindUnknownOutcome, "store."+op, "read the object later to learn the outcome", "malformed response with status %d", r.Status)
}

// Unexpected returns the error for a response that does not follow the protocol.
func Unexpected(op string, r *Response) *vane.Error {
	return vane.Errorf(vane.KindInternal, "store."+op, "check that the platform's address names an object API of this version", "unexpected response with status %d", r.Status)
}
