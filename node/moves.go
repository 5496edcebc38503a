package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/wire"
)

// Bounds of the moves.
const (
	moveTick    = 500 * time.Millisecond
	moveTimeout = 2 * time.Second
	maxSamples  = 512 // that wait to be told to the node that steps a move
)

// move is what the node knows of one model's move.
type move struct {
	canary.Move
	version uint64    // of the platform's object; zero if there is none
	since   time.Time // when the stage was first seen here
	own     *canary.Evidence
	all     *canary.Evidence // of all nodes, at the node that steps the move
	goodAt  int              // good results when the stage began
	stopped *canary.Verdict  // a fault was seen; the platform may not know yet
}

// moves is the service of the version moves. It decides which version a request
// goes to, collects evidence, and steps the moves of the models that this node is
// preferred for. Any node may take a move back.
type moves struct {
	n *Node

	mu     sync.Mutex
	byName map[string]*move
	queue  []*wire.Sample
}

func newMoves(n *Node) *moves { return &moves{n: n, byName: make(map[string]*move)} }

// target returns the version that the configuration asks for.
func (s *moves) target(model string) (config.Model, bool) {
	for _, m := range s.n.conf.Current().Fleet.Models {
		if m.Name == model && m.Version != "" {
			return m, true
		}
	}
	return config.Model{}, false
}

// other returns a live version of the model that is not the given one, or nothing.
func (s *moves) other(model, version string) string {
	for _, u := range s.n.dir.All() {
		if u.Model == model && u.Version != version && u.State == vane.UpstreamLive {
			return u.Version
		}
	}
	return ""
}

// Choose implements route.Versions.
func (s *moves) Choose(model string, id [16]byte) []string {
	want, ok := s.target(model)
	if !ok {
		return []string{""}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byName[model]
	switch {
	case m == nil || m.version == 0:
		if old := s.other(model, want.Version); old != "" {
			return []string{old} // the move has not begun
		}
		return []string{want.Version}
	case m.stopped != nil || m.Stage == canary.StageTakenBack:
		return []string{m.From}
	case m.To != want.Version || m.Stage == canary.StageDone:
		return []string{m.Carrier()}
	}
	return m.split(id)
}

// split draws the version of a request while a move is open. The same request gets
// the same version from every node.
func (m *move) split(id [16]byte) []string {
	draw := float64(binary.LittleEndian.Uint64(id[:8])) / math.MaxUint64
	switch {
	case draw < m.Share():
		return []string{m.To, m.From}
	case m.Stage >= canary.StageHalf:
		return []string{m.From, m.To}
	default:
		return []string{m.From}
	}
}

// Observe implements route.Versions.
func (s *moves) Observe(model string, x canary.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byName[model]
	if m == nil || !m.Open() || m.stopped != nil {
		return
	}
	m.own.Add(x)
	m.all.Add(x)
	s.convict(m)
	if len(s.queue) < maxSamples {
		s.queue = append(s.queue, &wire.Sample{
			Model: model, Version: x.Version, Route: x.Route, Failed: x.Failed,
			FirstUs: uint32(x.First.Microseconds()), Uncached: uint32(x.Uncached), GapUs: uint32(x.Gap.Microseconds()),
		})
	}
}

// ReceiveSamples takes outcomes of other nodes.
func (s *moves) ReceiveSamples(r *wire.ObserveRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range r.GetSamples() {
		m := s.byName[x.GetModel()]
		if m == nil || !m.Open() || m.stopped != nil {
			continue
		}
		m.all.Add(canary.Sample{
			Version: x.GetVersion(), Route: x.GetRoute(), Failed: x.GetFailed(), Uncached: int(x.GetUncached()),
			First: time.Duration(x.GetFirstUs()) * time.Microsecond, Gap: time.Duration(x.GetGapUs()) * time.Microsecond,
		})
		s.convict(m)
	}
}

// convict stops a move whose new version is bad: here at once, at the other nodes
// within a message's delay, and for good by the next tick. The lock is held.
func (s *moves) convict(m *move) {
	v, bad := m.own.Verdict()
	if !bad {
		v, bad = m.all.Verdict()
	}
	if !bad {
		return
	}
	m.stopped = &v
	s.n.ring.Record(vane.Event{What: vane.EventMoveBack, Reason: v.Reason, Workspace: v.Route, Subject: m.To, Have: v.Have, Want: v.Want})
	go s.broadcastStop(&wire.StopRequest{
		Model: m.Model, Version: m.To, Order: m.Order, Reason: int32(v.Reason), Route: v.Route, Have: v.Have, Want: v.Want,
	})
}

// broadcastStop tells all members that a version has shown a fault.
func (s *moves) broadcastStop(r *wire.StopRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.n.peers.View().Members {
		if m.Live() {
			wg.Go(func() { _ = s.n.peers.StopMove(ctx, m.Addr, r) })
		}
	}
	wg.Wait()
}

// ReceiveStop takes the word of another node that a version has shown a fault.
func (s *moves) ReceiveStop(r *wire.StopRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byName[r.GetModel()]
	if m != nil && m.Open() && m.To == r.GetVersion() && m.Order == r.GetOrder() && m.stopped == nil {
		m.stopped = &canary.Verdict{Reason: vane.Reason(r.GetReason()), Route: r.GetRoute(), Have: r.GetHave(), Want: r.GetWant()}
	}
}

// ApplyObject takes a move as the platform, or a peer, has it. Older ones are ignored.
func (s *moves) ApplyObject(o vane.Object) {
	model, ok := strings.CutPrefix(o.Key, canary.Prefix)
	if !ok || o.Deleted {
		return
	}
	next, err := canary.Decode(o.Value)
	if err != nil {
		klog.ErrorS(err, "move ignored", "model", model)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byName[model]
	if m != nil && o.Version <= m.version {
		return
	}
	if m == nil || m.Order != next.Order || m.To != next.To {
		m = &move{own: canary.NewEvidence(next.From, next.To), all: canary.NewEvidence(next.From, next.To)}
		s.byName[model] = m
	}
	m.Move, m.version, m.since, m.goodAt = next, o.Version, time.Now(), m.all.Good()
	s.n.ring.Record(vane.Event{What: vane.EventMoveStep, Reason: next.Reason, Workspace: next.Route, Subject: next.To, Have: next.Share(), Want: 1})
}

// Objects returns the moves in the form for peers.
func (s *moves) Objects() []*wire.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.Object
	for name, m := range s.byName {
		if value, err := json.Marshal(m.Move); err == nil && m.version > 0 {
			out = append(out, &wire.Object{Key: canary.Prefix + name, Version: m.version, Value: value})
		}
	}
	return out
}

// Run implements kernel.Service.
func (s *moves) Run(ctx context.Context, ready func()) error {
	ready()
	t := time.NewTicker(moveTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// tick tells outcomes to the nodes that step, and writes the steps that are due.
func (s *moves) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	s.flush(ctx)
	for _, want := range s.n.conf.Current().Fleet.Models {
		if want.Version == "" {
			continue
		}
		if next, version, due := s.due(want); due {
			s.write(ctx, next, version)
		}
	}
}

// flush tells the queued outcomes to the nodes that step the models' moves.
func (s *moves) flush(ctx context.Context) {
	s.mu.Lock()
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	batches := make(map[string]*wire.ObserveRequest)
	for _, x := range queue {
		name := s.stepper(x.GetModel())
		if batches[name] == nil {
			batches[name] = &wire.ObserveRequest{}
		}
		batches[name].Samples = append(batches[name].Samples, x)
	}
	for name, b := range batches {
		if m, ok := s.n.member(name); ok {
			_ = s.n.peers.Observe(ctx, m.Addr, b)
		}
	}
}

// stepper returns the node that steps a model's move. Two that both think so do no
// harm: each step is a conditional update of the same object.
func (s *moves) stepper(model string) string { return preferredFor(s.n.serving(), "move/"+model) }

// due returns the next state of a model's move and the version of the object that
// it replaces, if this node should write it.
func (s *moves) due(want config.Model) (canary.Move, uint64, bool) {
	steps := s.stepper(want.Name) == s.n.set.Node.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byName[want.Name]
	switch {
	case m != nil && m.Open() && m.stopped != nil:
		return m.TakeBack(*m.stopped), m.version, true
	case !steps:
		return canary.Move{}, 0, false
	case m == nil || m.To != want.Version:
		return s.begin(want, m), versionOf(m), s.n.dir.Loaded()
	}
	next, ok := m.Next(time.Since(m.since), m.all.Good()-m.goodAt)
	return next, m.version, ok
}

// versionOf returns the version of a move's object, or zero.
func versionOf(m *move) uint64 {
	if m == nil {
		return 0
	}
	return m.version
}

// begin returns the first state of a move. If no other version is live, the new one
// carries the traffic at once.
func (s *moves) begin(want config.Model, before *move) canary.Move {
	m := canary.Move{Model: want.Name, To: want.Version, Order: s.n.conf.Current().Revision}
	if before != nil {
		m.From = before.Carrier()
	}
	if m.From == "" || m.From == m.To {
		m.From = s.other(want.Name, want.Version)
	}
	if m.From == "" {
		m.Stage = canary.StageDone
	}
	return m
}

// write puts a state of a move into the platform.
func (s *moves) write(ctx context.Context, m canary.Move, version uint64) {
	value, err := json.Marshal(m.WithNonce(uuid.NewString()))
	if err != nil {
		return
	}
	key := canary.Prefix + m.Model
	next, err := s.n.st.Put(ctx, key, version, value)
	if err != nil {
		klog.V(2).InfoS("move not written", "model", m.Model, "err", err)
		return
	}
	s.ApplyObject(vane.Object{Key: key, Version: next, Value: value})
}

// MoveStatus is what operators see of a move.
type MoveStatus struct {
	Model  string       `json:"model"`
	From   string       `json:"from"`
	To     string       `json:"to"`
	Stage  canary.Stage `json:"stage"`
	Share  float64      `json:"share"`
	Good   int          `json:"good"`    // good results of the new version heard of here
	MoveBy string       `json:"move_by"` // deadline, or nothing
	Late   bool         `json:"late"`    // the deadline can't be met any more
	Reason vane.Reason  `json:"reason"`
	Route  string       `json:"route,omitempty"`
	Have   float64      `json:"have,omitempty"`
	Want   float64      `json:"want,omitempty"`
}

// Status returns the moves as this node sees them.
func (s *moves) Status(now time.Time) []MoveStatus {
	out := []MoveStatus{}
	for _, want := range s.n.conf.Current().Fleet.Models {
		s.mu.Lock()
		m := s.byName[want.Name]
		if m != nil {
			st := MoveStatus{
				Model: m.Model, From: m.From, To: m.To, Stage: m.Stage, Share: m.Share(), Good: m.all.Good(),
				MoveBy: want.MoveBy, Reason: m.Reason, Route: m.Route, Have: m.Have, Want: m.Want,
			}
			if m.stopped != nil && m.Open() {
				st.Share, st.Reason = 0, m.stopped.Reason
			}
			st.Late = late(now, m, want.MoveBy)
			out = append(out, st)
		}
		s.mu.Unlock()
	}
	return out
}

// late says whether a deadline can't be met any more, since the stages that remain
// last too long.
func late(now time.Time, m *move, by string) bool {
	t, err := time.Parse(time.RFC3339, by)
	if err != nil || m.Stage == canary.StageDone {
		return false
	}
	left := max(0, int(canary.StageDone-m.Stage))
	return m.Stage == canary.StageTakenBack || now.Add(time.Duration(left)*canary.Dwell).After(t)
}
