package lease

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	vane "mustardvane.org/vane"
)

// Times are the durations of the lease protocol.
type Times struct {
	Lease time.Duration // validity of a lease after a write
	Renew time.Duration // interval between renewals
	Poll  time.Duration // interval between reads of a lease held by another node
	Drift float64       // upper bound on the relative difference of clock rates
}

// DefaultTimes returns durations with which a crashed holder is replaced within ten
// seconds.
func DefaultTimes() Times {
	return Times{Lease: 6 * time.Second, Renew: 2 * time.Second, Poll: time.Second, Drift: 0.01}
}

// fastPollFactor is the factor by which a node polls faster while a hand-over to it is
// likely, which is for the duration of one lease after it began to want the shard. RenewSoon
// divides the renewal interval by the same factor.
const fastPollFactor = 8

// phase is the state of a machine.
type phase int

const (
	idle     phase = iota // lease not wanted
	watching              // lease wanted, but held by another node or of unknown state
	holding
	releasing
)

// Machine is the state machine of one shard on one node. It makes no calls itself. It
// is not safe for concurrent use.
type Machine struct {
	name  string
	times Times
	data  DataFunc
	nonce uint64
	boot  string // distinguishes the nonces of this boot of the node

	phase                     phase
	openAction                *Action
	next                      time.Time // earliest time at which the next action may start
	version                   uint64    // last known version of the object
	seenAt                    time.Time // when that version was first seen; zero if the object must be read
	fastPollUntil             time.Time // end of fast polling
	until                     time.Time // end of this node's lease; not meaningful unless it is holding or releasing
	lastNonce                 string    // nonce of this node's newest write
	lastWriteAt               time.Time // when that write was requested
	outcomeUnknown            bool      // the outcome of a write by this node is not known
	record                    Record    // from the newest read
	hintVersion               uint64    // version last stated by the holder
	hintAt                    time.Time // when the holder stated it
	acquired                  bool      // the lease was acquired and JustAcquired has not reported it yet
	resumed                   bool      // acquired again without another holder in between
	uncertain                 bool      // the record before the newest acquiring write may not have been the last one
	holdingFirst, holdingLast uint64    // nonces of the first and last write of the newest holding
}

// MachineOption configures a machine in [NewMachine].
type MachineOption func(*Machine)

// WithData sets the function that returns the recovery data for each write. By default
// the data is kept as it is.
func WithData(f DataFunc) MachineOption { return func(m *Machine) { m.data = f } }

// WithBoot sets a string that is unique to this start of the node.
func WithBoot(boot string) MachineOption { return func(m *Machine) { m.boot = boot } }

// NewMachine returns the machine of the node with the given name.
func NewMachine(name string, t Times, opts ...MachineOption) *Machine {
	m := &Machine{name: name, times: t, data: func(_ Purpose, before json.RawMessage) json.RawMessage { return before }}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Holds returns the fencing number, and whether the lease is held now. While the lease
// is being released, it returns the number and false.
func (m *Machine) Holds(now time.Time) (uint64, bool) {
	if (m.phase != holding && m.phase != releasing) || !now.Before(m.until) {
		return 0, false
	}
	return m.version, m.phase == holding
}

// Hint records that the holder has stated a version of the lease at the given time. If
// a read shows the same version, its waiting time is counted from that time.
func (m *Machine) Hint(version uint64, at time.Time) {
	if version != m.hintVersion {
		m.hintVersion, m.hintAt = version, at
	}
}

// Record returns the record of the newest read.
func (m *Machine) Record() Record { return m.record }

// OtherHolder returns the holder that was read last if it is another node that may
// still hold the lease, or "".
func (m *Machine) OtherHolder() string {
	if m.phase != watching || m.record.Released || m.record.Holder == m.name {
		return ""
	}
	return m.record.Holder
}

// Tick returns the next action, or one of kind ActNone if none is due. wanted says
// whether this node should hold the shard.
func (m *Machine) Tick(now time.Time, wanted bool) Action {
	if m.phase == holding && !now.Before(m.until) {
		m.handleLoss(now)
	}
	if m.phase == releasing && !now.Before(m.until) {
		m.phase = idle
	}
	if m.openAction != nil || now.Before(m.next) {
		return Action{}
	}
	switch m.phase {
	case idle:
		if !wanted {
			return Action{}
		}
		m.phase, m.fastPollUntil = watching, now.Add(m.times.Lease)
		m.next = now.Add(m.times.Poll / fastPollFactor)
		return m.start(now, Action{Kind: ActRead})
	case watching:
		return m.watch(now, wanted)
	case holding:
		if m.outcomeUnknown {
			m.next = now.Add(m.times.Renew / 4)
			return m.start(now, Action{Kind: ActRead})
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

// watch reads the lease, or acquires it if it has expired.
func (m *Machine) watch(now time.Time, wanted bool) Action {
	if !wanted {
		m.phase, m.version, m.seenAt = idle, 0, time.Time{}
		return Action{}
	}
	if m.canAcquire(now) {
		return m.write(now, Acquire)
	}
	m.next = now.Add(m.times.Poll)
	if now.Before(m.fastPollUntil) {
		m.next = now.Add(m.times.Poll / fastPollFactor)
	}
	return m.start(now, Action{Kind: ActRead})
}

// canAcquire reports whether the lease may be acquired: it was never held, was
// released, was last held by this node, or its version has not changed for longer than
// a lease lasts on any clock. Two processes of one node can't overlap, since each binds
// the node's peer address. A record that may have been replaced by one that was lost
// tells nothing of the last holder.
func (m *Machine) canAcquire(now time.Time) bool {
	if m.seenAt.IsZero() {
		return false
	}
	if m.isCurrent() && (vane.RevisionOf(m.version) == 0 || m.record.Released || m.record.Holder == m.name) {
		return true
	}
	limit := time.Duration(float64(m.times.Lease) * (1 + m.times.Drift))
	return now.Sub(m.seenAt) > limit
}

// isCurrent reports whether the newest read shows the last record that was written. After
// the platform has come back from a copy, only a record that was written since then does.
func (m *Machine) isCurrent() bool { return m.record.Restores == vane.RestoresOf(m.version) }

// release starts to release the lease. From here on the shard is not held.
func (m *Machine) release(now time.Time) Action {
	m.phase = releasing
	return m.write(now, Release)
}

// start opens an action.
func (m *Machine) start(now time.Time, a Action) Action {
	a.Sent = now
	m.openAction = &a
	return a
}

// write opens a conditional write with a unique nonce.
func (m *Machine) write(now time.Time, p Purpose) Action {
	m.nonce++
	nonce := m.boot + "-" + strconv.FormatUint(m.nonce, 10)
	value, err := json.Marshal(Record{Holder: m.name, Nonce: nonce, Released: p == Release, Restores: vane.RestoresOf(m.version), Data: m.data(p, m.record.Data)})
	if err != nil {
		return Action{}
	}
	m.lastNonce, m.lastWriteAt = nonce, now
	switch p {
	case Acquire:
		m.uncertain = !m.isCurrent()
	case Renew:
		m.holdingLast = m.nonce
	}
	return m.start(now, Action{Kind: ActWrite, Want: m.version, Value: value})
}

// Done takes the platform's answer to the open action. Answers to any other action are
// ignored.
func (m *Machine) Done(now time.Time, a Action, r Result) {
	if m.openAction == nil || a.Sent != m.openAction.Sent || a.Kind != m.openAction.Kind {
		return
	}
	m.openAction = nil
	if a.Kind == ActRead {
		m.handleRead(now, r)
		return
	}
	if m.phase == watching && r.Err == nil && vane.RestoresOf(r.Object.Version) != vane.RestoresOf(a.Want) {
		m.seenAt = time.Time{} // the record that this write replaced is not the one that was read
		return
	}
	m.handleWritten(now, r)
}

// isOwnRecord reports whether the newest read shows a write of this boot of the node.
func (m *Machine) isOwnRecord() bool {
	return m.record.Holder == m.name && strings.HasPrefix(m.record.Nonce, m.boot+"-")
}

// isOfLastHolding reports whether the newest read shows a write of the newest holding,
// and not of a later attempt to acquire the lease.
func (m *Machine) isOfLastHolding() bool {
	n, err := strconv.ParseUint(strings.TrimPrefix(m.record.Nonce, m.boot+"-"), 10, 64)
	return err == nil && m.holdingFirst <= n && n <= m.holdingLast
}

// handleRead takes the answer to a read.
func (m *Machine) handleRead(now time.Time, r Result) {
	if m.phase != watching && m.phase != holding {
		return
	}
	if r.Err != nil && vane.KindOf(r.Err) != vane.KindNotFound {
		return
	}
	if r.Object.Version < m.version {
		return // stale read
	}
	changed := m.seenAt.IsZero() || r.Object.Version != m.version
	if changed || m.phase == holding {
		m.record = Record{}
		_ = json.Unmarshal(r.Object.Value, &m.record)
	}
	if m.phase == holding {
		m.resolveWrite(now, r.Object.Version)
		return
	}
	if changed {
		m.version, m.seenAt = r.Object.Version, now
		if m.hintVersion != 0 && m.hintVersion == m.version && m.hintAt.Before(now) {
			m.seenAt = m.hintAt
		}
	}
	if m.isCurrent() && m.isOwnRecord() && m.record.Nonce == m.lastNonce && !m.record.Released && now.Before(m.lastWriteAt.Add(m.times.Lease)) {
		m.startHolding(now, r.Object.Version)
		return
	}
	m.resumed = m.isOwnRecord() && !m.record.Released && m.isOfLastHolding()
	if m.canAcquire(now) {
		m.next = now
	}
}

// resolveWrite determines from a read the outcome of a write that got no answer. Only
// the write that the read shows extends the lease.
func (m *Machine) resolveWrite(now time.Time, version uint64) {
	m.outcomeUnknown = false
	switch {
	case version == m.version:
		m.next = now // the write has had no effect so far
	case vane.RestoresOf(version) > vane.RestoresOf(m.version):
		// The platform has lost the record. Other nodes wait for longer than this lease lasts.
		m.version, m.next = version, now
	case m.isOwnRecord() && m.record.Nonce == m.lastNonce:
		m.version, m.until = version, m.lastWriteAt.Add(m.times.Lease)
	case m.isOwnRecord():
		m.version, m.next = version, now
	default:
		m.handleLoss(now)
	}
}

// startHolding enters the holding phase after a successful acquiring write. The lease
// counts from when that write was requested.
func (m *Machine) startHolding(now time.Time, version uint64) {
	m.phase, m.version, m.outcomeUnknown = holding, version, false
	m.holdingFirst, m.holdingLast = m.nonce, m.nonce
	m.until = m.lastWriteAt.Add(m.times.Lease)
	m.next = m.lastWriteAt.Add(m.times.Renew)
	m.acquired = now.Before(m.until)
}

// handleWritten takes the answer to a write.
func (m *Machine) handleWritten(now time.Time, r Result) {
	if r.Err != nil {
		m.handleWriteError(now)
		return
	}
	switch m.phase {
	case watching:
		m.startHolding(now, r.Object.Version)
	case holding:
		m.version, m.until = r.Object.Version, m.lastWriteAt.Add(m.times.Lease)
	case releasing:
		m.phase, m.version, m.seenAt = idle, 0, time.Time{}
	}
}

// handleWriteError handles a write that failed or whose outcome is not known. The lease
// lasts as long as the last confirmed write allows. The next read determines the
// outcome.
func (m *Machine) handleWriteError(now time.Time) {
	m.next = now.Add(m.times.Renew / 4)
	switch m.phase {
	case watching:
		m.seenAt = time.Time{}
	case holding:
		m.outcomeUnknown = true
	}
}

// handleLoss returns to watching after the loss of a lease.
func (m *Machine) handleLoss(now time.Time) {
	m.phase, m.until, m.seenAt, m.outcomeUnknown = watching, time.Time{}, time.Time{}, false
	m.version = 0
	m.next = now
}

// RenewSoon makes a holder write its record again before the next renewal is due.
func (m *Machine) RenewSoon(now time.Time) {
	soon := m.lastWriteAt.Add(m.times.Renew / fastPollFactor)
	if soon.Before(now) {
		soon = now
	}
	if m.phase == holding && soon.Before(m.next) {
		m.next = soon
	}
}

// Resumed reports whether the lease was acquired again by the same boot of the node
// that held it last, with no other holder in between.
func (m *Machine) Resumed() bool { return m.resumed }

// Uncertain reports whether the lease was acquired without knowing its last holder, since
// the platform had lost the record.
func (m *Machine) Uncertain() bool { return m.uncertain }

// JustAcquired returns true once after each acquisition of the lease.
func (m *Machine) JustAcquired() bool {
	t := m.acquired
	m.acquired = false
	return t
}
