package store

import (
	"net/http"
	"net/url"
	"time"

	vane "mustardvane.org/vane"
)

// Exchange is one HTTP call to the platform.
type Exchange struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Reply is an answer whose body has been read.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Protocol is the form of the calls to a platform's object API. The client owns
// connections, time limits, retries and the resolution of lost answers; a
// protocol only encodes and decodes.
type Protocol interface {
	Get(key string) Exchange
	// Put replaces the object of version want, or creates it if want is zero.
	Put(key string, want uint64, value []byte) Exchange
	Delete(key string, want uint64) Exchange
	// List asks for a page; the first one is empty.
	List(prefix, page string) Exchange
	// Watch asks for changes after a revision. A relaxed watch may be answered with
	// changes that are some seconds late, if that costs the platform less.
	Watch(prefix string, after uint64, wait time.Duration, relaxed bool) Exchange
	Hosts() Exchange

	// Object decodes the answer to Get.
	Object(key string, r *Reply) (vane.Object, error)
	// Written decodes the answer to Put and returns the new version.
	Written(key string, want uint64, r *Reply) (uint64, error)
	// Removed decodes the answer to Delete.
	Removed(key string, want uint64, r *Reply) error
	// Batch decodes the answer to List or Watch, and the next page, if there is one.
	Batch(prefix string, r *Reply) (vane.Batch, string, error)
	// Upstreams decodes the answer to Hosts.
	Upstreams(r *Reply) ([]vane.Upstream, error)
}

// Absent reports an object that does not exist.
func Absent(key string) *vane.Error {
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
func Unexpected(op string, r *Reply) *vane.Error {
	return vane.Errorf(vane.KindInternal, "store."+op, "check that the platform's address names an object API of this version", "unexpected answer with status %d", r.Status)
}
