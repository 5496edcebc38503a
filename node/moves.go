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

// Intervals and limits of the version moves.
const (
	moveTick         = 500 * time.Millisecond // time between two calls of moves.tick
	moveTimeout      = 2 * time.Second        // limit of one tick and of one broadcast
	maxQueuedSamples = 512                    // samples waiting to be sent to coordinators; further ones are dropped
)

// move is this node's state of one model's version move: the gradual transfer of
// the model's traffic from one version of its weights to another.
type move struct {
	canary.Move
	objectVersion    uint64             // version of the move's object in the platform; 0 if it has not been written yet
	stageSince       time.Time          // when this node first saw the stage
	localEvidence    *canary.Comparison // outcomes of the requests that this node routed
	fleetEvidence    *canary.Comparison // localEvidence and outcomes received from other nodes; complete only at the coordinator
	goodAtStageStart int                // successful results in fleetEvidence when the stage began
	verdict          *canary.Regression // why the move must be rolled back, set before the platform records the rollback; nil if no regression is known
}

// moves is the service that runs version moves. It decides which version a request
// goes to, collects outcomes as evidence, and advances the moves of the models that
// this node coordinates. Any node may roll a move back.
type moves struct {
	node *Node

	mu            sync.Mutex
	byModel       map[string]*move
	queuedSamples []*wire.Sample
}

func newMoves(n *Node) *moves { return &moves{node: n, byModel: make(map[string]*move)} }

// targetModel returns the configuration of a model, and false if the configuration
// asks for no particular version of it.
func (s *moves) targetModel(model string) (config.Model, bool) {
	for _, m := range s.node.config.Current().Fleet.Models {
		if m.Name == model && m.Version != "" {
			return m, true
		}
	}
	return config.Model{}, false
}

// otherLiveVersion returns a version of the model, other than the given one, that
// is served by a live upstream, or "" if there is none.
func (s *moves) otherLiveVersion(model, version string) string {
	for _, u := range s.node.directory.All() {
		if u.Model == model && u.Version != version && u.State == vane.UpstreamLive {
			return u.Version
		}
	}
	return ""
}

// Choose implements route.Versions. It returns the versions in order of preference;
// "" stands for any version.
func (s *moves) Choose(model string, id [16]byte) []string {
	want, ok := s.targetModel(model)
	if !ok {
		return []string{""}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	switch {
	case m == nil || m.objectVersion == 0:
		if old := s.otherLiveVersion(model, want.Version); old != "" {
			return []string{old} // keep the old version until the move's object exists
		}
		return []string{want.Version}
	case m.verdict != nil || m.Stage == canary.StageRolledBack:
		return []string{m.From}
	case m.To != want.Version || m.Stage == canary.StageDone:
		return []string{m.ActiveVersion()}
	}
	return m.splitVersions(id)
}

// splitVersions returns the versions for a request while a move is open, in order
// of preference. The choice depends only on the request's id, so that all nodes
// choose the same version for a request.
func (m *move) splitVersions(id [16]byte) []string {
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
	m := s.byModel[model]
	if m == nil || !m.InProgress() || m.verdict != nil {
		return
	}
	m.localEvidence.Add(x)
	m.fleetEvidence.Add(x)
	s.checkVerdict(m)
	if len(s.queuedSamples) < maxQueuedSamples {
		s.queuedSamples = append(s.queuedSamples, &wire.Sample{
			Model: model, Version: x.Version, Route: x.Route, Failed: x.Failed,
			FirstUs: uint32(x.FirstToken.Microseconds()), Uncached: uint32(x.UncachedTokens), GapUs: uint32(x.TokenGap.Microseconds()),
		})
	}
}

// ReceiveSamples adds outcomes that another node observed to the evidence.
func (s *moves) ReceiveSamples(r *wire.ObserveRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, x := range r.GetSamples() {
		m := s.byModel[x.GetModel()]
		if m == nil || !m.InProgress() || m.verdict != nil {
			continue
		}
		m.fleetEvidence.Add(canary.Sample{
			At: now, Version: x.GetVersion(), Route: x.GetRoute(), Failed: x.GetFailed(), UncachedTokens: int(x.GetUncached()),
			FirstToken: time.Duration(x.GetFirstUs()) * time.Microsecond, TokenGap: time.Duration(x.GetGapUs()) * time.Microsecond,
		})
		s.checkVerdict(m)
	}
}

// checkVerdict stops a move if the evidence shows that the new version is faulty.
// This node stops routing to the new version at once, the other nodes when they
// receive the broadcast, and the next tick records the rollback in the platform.
// The caller holds s.mu.
func (s *moves) checkVerdict(m *move) {
	v, bad := m.localEvidence.Regression()
	if !bad {
		v, bad = m.fleetEvidence.Regression()
	}
	if !bad {
		return
	}
	m.verdict = &v
	s.node.events.Record(vane.Event{Kind: vane.EventMoveRolledBack, Reason: v.Reason, Workspace: v.Route, Subject: m.To, Observed: v.Observed, Threshold: v.Expected})
	go s.broadcastStop(&wire.StopRequest{
		Model: m.Model, Version: m.To, Order: m.ConfigRevision, Reason: int32(v.Reason), Route: v.Route, Have: v.Observed, Want: v.Expected,
	})
}

// broadcastStop notifies all live members that a version is faulty.
func (s *moves) broadcastStop(r *wire.StopRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.node.peers.View().Members {
		if m.Live() {
			wg.Go(func() { _ = s.node.peers.StopMove(ctx, m.Addr, r) })
		}
	}
	wg.Wait()
}

// ReceiveStop stops a move because another node found its new version faulty.
func (s *moves) ReceiveStop(r *wire.StopRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[r.GetModel()]
	if m != nil && m.InProgress() && m.To == r.GetVersion() && m.ConfigRevision == r.GetOrder() && m.verdict == nil {
		m.verdict = &canary.Regression{Reason: vane.Reason(r.GetReason()), Route: r.GetRoute(), Observed: r.GetHave(), Expected: r.GetWant()}
	}
}

// ApplyObject updates a move from its object in the platform or in a peer's
// snapshot. Objects that are not newer than the known one are ignored.
func (s *moves) ApplyObject(o vane.Object) {
	model, ok := strings.CutPrefix(o.Key, canary.KeyPrefix)
	if !ok || o.Deleted {
		return
	}
	next, err := canary.Decode(o.Value)
	if err != nil {
		klog.ErrorS(err, "version move ignored; its object can't be decoded", "model", model)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	if m != nil && o.Version <= m.objectVersion {
		return
	}
	if m == nil || m.ConfigRevision != next.ConfigRevision || m.To != next.To {
		m = &move{localEvidence: canary.NewComparison(next.From, next.To), fleetEvidence: canary.NewComparison(next.From, next.To)}
		s.byModel[model] = m
	}
	m.Move, m.objectVersion, m.stageSince, m.goodAtStageStart = next, o.Version, time.Now(), m.fleetEvidence.Good()
	s.node.events.Record(vane.Event{Kind: vane.EventMoveStep, Reason: next.Reason, Workspace: next.Route, Subject: next.To, Observed: next.Share(), Threshold: 1})
}

// Objects returns the moves that the platform has recorded, encoded for snapshots
// to peers.
func (s *moves) Objects() []*wire.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.Object
	for name, m := range s.byModel {
		if value, err := json.Marshal(m.Move); err == nil && m.objectVersion > 0 {
			out = append(out, &wire.Object{Key: canary.KeyPrefix + name, Version: m.objectVersion, Value: value})
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

// tick sends queued samples to the coordinators and writes the state changes that
// are due.
func (s *moves) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	s.sendSamples(ctx)
	for _, want := range s.node.config.Current().Fleet.Models {
		if want.Version == "" {
			continue
		}
		if next, version, due := s.nextState(want); due {
			s.writeState(ctx, next, version)
		}
	}
}

// sendSamples sends the queued samples to the coordinators of their models. Samples
// that can't be sent are dropped.
func (s *moves) sendSamples(ctx context.Context) {
	s.mu.Lock()
	queue := s.queuedSamples
	s.queuedSamples = nil
	s.mu.Unlock()
	batches := make(map[string]*wire.ObserveRequest)
	for _, x := range queue {
		name := s.coordinator(x.GetModel())
		if batches[name] == nil {
			batches[name] = &wire.ObserveRequest{}
		}
		batches[name].Samples = append(batches[name].Samples, x)
	}
	for name, b := range batches {
		if m, ok := s.node.liveMember(name); ok {
			_ = s.node.peers.Observe(ctx, m.Addr, b)
		}
	}
}

// coordinator returns the name of the node that advances a model's move. Two nodes
// may both consider themselves coordinator while their membership views differ;
// this is safe since each state change is a conditional update of the same object.
func (s *moves) coordinator(model string) string {
	return highestRanked(s.node.servingMembers(), "move/"+model)
}

// nextState returns the next state of a model's move and the version of the object
// that it replaces. It returns false if this node should write nothing now.
func (s *moves) nextState(model config.Model) (canary.Move, uint64, bool) {
	isCoordinator := s.coordinator(model.Name) == s.node.settings.Node.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model.Name]
	switch {
	case m != nil && m.InProgress() && m.verdict != nil:
		return m.RollBack(*m.verdict), m.objectVersion, true
	case !isCoordinator:
		return canary.Move{}, 0, false
	case m == nil || m.To != model.Version:
		return s.firstState(model, m), objectVersionOf(m), s.node.directory.Loaded()
	}
	next, ok := m.Next(time.Since(m.stageSince), m.fleetEvidence.Good()-m.goodAtStageStart)
	return next, m.objectVersion, ok
}

// objectVersionOf returns the version of a move's object, or 0 if m is nil.
func objectVersionOf(m *move) uint64 {
	if m == nil {
		return 0
	}
	return m.objectVersion
}

// firstState returns the first state of a move. If no other version is live, the
// move is done at once and the new version gets all traffic.
func (s *moves) firstState(model config.Model, previous *move) canary.Move {
	m := canary.Move{Model: model.Name, To: model.Version, ConfigRevision: s.node.config.Current().Revision}
	if previous != nil {
		m.From = previous.ActiveVersion()
	}
	if m.From == "" || m.From == m.To {
		m.From = s.otherLiveVersion(model.Name, model.Version)
	}
	if m.From == "" {
		m.Stage = canary.StageDone
	}
	return m
}

// writeState writes a state of a move to the platform, provided that the object
// still has the given version.
func (s *moves) writeState(ctx context.Context, m canary.Move, version uint64) {
	value, err := json.Marshal(m.WithNonce(uuid.NewString()))
	if err != nil {
		return
	}
	key := canary.KeyPrefix + m.Model
	next, err := s.node.store.Put(ctx, key, version, value)
	if err != nil {
		klog.V(2).InfoS("version move not written to the platform; next attempt at the next tick", "model", m.Model, "err", err)
		return
	}
	s.ApplyObject(vane.Object{Key: key, Version: next, Value: value})
}

// MoveStatus is the status of a version move in the answer of GET /v1/status.
type MoveStatus struct {
	Model  string       `json:"model"`
	From   string       `json:"from"`
	To     string       `json:"to"`
	Stage  canary.Stage `json:"stage"`
	Share  float64      `json:"share"`   // fraction of requests that go to the new version, from 0 to 1
	Good   int          `json:"good"`    // successful results of the new version known to this node
	MoveBy string       `json:"move_by"` // deadline in RFC 3339 form; empty if there is none
	Late   bool         `json:"late"`    // the deadline can no longer be met
	Reason vane.Reason  `json:"reason"`
	Route  string       `json:"route,omitempty"`
	Have   float64      `json:"have,omitempty"` // fraction of bad results of the new version, if it was rolled back
	Want   float64      `json:"want,omitempty"` // fraction of bad results that was expected, if it was rolled back
}

// Status returns the status of all moves in this node's view.
func (s *moves) Status(now time.Time) []MoveStatus {
	out := []MoveStatus{}
	for _, want := range s.node.config.Current().Fleet.Models {
		s.mu.Lock()
		m := s.byModel[want.Name]
		if m != nil {
			st := MoveStatus{
				Model: m.Model, From: m.From, To: m.To, Stage: m.Stage, Share: m.Share(), Good: m.fleetEvidence.Good(),
				MoveBy: want.MoveBy, Reason: m.Reason, Route: m.Route, Have: m.Observed, Want: m.Expected,
			}
			if m.verdict != nil && m.InProgress() {
				st.Share, st.Reason = 0, m.verdict.Reason
			}
			st.Late = deadlineMissed(now, m, want.MoveBy)
			out = append(out, st)
		}
		s.mu.Unlock()
	}
	return out
}

// deadlineMissed reports whether a move can no longer be done by its deadline,
// because it was rolled back or the minimum durations of the remaining stages end
// too late. It returns false if there is no deadline.
func deadlineMissed(now time.Time, m *move, deadline string) bool {
	t, err := time.Parse(time.RFC3339, deadline)
	if err != nil || m.Stage == canary.StageDone {
		return false
	}
	remainingStages := max(0, int(canary.StageDone-m.Stage))
	return m.Stage == canary.StageRolledBack || now.Add(time.Duration(remainingStages)*canary.MinStageTime).After(t)
}
