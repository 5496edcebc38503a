package store

import (
	"net/http"
	"net/url"
	"time"

	vane "mustardvane.org/vane"
)

// Request is one HTTP call to the platform.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Response is an answer whose body has been read.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Protocol is the form of the calls to a platform's object API. The client owns
// connections, time limits, retries and the resolution of lost answers; a
// protocol only encodes and decodes.
type Protocol interface {
	Get(key string) Request
	// Put replaces the object of version want, or creates it if want is zero.
	Put(key string, want uint64, value []byte) Request
	Delete(key string, want uint64) Request
	// List asks for a page; the first one is empty.
	List(prefix, page string) Request
	// Watch asks for changes after a revision. A relaxed watch may be answered with
	// changes that are some seconds late, if that costs the platform less.
	Watch(prefix string, after uint64, wait time.Duration, relaxed bool) Request
	Hosts() Request

	// DecodeGet decodes the answer to Get.
	DecodeGet(key string, r *Response) (vane.Object, error)
	// DecodePut decodes the answer to Put and returns the new version.
	DecodePut(key string, want uint64, r *Response) (uint64, error)
	// DecodeDelete decodes the answer to Delete.
	DecodeDelete(key string, want uint64, r *Response) error
	// DecodeBatch decodes the answer to List or Watch, and the next page, if there is one.
	DecodeBatch(prefix string, r *Response) (vane.Batch, string, error)
	// DecodeHosts decodes the answer to Hosts.
	DecodeHosts(r *Response) ([]vane.Upstream, error)
}

// NotFound reports an object that does not exist.
func NotFound(key string) *vane.Error {
	return vane.Errorf(vane.KindNotFound, "store.get", "create it first", "no object %s", key)
}

// Compacted reports a revision that a watch can't go on from.
func Compacted() *vane.Error {
	return vane.Errorf(vane.KindCompacted, "store.watch", "list again and watch from the list's revision", "the revision is gone")
}

// Conflict reports a lost conditional update.
func Conflict(op, key string, want uint64, have string) *vane.Error {
	return vane.Errorf(vane.KindConflict, "store."+op, "read the object and decide again",
		"object %s is at version %s, not %d", key, have, want)
}

// Unexpected reports an answer outside the protocol.
func Unexpected(op string, r *Response) *vane.Error {
	return vane.Errorf(vane.KindInternal, "store."+op, "check that the platform's address names an object API of this version", "unexpected answer with status %d", r.Status)
}
