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
	// Uncertain says that there may have been a later holder than the previous record's,
	// see [Machine.Uncertain].
	Uncertain bool
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
	mgr := &Manager{
		prefix: c.Prefix, store: st, recorder: rec, wanted: c.Wanted, onAcquire: c.OnAcquire, onExpire: c.OnExpire, onLose: c.OnLose, onWritten: c.OnWritten,
		answers: kernel.NewMailbox[answer](mailboxSize), renewals: kernel.NewMailbox[int](mailboxSize), hints: kernel.NewMailbox[hint](mailboxSize), shards: make([]ShardStatus, c.Shards), releases: make(chan chan struct{}), clock: c.Clock,
	}
	if mgr.clock == nil {
		mgr.clock = time.Now
	}
	for i := range c.Shards {
		mgr.machines = append(mgr.machines, NewMachine(c.Node, c.Times, WithBoot(c.Boot),
			WithData(func(p Purpose, before json.RawMessage) json.RawMessage { return c.Data(i, p, before) })))
	}
	return mgr
}

// Key returns the key of a shard's lease object.
func (mgr *Manager) Key(shard int) string { return fmt.Sprintf("%s/%d", mgr.prefix, shard) }

// Holds returns the fencing number of a shard, and whether this node holds its lease
// now. The number is zero if the lease was not held at the last update.
func (mgr *Manager) Holds(shard int) (uint64, bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s := mgr.shards[shard]
	return s.Fence, mgr.clock().Before(s.Until)
}

// HoldsFor is like Holds, but reports whether the lease lasts for at least d.
func (mgr *Manager) HoldsFor(shard int, d time.Duration) (uint64, bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s := mgr.shards[shard]
	return s.Fence, mgr.clock().Add(d).Before(s.Until)
}

// Holder returns the node that held a shard when its lease was last read. It returns ""
// if this node holds the lease or no holder is known.
func (mgr *Manager) Holder(shard int) string {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.shards[shard].OtherHolder
}

// Hint records that the holder of a shard's lease has stated its current version. If
// the holder then crashes, this node can take over sooner.
func (mgr *Manager) Hint(shard int, version uint64) {
	mgr.hints.Send(hint{shard, version, mgr.clock()})
}

// hint is a holder's statement of the version of its lease.
type hint struct {
	shard   int
	version uint64
	at      time.Time
}

// RenewSoon makes this node rewrite the record of a shard that it holds before the next
// renewal is due.
func (mgr *Manager) RenewSoon(shard int) { mgr.renewals.Send(shard) }

// HeldCount returns the number of shards held.
func (mgr *Manager) HeldCount() int {
	n := 0
	for i := range mgr.shards {
		if _, ok := mgr.Holds(i); ok {
			n++
		}
	}
	return n
}

// Run implements kernel.Service.
func (mgr *Manager) Run(ctx context.Context, ready func()) error {
	ready()
	defer mgr.dropAll()
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
		case a := <-mgr.answers.C():
			mgr.machines[a.shard].Done(mgr.clock(), a.act, a.result)
			mgr.publish(a.shard)
			if a.act.Kind == ActWrite && a.result.Err == nil {
				mgr.onWritten(a.shard, a.act.Value)
			}
		case <-tick.C:
			mgr.tick(calls, &wg, leaving)
		case i := <-mgr.renewals.C():
			mgr.machines[i].RenewSoon(mgr.clock())
		case h := <-mgr.hints.C():
			mgr.machines[h.shard].Hint(h.version, h.at)
		case released = <-mgr.releases:
			leaving = true
		case <-ctx.Done():
			return nil
		}
		if released != nil && mgr.HeldCount() == 0 && mgr.allReleased() {
			close(released)
			released = nil
		}
	}
}

// dropAll clears the status of all shards, so that Holds returns false. Leases that were
// not released expire.
func (mgr *Manager) dropAll() {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for i := range mgr.shards {
		mgr.shards[i] = ShardStatus{}
	}
}

// allReleased reports whether no machine holds or is releasing a lease.
func (mgr *Manager) allReleased() bool {
	for _, m := range mgr.machines {
		if m.phase == holding || m.phase == releasing {
			return false
		}
	}
	return true
}

// Release releases all leases, so that other nodes can take them at once. It returns
// when that is done, when ctx ends, or after releaseTimeout. No lease is acquired
// afterwards.
func (mgr *Manager) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case mgr.releases <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// tick starts the next action of every machine that has one due.
func (mgr *Manager) tick(ctx context.Context, wg *sync.WaitGroup, noneWanted bool) {
	now := mgr.clock()
	for i, m := range mgr.machines {
		act := m.Tick(now, !noneWanted && mgr.wanted(i))
		mgr.publish(i)
		if act.Kind == ActNone {
			continue
		}
		wg.Go(func() { mgr.call(ctx, i, act) })
	}
}

// call performs an action and queues the answer.
func (mgr *Manager) call(ctx context.Context, shard int, act Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r Result
	if act.Kind == ActRead {
		r.Object, r.Err = mgr.store.Get(ctx, mgr.Key(shard))
	} else {
		r.Object.Version, r.Err = mgr.store.Put(ctx, mgr.Key(shard), act.Want, act.Value)
	}
	_ = mgr.answers.Put(context.WithoutCancel(ctx), answer{shard: shard, act: act, result: r})
}

// publish updates the status of a shard, and reports changes to the recorder and
// callbacks.
func (mgr *Manager) publish(i int) {
	m := mgr.machines[i]
	now := mgr.clock()
	fence, held := m.Holds(now)
	mgr.mu.Lock()
	was := mgr.shards[i]
	mgr.shards[i] = ShardStatus{OtherHolder: m.OtherHolder()}
	if held {
		mgr.shards[i] = ShardStatus{Fence: fence, Until: m.until}
	}
	mgr.mu.Unlock()
	switch {
	case held && m.JustAcquired():
		mgr.recorder.Record(vane.Event{Kind: vane.EventLeaseTaken, Subject: mgr.Key(i), Observed: float64(fence)})
		mgr.onAcquire(Acquisition{Shard: i, Fence: fence, Previous: m.Record(), Resumed: m.Resumed(), Uncertain: m.Uncertain()})
	case !held && !was.Until.IsZero():
		mgr.recorder.Record(vane.Event{Kind: vane.EventLeaseLost, Subject: mgr.Key(i), Observed: float64(was.Fence)})
		if m.phase == watching {
			mgr.onExpire(i, was.Until)
		}
	case m.OtherHolder() != "" || m.phase == idle:
		mgr.onLose(i)
	}
}
