package lease

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	vane "mustardvane.org/vane"
)

// Times are the durations of the protocol.
type Times struct {
	Lease time.Duration // validity of a lease
	Renew time.Duration // between renewals
	Poll  time.Duration // between reads of another node's lease
	Drift float64       // bound on the difference of clock rates
}

// DefaultTimes returns times that let a crashed holder be replaced within ten
// seconds.
func DefaultTimes() Times {
	return Times{Lease: 6 * time.Second, Renew: 2 * time.Second, Poll: time.Second, Drift: 0.01}
}

// eagerFactor is how much quicker a node polls while a hand-over to it is likely,
// which is for the length of a lease after it began to want the shard.
const eagerFactor = 8

// ActionKind is what a machine wants done.
type ActionKind int

// The kinds of actions.
const (
	ActNone ActionKind = iota
	ActRead
	ActWrite
)

// Action is a call to the platform. Only one is open at a time.
type Action struct {
	Kind  ActionKind
	Want  uint64    // version that a write replaces; zero creates
	Value []byte    // to be written
	Sent  time.Time // when the machine asked for it
}

// Result is the platform's answer to an action.
type Result struct {
	Object vane.Object // of a read; version zero if there is none
	Err    error
}

// Purpose is why a lease object is written.
type Purpose int

// The purposes of writes.
const (
	Acquire Purpose = iota // to take the lease; the data before it must stay true
	Renew                  // to go on holding it
	Release                // to give it up; nothing happens under it any more
)

// DataFunc returns the recovery record for a write. before is the record that
// was read last.
type DataFunc func(p Purpose, before json.RawMessage) json.RawMessage

// Record is a lease object's value.
type Record struct {
	Holder   string          `json:"holder"`
	Nonce    string          `json:"nonce"`
	Released bool            `json:"released,omitempty"`
	Data     json.RawMessage `json:"data,omitempty"` // the holder's recovery record
}

// phase is the state of a machine.
type phase int

const (
	idle     phase = iota // not wanted
	watching              // wanted, held by another node or not known
	holding
	releasing
)

// Machine is the state machine of one shard. It is not safe for concurrent use.
type Machine struct {
	name  string
	times Times
	data  DataFunc
	nonce uint64
	boot  string // makes nonces of different lives differ

	phase            phase
	open             *Action
	next             time.Time // earliest time of the next action
	version          uint64    // of the object, as far as known
	seenAt           time.Time // when that version was first seen
	eager            time.Time // polls are quick until then
	until            time.Time // end of the own lease
	pending          string    // nonce of the own newest write
	sentAt           time.Time // of that write
	doubt            bool      // the outcome of an own write is not known
	record           Record    // of the newest read
	hint             uint64    // version that the holder told of
	hintAt           time.Time // when it did
	took             bool      // the lease was taken and not yet reported
	resumed          bool      // it was taken again without another holder in between
	heldFrom, heldTo uint64    // nonces of the writes of the newest holding
}

// MachineOption changes a machine under construction.
type MachineOption func(*Machine)

// WithData sets the function that gives the recovery record for each write.
func WithData(f DataFunc) MachineOption { return func(m *Machine) { m.data = f } }

// WithBoot sets a string that no other life of this node has.
func WithBoot(boot string) MachineOption { return func(m *Machine) { m.boot = boot } }

// NewMachine returns the machine of a node.
func NewMachine(name string, t Times, opts ...MachineOption) *Machine {
	m := &Machine{name: name, times: t, data: func(_ Purpose, before json.RawMessage) json.RawMessage { return before }}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Holds returns the fencing number, and whether the lease is held now.
func (m *Machine) Holds(now time.Time) (uint64, bool) {
	if (m.phase != holding && m.phase != releasing) || !now.Before(m.until) {
		return 0, false
	}
	return m.version, m.phase == holding
}

// Hint takes word that the lease had the version at a time, as its holder said.
// A read that shows the same version need not wait from its own time on.
func (m *Machine) Hint(version uint64, at time.Time) {
	if version != m.hint {
		m.hint, m.hintAt = version, at
	}
}

// Record returns what the lease object held when it was last read.
func (m *Machine) Record() Record { return m.record }

// Other returns the holder that was read last, if the lease may still be its.
func (m *Machine) Other() string {
	if m.phase != watching || m.record.Released || m.record.Holder == m.name {
		return ""
	}
	return m.record.Holder
}

// Tick returns the next action, if one is due. wanted says whether this node
// should hold the shard.
func (m *Machine) Tick(now time.Time, wanted bool) Action {
	if m.phase == holding && !now.Before(m.until) {
		m.lose(now)
	}
	if m.phase == releasing && !now.Before(m.until) {
		m.phase = idle
	}
	if m.open != nil || now.Before(m.next) {
		return Action{}
	}
	switch m.phase {
	case idle:
		if !wanted {
			return Action{}
		}
		m.phase, m.eager = watching, now.Add(m.times.Lease)
		m.next = now.Add(m.times.Poll / eagerFactor)
		return m.act(now, Action{Kind: ActRead})
	case watching:
		return m.watch(now, wanted)
	case holding:
		if m.doubt {
			m.next = now.Add(m.times.Renew / 4)
			return m.act(now, Action{Kind: ActRead})
		}
		if !wanted {
			return m.release(now)
		}
		m.next = now.Add(m.times.Renew)
		return m.write(now, Renew)
	default:
		return m.write(now, Release)
	}
}

// watch reads the lease, or takes it over when its time is up.
func (m *Machine) watch(now time.Time, wanted bool) Action {
	if !wanted {
		m.phase, m.version, m.seenAt = idle, 0, time.Time{}
		return Action{}
	}
	if m.free(now) {
		return m.write(now, Acquire)
	}
	m.next = now.Add(m.times.Poll)
	if now.Before(m.eager) {
		m.next = now.Add(m.times.Poll / eagerFactor)
	}
	return m.act(now, Action{Kind: ActRead})
}

// free says whether the lease may be taken: it was never held, was released, was
// held last by this node, or its version has not changed for longer than a lease
// lasts on any clock. Lives of a node can't overlap, since each binds the node's
// peer address.
func (m *Machine) free(now time.Time) bool {
	if m.seenAt.IsZero() {
		return false
	}
	if m.version == 0 || m.record.Released || m.record.Holder == m.name {
		return true
	}
	limit := time.Duration(float64(m.times.Lease) * (1 + m.times.Drift))
	return now.Sub(m.seenAt) > limit
}

// release begins to give the lease up. The shard is no longer held from here on.
func (m *Machine) release(now time.Time) Action {
	m.phase = releasing
	return m.write(now, Release)
}

// act opens an action.
func (m *Machine) act(now time.Time, a Action) Action {
	a.Sent = now
	m.open = &a
	return a
}

// write opens a conditional write with a nonce that no other write has.
func (m *Machine) write(now time.Time, p Purpose) Action {
	m.nonce++
	nonce := m.boot + "-" + strconv.FormatUint(m.nonce, 10)
	value, err := json.Marshal(Record{Holder: m.name, Nonce: nonce, Released: p == Release, Data: m.data(p, m.record.Data)})
	if err != nil {
		return Action{}
	}
	m.pending, m.sentAt = nonce, now
	if p == Renew {
		m.heldTo = m.nonce
	}
	return m.act(now, Action{Kind: ActWrite, Want: m.version, Value: value})
}

// Done takes the platform's answer to the open action.
func (m *Machine) Done(now time.Time, a Action, r Result) {
	if m.open == nil || a.Sent != m.open.Sent || a.Kind != m.open.Kind {
		return
	}
	m.open = nil
	if a.Kind == ActRead {
		m.read(now, r)
		return
	}
	m.wrote(now, r)
}

// mine says whether the newest read shows a write of this life of the node.
func (m *Machine) mine() bool {
	return m.record.Holder == m.name && strings.HasPrefix(m.record.Nonce, m.boot+"-")
}

// ofHolding says whether the newest read shows a write of the newest holding, and
// not one with which the node tried to take the lease later.
func (m *Machine) ofHolding() bool {
	n, err := strconv.ParseUint(strings.TrimPrefix(m.record.Nonce, m.boot+"-"), 10, 64)
	return err == nil && m.heldFrom <= n && n <= m.heldTo
}

// read takes the answer to a read.
func (m *Machine) read(now time.Time, r Result) {
	if m.phase != watching && m.phase != holding {
		return
	}
	if r.Err != nil && vane.KindOf(r.Err) != vane.KindNotFound {
		return
	}
	if r.Object.Version < m.version {
		return // a stale read
	}
	changed := m.seenAt.IsZero() || r.Object.Version != m.version
	if changed || m.phase == holding {
		m.record = Record{}
		_ = json.Unmarshal(r.Object.Value, &m.record)
	}
	if m.phase == holding {
		m.resolve(now, r.Object.Version)
		return
	}
	if changed {
		m.version, m.seenAt = r.Object.Version, now
		if m.hint != 0 && m.hint == m.version && m.hintAt.Before(now) {
			m.seenAt = m.hintAt
		}
	}
	if m.mine() && m.record.Nonce == m.pending && !m.record.Released {
		m.hold(now, r.Object.Version)
		return
	}
	m.resumed = m.mine() && !m.record.Released && m.ofHolding()
	if m.free(now) {
		m.next = now
	}
}

// resolve decides by a read what became of an own write without an answer. A
// lease is prolonged only by the write that the read shows.
func (m *Machine) resolve(now time.Time, version uint64) {
	m.doubt = false
	switch {
	case version == m.version:
		m.next = now // the write had no effect yet
	case m.mine() && m.record.Nonce == m.pending:
		m.version, m.until = version, m.sentAt.Add(m.times.Lease)
	case m.mine():
		m.version, m.next = version, now
	default:
		m.lose(now)
	}
}

// hold begins to hold the lease from the own newest write on.
func (m *Machine) hold(now time.Time, version uint64) {
	m.phase, m.version, m.doubt = holding, version, false
	m.heldFrom, m.heldTo = m.nonce, m.nonce
	m.until = m.sentAt.Add(m.times.Lease)
	m.next = m.sentAt.Add(m.times.Renew)
	m.took = now.Before(m.until)
}

// wrote takes the answer to a write.
func (m *Machine) wrote(now time.Time, r Result) {
	if r.Err != nil {
		m.unsure(now)
		return
	}
	switch m.phase {
	case watching:
		m.hold(now, r.Object.Version)
	case holding:
		m.version, m.until = r.Object.Version, m.sentAt.Add(m.times.Lease)
	case releasing:
		m.phase, m.version, m.seenAt = idle, 0, time.Time{}
	}
}

// unsure follows a write that failed or whose outcome is not known. The lease
// goes on as far as the last known write carries it; the next read tells more.
func (m *Machine) unsure(now time.Time) {
	m.next = now.Add(m.times.Renew / 4)
	switch m.phase {
	case watching:
		m.seenAt = time.Time{}
	case holding:
		m.doubt = true
	}
}

// lose follows the loss of a lease.
func (m *Machine) lose(now time.Time) {
	m.phase, m.until, m.seenAt, m.doubt = watching, time.Time{}, time.Time{}, false
	m.version = 0
	m.next = now
}

// RenewSoon makes a holder write its record again soon.
func (m *Machine) RenewSoon(now time.Time) {
	soon := m.sentAt.Add(m.times.Renew / eagerFactor)
	if soon.Before(now) {
		soon = now
	}
	if m.phase == holding && soon.Before(m.next) {
		m.next = soon
	}
}

// Resumed says whether the lease was taken again by the life of the node that held
// it last, with no other holder in between.
func (m *Machine) Resumed() bool { return m.resumed }

// Took says once after each time that the lease was taken.
func (m *Machine) Took() bool {
	t := m.took
	m.took = false
	return t
}
