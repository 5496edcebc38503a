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
	// Pending means that the call may have gone out and its outcome is not
	// recorded.
	Pending State = iota // pending
	// Finished means that the outcome is recorded.
	Finished // finished
)

// Bounds of claims.
const (
	maxBody    = 256 << 10 // bytes of a recorded answer
	finishWait = 30 * time.Second
	retryPause = 200 * time.Millisecond
	retryAfter = time.Second
)

// Request names a call that may not be repeated.
type Request struct {
	Workspace   string
	Key         string // the caller's Idempotency-Key
	Fingerprint uint64 // of method, path and body
}

// Outcome is the recorded answer of a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body was too large to record
}

// record is a claim as the platform keeps it.
type record struct {
	Nonce       string   `json:"nonce"` // of the creator
	Host        string   `json:"host"`  // node that created it
	Fingerprint uint64   `json:"fingerprint"`
	State       string   `json:"state"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Registry creates and reads claims.
type Registry struct {
	st   vane.Store
	host string
	rec  vane.Recorder
}

// NewRegistry returns a registry that keeps its claims in st.
func NewRegistry(st vane.Store, host string, rec vane.Recorder) *Registry {
	return &Registry{st: st, host: host, rec: rec}
}

// Claim is one call under a key.
type Claim struct {
	b       *Registry
	key     string // of the object
	ws      string
	version uint64
	rec     record
	replay  bool
}

// objectKey returns the platform's key of a claim.
func objectKey(r Request) string {
	h := sha256.Sum256([]byte(r.Key))
	return "claim/" + url.PathEscape(r.Workspace) + "/" + hex.EncodeToString(h[:16])
}

// Begin creates the claim, or finds the one that another call created.
func (b *Registry) Begin(ctx context.Context, r Request) (*Claim, error) {
	c := &Claim{b: b, key: objectKey(r), ws: r.Workspace, rec: record{
		Nonce: uuid.NewString(), Host: b.host, Fingerprint: r.Fingerprint, State: Pending.String(),
	}}
	value, err := json.Marshal(c.rec)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonInternal, "the claim could not be encoded").WithCause(err)
	}
	c.version, err = b.st.Put(ctx, c.key, 0, value)
	if err == nil {
		b.rec.Record(vane.Event{Kind: vane.EventClaimed, Workspace: r.Workspace, Subject: c.key})
		return c, nil
	}
	if vane.KindOf(err) == vane.KindConflict {
		return b.existing(ctx, c, r)
	}
	// The claim may or may not stand. Nothing was sent, so not_run is true; if it
	// stands, Release clears it in the background.
	if vane.KindOf(err) == vane.KindUnknownOutcome {
		go c.releaseLost(value)
	}
	return nil, vane.Refuse(vane.ReasonClaimUnavailable, "the platform can't record the call; repeat it later with the same Idempotency-Key").
		WithRetryAfter(retryAfter).WithCause(err)
}

// existing decides by the claim that is already there.
func (b *Registry) existing(ctx context.Context, c *Claim, r Request) (*Claim, error) {
	o, err := b.st.Get(ctx, c.key)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonClaimPending, "another call under this Idempotency-Key may have run; repeat later to learn its outcome").
			WithExecution(vane.MayHaveRun).WithRetryAfter(retryAfter).WithCause(err)
	}
	var old record
	if err := json.Unmarshal(o.Value, &old); err != nil {
		return nil, vane.Refuse(vane.ReasonClaimUnknown, "the claim can't be read; use another Idempotency-Key after checking with the service").
			WithExecution(vane.MayHaveRun).WithCause(err)
	}
	switch {
	case old.Fingerprint != r.Fingerprint:
		return nil, vane.Refuse(vane.ReasonClaimConflict, "this Idempotency-Key was used with another request; use a new key")
	case old.State == Finished.String() && old.Outcome != nil:
		b.rec.Record(vane.Event{Kind: vane.EventClaimResolved, Workspace: r.Workspace, Subject: c.key})
		return &Claim{b: b, key: c.key, ws: c.ws, version: o.Version, rec: old, replay: true}, nil
	default:
		return nil, vane.Refuse(vane.ReasonClaimPending, "a call under this Idempotency-Key went out through %s and its outcome is not recorded; it is not run again, so check with the service if this lasts", old.Host).
			WithExecution(vane.MayHaveRun).WithRetryAfter(retryAfter)
	}
}

// Replay says whether the call already has an outcome.
func (c *Claim) Replay() bool { return c.replay }

// Outcome returns the recorded outcome of a replay.
func (c *Claim) Outcome() Outcome { return *c.rec.Outcome }

// Finish records the outcome. It retries in the background until the platform
// took it or finishWait is over; the caller need not wait for that.
func (c *Claim) Finish(out Outcome) <-chan error {
	if len(out.Body) > maxBody {
		out.Body, out.Truncated = nil, true
	}
	rec := c.rec
	rec.State, rec.Outcome = Finished.String(), &out
	done := make(chan error, 1)
	go func() { done <- c.persist(rec) }()
	return done
}

// persist writes the record until it stands.
func (c *Claim) persist(rec record) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	for {
		_, err = c.b.st.Put(ctx, c.key, c.version, value)
		if err == nil || vane.KindOf(err) == vane.KindConflict {
			return err
		}
		if !clock.Sleep(ctx, retryPause) {
			klog.ErrorS(err, "outcome of a call not recorded", "claim", c.key)
			return err
		}
	}
}

// Release takes the claim back after a call of which no byte went out. The key
// may then be used again. It must not be called otherwise.
func (c *Claim) Release(ctx context.Context) error {
	err := c.b.st.Delete(ctx, c.key, c.version)
	if err == nil || vane.KindOf(err) == vane.KindConflict {
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishWait)
		defer cancel()
		for clock.Sleep(ctx, retryPause) {
			if err := c.b.st.Delete(ctx, c.key, c.version); err == nil || vane.KindOf(err) == vane.KindConflict {
				return
			}
		}
	}()
	return err
}

// releaseLost removes a claim whose creation had no answer, if it took effect.
func (c *Claim) releaseLost(value []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	for clock.Sleep(ctx, retryPause) {
		o, err := c.b.st.Get(ctx, c.key)
		if err != nil && vane.KindOf(err) != vane.KindNotFound {
			continue
		}
		if err != nil || !bytes.Equal(o.Value, value) {
			return
		}
		if err := c.b.st.Delete(ctx, c.key, o.Version); err == nil || vane.KindOf(err) == vane.KindConflict {
			return
		}
	}
}
