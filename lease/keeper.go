package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/kernel"
)

// Limits of the manager.
const (
	tickInterval   = 100 * time.Millisecond // between checks for due actions
	callTimeout    = 2 * time.Second        // of one call to the platform
	mailboxSize    = 256                    // messages that wait for the manager's goroutine, per mailbox
	releaseTimeout = 3 * time.Second        // for the release of all leases when the node stops
)

// ShardStatus is what is known of the lease on one shard.
type ShardStatus struct {
	Fence       uint64
	Until       time.Time // this node holds the lease before this time; zero if it does not
	OtherHolder string    // last known holder if it is another node, else empty
}

// Manager acquires, renews and releases the leases of all shards. Its methods are safe
// for concurrent use.
type Manager struct {
	prefix    string
	store     vane.Store
	recorder  vane.Recorder
	machines  []*Machine
	wanted    func(shard int) bool
	onAcquire func(Acquisition)
	onExpire  func(shard int, at time.Time)
	onLose    func(shard int)
	onWritten func(shard int, value []byte)
	clock     func() time.Time
	answers   *kernel.Mailbox[answer]
	renewals  *kernel.Mailbox[int]
	hints     *kernel.Mailbox[hint]
	releases  chan chan struct{}

	mu     sync.Mutex
	shards []ShardStatus
}

// answer is the platform's answer to an action of a shard.
type answer struct {
	shard  int
	act    Action
	result Result
}

// Acquisition describes a lease that this node has acquired.
type Acquisition struct {
	Shard    int
	Fence    uint64
	Previous Record // last record before the acquisition
	Resumed  bool   // the previous holder was the same boot of this node
}

// Config configures a manager. All fields but Clock are required. The manager calls the
// functions one at a time, from its own goroutine; they must not block.
type Config struct {
	Prefix    string // of the keys of the lease objects
	Node      string
	Boot      string // differs on each start of the node
	Shards    int
	Times     Times
	Wanted    func(shard int) bool // whether this node should hold the shard
	OnAcquire func(Acquisition)    // called after each acquisition
	// OnExpire is called when a lease has ended at the given time and no other holder
	// is known. OnLose is called, also repeatedly, while another holder is known or the
	// shard is not wanted.
	OnExpire  func(shard int, at time.Time)
	OnLose    func(shard int)
	Data      func(shard int, p Purpose, before json.RawMessage) json.RawMessage // returns the recovery data of a shard, like DataFunc
	OnWritten func(shard int, value []byte)                                      // called after a successful write of value by this node
	// Clock is time.Now if nil. Hosts that can be suspended need a clock that also
	// advances during the suspension.
	Clock func() time.Time
}

// NewManager returns a manager for c.Shards shards.
func NewManager(st vane.Store, rec vane.Recorder, c Config) *Manager {
	k := &Manager{
		prefix: c.Prefix, store: st, recorder: rec, wanted: c.Wanted, onAcquire: c.OnAcquire, onExpire: c.OnExpire, onLose: c.OnLose, onWritten: c.OnWritten,
		answers: kernel.NewMailbox[answer](mailboxSize), renewals: kernel.NewMailbox[int](mailboxSize), hints: kernel.NewMailbox[hint](mailboxSize), shards: make([]ShardStatus, c.Shards), releases: make(chan chan struct{}), clock: c.Clock,
	}
	if k.clock == nil {
		k.clock = time.Now
	}
	for i := range c.Shards {
		k.machines = append(k.machines, NewMachine(c.Node, c.Times, WithBoot(c.Boot),
			WithData(func(p Purpose, before json.RawMessage) json.RawMessage { return c.Data(i, p, before) })))
	}
	return k
}

// Key returns the key of a shard's lease object.
func (k *Manager) Key(shard int) string { return fmt.Sprintf("%s/%d", k.prefix, shard) }

// Holds returns the fencing number of a shard, and whether this node holds its lease
// now. The number is zero if the lease was not held at the last update.
func (k *Manager) Holds(shard int) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[shard]
	return s.Fence, k.clock().Before(s.Until)
}

// HoldsFor is like Holds, but reports whether the lease lasts for at least d.
func (k *Manager) HoldsFor(shard int, d time.Duration) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[shard]
	return s.Fence, k.clock().Add(d).Before(s.Until)
}

// Holder returns the node that held a shard when its lease was last read. It returns ""
// if this node holds the lease or no holder is known.
func (k *Manager) Holder(shard int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[shard].OtherHolder
}

// Hint records that the holder of a shard's lease has stated its current version. If
// the holder then crashes, this node can take over sooner.
func (k *Manager) Hint(shard int, version uint64) { k.hints.Send(hint{shard, version, k.clock()}) }

// hint is a holder's statement of the version of its lease.
type hint struct {
	shard   int
	version uint64
	at      time.Time
}

// RenewSoon makes this node rewrite the record of a shard that it holds before the next
// renewal is due.
func (k *Manager) RenewSoon(shard int) { k.renewals.Send(shard) }

// HeldCount returns the number of shards held.
func (k *Manager) HeldCount() int {
	n := 0
	for i := range k.shards {
		if _, ok := k.Holds(i); ok {
			n++
		}
	}
	return n
}

// Run implements kernel.Service.
func (k *Manager) Run(ctx context.Context, ready func()) error {
	ready()
	defer k.dropAll()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	leaving := false
	var wg sync.WaitGroup
	defer wg.Wait()
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var released chan struct{}
	for {
		select {
		case a := <-k.answers.C():
			k.machines[a.shard].Done(k.clock(), a.act, a.result)
			k.publish(a.shard)
			if a.act.Kind == ActWrite && a.result.Err == nil {
				k.onWritten(a.shard, a.act.Value)
			}
		case <-tick.C:
			k.tick(calls, &wg, leaving)
		case i := <-k.renewals.C():
			k.machines[i].RenewSoon(k.clock())
		case h := <-k.hints.C():
			k.machines[h.shard].Hint(h.version, h.at)
		case released = <-k.releases:
			leaving = true
		case <-ctx.Done():
			return nil
		}
		if released != nil && k.HeldCount() == 0 && k.allReleased() {
			close(released)
			released = nil
		}
	}
}

// dropAll clears the status of all shards, so that Holds returns false. The leases are not
// released and expire.
func (k *Manager) dropAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.shards {
		k.shards[i] = ShardStatus{}
	}
}

// allReleased reports whether no machine holds or is releasing a lease.
func (k *Manager) allReleased() bool {
	for _, m := range k.machines {
		if m.phase == holding || m.phase == releasing {
			return false
		}
	}
	return true
}

// Release releases all leases, so that other nodes can take them at once. It returns
// when that is done, when ctx ends, or after releaseTimeout. No lease is acquired
// afterwards.
func (k *Manager) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case k.releases <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// tick starts the next action of every machine that has one due.
func (k *Manager) tick(ctx context.Context, wg *sync.WaitGroup, noneWanted bool) {
	now := k.clock()
	for i, m := range k.machines {
		act := m.Tick(now, !noneWanted && k.wanted(i))
		k.publish(i)
		if act.Kind == ActNone {
			continue
		}
		wg.Go(func() { k.call(ctx, i, act) })
	}
}

// call performs an action and queues the answer.
func (k *Manager) call(ctx context.Context, shard int, act Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r Result
	if act.Kind == ActRead {
		r.Object, r.Err = k.store.Get(ctx, k.Key(shard))
	} else {
		r.Object.Version, r.Err = k.store.Put(ctx, k.Key(shard), act.Want, act.Value)
	}
	_ = k.answers.Put(context.WithoutCancel(ctx), answer{shard: shard, act: act, result: r})
}

// publish updates the status of a shard, and reports changes to the recorder and
// callbacks.
func (k *Manager) publish(i int) {
	m := k.machines[i]
	now := k.clock()
	fence, held := m.Holds(now)
	k.mu.Lock()
	was := k.shards[i]
	k.shards[i] = ShardStatus{OtherHolder: m.OtherHolder()}
	if held {
		k.shards[i] = ShardStatus{Fence: fence, Until: m.until}
	}
	k.mu.Unlock()
	switch {
	case held && m.JustAcquired():
		k.recorder.Record(vane.Event{Kind: vane.EventLeaseTaken, Subject: k.Key(i), Observed: float64(fence)})
		k.onAcquire(Acquisition{Shard: i, Fence: fence, Previous: m.Record(), Resumed: m.Resumed()})
	case !held && !was.Until.IsZero():
		k.recorder.Record(vane.Event{Kind: vane.EventLeaseLost, Subject: k.Key(i), Observed: float64(was.Fence)})
		if m.phase == watching {
			k.onExpire(i, was.Until)
		}
	case m.OtherHolder() != "" || m.phase == idle:
		k.onLose(i)
	}
}
