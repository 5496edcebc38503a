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

// Bounds of the keeper.
const (
	tickEvery  = 100 * time.Millisecond
	callLimit  = 2 * time.Second
	boxSize    = 256
	finalLimit = 3 * time.Second
)

// Shard is what the keeper publishes about one shard.
type Shard struct {
	Fence uint64
	Until time.Time // valid before this time; zero if not held
	Other string    // the holder that was read last, if it is another node
}

// Keeper is the task that keeps the leases of all shards.
type Keeper struct {
	prefix   string
	st       vane.Store
	rec      vane.Recorder
	machines []*Machine
	wanted   func(shard int) bool
	onTake   func(Taken)
	onLapse  func(shard int, at time.Time)
	onLose   func(shard int)
	onDone   func(shard int, value []byte)
	clock    func() time.Time
	box      *kernel.Mailbox[answer]
	renew    *kernel.Mailbox[int]
	hints    *kernel.Mailbox[hint]
	closing  chan chan struct{}

	mu     sync.Mutex
	shards []Shard
}

// answer is the platform's answer to an action of a shard.
type answer struct {
	shard int
	act   Action
	res   Result
}

// Taken is a lease that was taken.
type Taken struct {
	Shard   int
	Fence   uint64
	Before  Record // of the holder before
	Resumed bool   // that holder was this life of the node
}

// Config says how a keeper works.
type Config struct {
	Prefix string // of the object keys
	Node   string
	Boot   string // differs between lives of the node
	Shards int
	Times  Times
	Wanted func(shard int) bool
	OnTake func(Taken)
	// OnLapse is called when a lease has ended at the given time and no other
	// holder is known; OnLose when another holder is known or the shard was
	// released.
	OnLapse func(shard int, at time.Time)
	OnLose  func(shard int)
	Data    func(shard int, p Purpose, before json.RawMessage) json.RawMessage
	OnDone  func(shard int, value []byte) // a write of this node stands
	// Clock is time.Now if nil. Hosts that can be suspended need a clock that goes on
	// meanwhile.
	Clock func() time.Time
}

// NewKeeper returns a keeper.
func NewKeeper(st vane.Store, rec vane.Recorder, c Config) *Keeper {
	k := &Keeper{
		prefix: c.Prefix, st: st, rec: rec, wanted: c.Wanted, onTake: c.OnTake, onLapse: c.OnLapse, onLose: c.OnLose, onDone: c.OnDone,
		box: kernel.NewMailbox[answer](boxSize), renew: kernel.NewMailbox[int](boxSize), hints: kernel.NewMailbox[hint](boxSize), shards: make([]Shard, c.Shards), closing: make(chan chan struct{}), clock: c.Clock,
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
func (k *Keeper) Key(shard int) string { return fmt.Sprintf("%s/%d", k.prefix, shard) }

// Holds returns the fencing number of a shard, and whether this node holds it
// now.
func (k *Keeper) Holds(shard int) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[shard]
	return s.Fence, k.clock().Before(s.Until)
}

// HoldsFor is like Holds, but the lease must last for at least d.
func (k *Keeper) HoldsFor(shard int, d time.Duration) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[shard]
	return s.Fence, k.clock().Add(d).Before(s.Until)
}

// Holder returns the node that held a shard when this node last read its lease,
// or nothing.
func (k *Keeper) Holder(shard int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[shard].Other
}

// Hint takes word of a holder that its lease on a shard has the version now.
func (k *Keeper) Hint(shard int, version uint64) { k.hints.Send(hint{shard, version, k.clock()}) }

// hint is the word of a holder on its lease.
type hint struct {
	shard   int
	version uint64
	at      time.Time
}

// RenewSoon makes this node write the record of a shard that it holds again soon.
func (k *Keeper) RenewSoon(shard int) { k.renew.Send(shard) }

// Held returns the number of shards held.
func (k *Keeper) Held() int {
	n := 0
	for i := range k.shards {
		if _, ok := k.Holds(i); ok {
			n++
		}
	}
	return n
}

// Run implements kernel.Service.
func (k *Keeper) Run(ctx context.Context, ready func()) error {
	ready()
	defer k.forget()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	leaving := false
	var wg sync.WaitGroup
	defer wg.Wait()
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var released chan struct{}
	for {
		select {
		case a := <-k.box.C():
			k.machines[a.shard].Done(k.clock(), a.act, a.res)
			k.publish(a.shard)
			if a.act.Kind == ActWrite && a.res.Err == nil {
				k.onDone(a.shard, a.act.Value)
			}
		case <-tick.C:
			k.tick(calls, &wg, leaving)
		case i := <-k.renew.C():
			k.machines[i].RenewSoon(k.clock())
		case h := <-k.hints.C():
			k.machines[h.shard].Hint(h.version, h.at)
		case released = <-k.closing:
			leaving = true
		case <-ctx.Done():
			return nil
		}
		if released != nil && k.Held() == 0 && k.quiet() {
			close(released)
			released = nil
		}
	}
}

// forget ends the use of all leases that this node still holds.
func (k *Keeper) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.shards {
		k.shards[i] = Shard{}
	}
}

// quiet says whether no machine is releasing.
func (k *Keeper) quiet() bool {
	for _, m := range k.machines {
		if m.phase == holding || m.phase == releasing {
			return false
		}
	}
	return true
}

// Release gives all leases up, so that others can take them at once. It waits
// until that is done, or for a bounded time.
func (k *Keeper) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalLimit)
	defer cancel()
	done := make(chan struct{})
	select {
	case k.closing <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// tick lets all machines act.
func (k *Keeper) tick(ctx context.Context, wg *sync.WaitGroup, leaving bool) {
	now := k.clock()
	for i, m := range k.machines {
		act := m.Tick(now, !leaving && k.wanted(i))
		k.publish(i)
		if act.Kind == ActNone {
			continue
		}
		wg.Go(func() { k.call(ctx, i, act) })
	}
}

// call performs an action.
func (k *Keeper) call(ctx context.Context, shard int, act Action) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var r Result
	if act.Kind == ActRead {
		r.Object, r.Err = k.st.Get(ctx, k.Key(shard))
	} else {
		r.Object.Version, r.Err = k.st.Put(ctx, k.Key(shard), act.Want, act.Value)
	}
	_ = k.box.Put(context.WithoutCancel(ctx), answer{shard: shard, act: act, res: r})
}

// publish makes a shard's state available and reports what changed.
func (k *Keeper) publish(i int) {
	m := k.machines[i]
	now := k.clock()
	fence, held := m.Holds(now)
	k.mu.Lock()
	was := k.shards[i]
	k.shards[i] = Shard{Other: m.Other()}
	if held {
		k.shards[i] = Shard{Fence: fence, Until: m.until}
	}
	k.mu.Unlock()
	switch {
	case held && m.Took():
		k.rec.Record(vane.Event{What: vane.EventLeaseTaken, Subject: k.Key(i), Have: float64(fence)})
		k.onTake(Taken{Shard: i, Fence: fence, Before: m.Record(), Resumed: m.Resumed()})
	case !held && !was.Until.IsZero():
		k.rec.Record(vane.Event{What: vane.EventLeaseLost, Subject: k.Key(i), Have: float64(was.Fence)})
		if m.phase == watching {
			k.onLapse(i, was.Until)
		}
	case m.Other() != "" || m.phase == idle:
		k.onLose(i)
	}
}
