package claim

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the state of a claim.
type State int

// The states of a claim.
const (
	// Pending means that the call may have been sent and that its outcome is not
	// recorded.
	Pending State = iota // pending
	// Finished means that the outcome is recorded.
	Finished // finished
)

// Limits of claims.
const (
	maxBodyBytes  = 256 << 10              // largest answer body that is recorded
	writeTimeout  = 30 * time.Second       // time after which a repeated write or removal in the background is abandoned
	retryInterval = 200 * time.Millisecond // between two attempts of a write or removal in the background
	retryAfter    = time.Second            // delay that a refusal asks the caller for
)

// Request identifies a call that must not be repeated.
type Request struct {
	Workspace   string
	Key         string // value of the caller's Idempotency-Key header
	Fingerprint uint64 // hash of method, path and body
}

// Outcome is the recorded answer of a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body was larger than maxBodyBytes and is not recorded
	Unframed    bool   `json:"unframed,omitempty"`  // the response did not state the end of its body, which may be incomplete
}

// record is the stored form of a claim.
type record struct {
	Nonce       string   `json:"nonce"` // identifies the attempt that created the claim
	Host        string   `json:"host"`  // node that created the claim
	Fingerprint uint64   `json:"fingerprint"`
	State       string   `json:"state"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Registry creates and reads claims. It is safe for concurrent use.
type Registry struct {
	store    vane.Store
	host     string
	recorder vane.Recorder
}

// NewRegistry returns a registry that keeps its claims in st and records events in rec.
// host is the name of the node, which other nodes see in the claim.
func NewRegistry(st vane.Store, host string, rec vane.Recorder) *Registry {
	return &Registry{store: st, host: host, recorder: rec}
}

// Claim is one call under an idempotency key.
type Claim struct {
	registry *Registry
	key      string // key of the stored object
	ws       string
	version  uint64 // version of the stored object
	rec      record
	replayed bool // rec has the outcome of an earlier call
}

// objectKey returns the store key of a claim.
func objectKey(r Request) string {
	h := sha256.Sum256([]byte(r.Key))
	return "claim/" + url.PathEscape(r.Workspace) + "/" + hex.EncodeToString(h[:16])
}

// Begin creates the claim, or returns the one that another call created if its
// outcome is recorded. For a new claim, the caller sends the call, then calls Finish if
// the outcome is known or Release if no byte was sent; otherwise the claim stays pending.
// Errors are of type [*vane.Refusal].
func (reg *Registry) Begin(ctx context.Context, r Request) (*Claim, error) {
	c := &Claim{registry: reg, key: objectKey(r), ws: r.Workspace, rec: record{
		Nonce: uuid.NewString(), Host: reg.host, Fingerprint: r.Fingerprint, State: Pending.String(),
	}}
	value, err := json.Marshal(c.rec)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonInternal, "the claim could not be encoded").WithCause(err)
	}
	c.version, err = reg.store.Put(ctx, c.key, 0, value)
	if err == nil {
		reg.recorder.Record(vane.Event{Kind: vane.EventClaimed, Workspace: r.Workspace, Subject: c.key})
		return c, nil
	}
	if vane.KindOf(err) == vane.KindConflict {
		return reg.resolveExisting(ctx, c, r)
	}
	// The write may have taken effect. The call was not sent, so the refusal says
	// not_run; the claim, if it exists, is removed in the background.
	if vane.KindOf(err) == vane.KindUnknownOutcome {
		go c.removeUnconfirmed(value)
	}
	return nil, vane.Refuse(vane.ReasonClaimUnavailable, "the platform did not record the call; repeat it later with the same Idempotency-Key").
		WithRetryAfter(retryAfter).WithCause(err)
}

// resolveExisting returns the replay or the refusal that follows from the stored claim.
func (reg *Registry) resolveExisting(ctx context.Context, c *Claim, r Request) (*Claim, error) {
	o, err := reg.store.Get(ctx, c.key)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonClaimPending, "another call with this Idempotency-Key may have run; repeat the request later to get its outcome").
			WithExecution(vane.MayHaveRun).WithRetryAfter(retryAfter).WithCause(err)
	}
	var old record
	if err := json.Unmarshal(o.Value, &old); err != nil {
		return nil, vane.Refuse(vane.ReasonClaimUnknown, "the stored claim can't be decoded; check with the service whether the call ran before using another Idempotency-Key").
			WithExecution(vane.MayHaveRun).WithCause(err)
	}
	switch {
	case old.Fingerprint != r.Fingerprint:
		return nil, vane.Refuse(vane.ReasonClaimConflict, "this Idempotency-Key was used for a different request; use a new key")
	case old.State == Finished.String() && old.Outcome != nil:
		reg.recorder.Record(vane.Event{Kind: vane.EventClaimResolved, Workspace: r.Workspace, Subject: c.key})
		return &Claim{registry: reg, key: c.key, ws: c.ws, version: o.Version, rec: old, replayed: true}, nil
	default:
		return nil, vane.Refuse(vane.ReasonClaimPending, "a call with this Idempotency-Key was sent through %s and its outcome is not recorded; it will not be run again, so check with the service if this persists", old.Host).
			WithExecution(vane.MayHaveRun).WithRetryAfter(retryAfter)
	}
}

// Replayed reports whether the claim already has a recorded outcome.
func (c *Claim) Replayed() bool { return c.replayed }

// Outcome returns the recorded outcome. It panics unless Replayed returns true.
func (c *Claim) Outcome() Outcome { return *c.rec.Outcome }

// Finish records the outcome. It returns at once and retries in the background until
// the platform has stored the outcome or writeTimeout has passed. The channel then
// receives the result; the caller need not wait for it.
func (c *Claim) Finish(out Outcome) <-chan error {
	if len(out.Body) > maxBodyBytes {
		out.Body, out.Truncated = nil, true
	}
	rec := c.rec
	rec.State, rec.Outcome = Finished.String(), &out
	done := make(chan error, 1)
	go func() { done <- c.persist(rec) }()
	return done
}

// persist writes the record and repeats a failed write until writeTimeout has passed. A
// version conflict is not retried.
func (c *Claim) persist(rec record) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for {
		_, err = c.registry.store.Put(ctx, c.key, c.version, value)
		if err == nil || vane.KindOf(err) == vane.KindConflict {
			return err
		}
		if !clock.Sleep(ctx, retryInterval) {
			klog.ErrorS(err, "outcome of a call not recorded within the time-out", "claim", c.key)
			return err
		}
	}
}

// Release removes the claim after a call of which no byte was sent, so that the key
// can be used again. It must not be called in any other case. If the removal fails,
// it is repeated in the background and the first error is returned.
func (c *Claim) Release(ctx context.Context) error {
	err := c.registry.store.Delete(ctx, c.key, c.version)
	if err == nil || vane.KindOf(err) == vane.KindConflict {
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		for clock.Sleep(ctx, retryInterval) {
			if err := c.registry.store.Delete(ctx, c.key, c.version); err == nil || vane.KindOf(err) == vane.KindConflict {
				return
			}
		}
	}()
	return err
}

// removeUnconfirmed removes a claim whose creation was not answered, if it took
// effect.
func (c *Claim) removeUnconfirmed(value []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for clock.Sleep(ctx, retryInterval) {
		o, err := c.registry.store.Get(ctx, c.key)
		if err != nil && vane.KindOf(err) != vane.KindNotFound {
			continue
		}
		if err != nil || !bytes.Equal(o.Value, value) {
			return
		}
		if err := c.registry.store.Delete(ctx, c.key, o.Version); err == nil || vane.KindOf(err) == vane.KindConflict {
			return
		}
	}
}
