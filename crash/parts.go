package crash

import (
	"encoding/binary"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// Limits of the tracker of prompt parts.
const (
	convictCrashes    = 3                      // moments of crashes, without an answer in between, after which a part is convicted
	suspectCrashes    = 2                      // moments of crashes after which requests with a part are not retried
	crashSpacing      = 400 * time.Millisecond // crashes closer together than this count as one moment
	answerMemory      = time.Second            // a part that was answered this recently is not suspected
	sameCrash         = 2 * time.Second        // reports on one process within this time are of one crash, even if its next start is not known yet
	clearHold         = 5 * time.Second        // time after the clearance of a part in which older convictions may still arrive
	convictionTTL     = time.Hour              // time after which requests with a convicted part are tried again
	partsSize         = 1 << 14                // largest number of parts that are remembered
	maxPartCrashes    = 64                     // upstreams remembered for each part
	maxPartWorkspaces = 2                      // callers of this many workspaces make a conviction hold for all
	maxConvictions    = 64                     // convictions that are told to other nodes
)

// process is a process of an upstream that crashed.
type process struct {
	name        string
	incarnation uint64
	crashedAt   time.Time
}

// PartCrash says that an upstream crashed while it had a request: before it wrote any of the
// answer, by the shared parts of the prompt, or later, by the [LateKeys].
type PartCrash struct {
	Upstream    string
	Incarnation uint64
	Workspace   uint64   // hash of the request's workspace
	Parts       []uint64 // hashes of the shared parts of the request's prompt, in order, or late keys
	Late        bool     // Parts are late keys
	At          time.Time
}

// Conviction says that requests with a part are refused.
type Conviction struct {
	Part       uint64
	Workspaces []uint64 // hashes of the workspaces whose requests are refused; those of all if there are two
	At         time.Time
}

// part is the evidence about one part of prompts.
type part struct {
	processes   []process // latest processes that crashed
	moments     int       // number of moments at which they crashed
	lastCrash   time.Time // time of the last counted moment
	workspaces  []uint64  // workspaces of the requests, maxPartWorkspaces at most
	answeredAt  time.Time // last answer to a request with the part
	clearedAt   time.Time // last clearance by an answer
	convictedAt time.Time // zero if the part is not convicted
}

// PartsConfig holds the functions by which [Parts] tells the other nodes of its evidence,
// and its logger. The functions must not call back.
type PartsConfig struct {
	BroadcastCrash      func(PartCrash)
	BroadcastClear      func(part uint64)
	BroadcastConviction func(Conviction)
	Log                 *slog.Logger
}

// Parts finds the parts of prompts that crash upstreams. It is safe for concurrent use.
type Parts struct {
	cfg PartsConfig

	mu        sync.Mutex
	parts     *lru.LRU[uint64, *part]
	convicted map[uint64]*part
}

// NewParts returns a tracker without evidence.
func NewParts(cfg PartsConfig) *Parts {
	m, _ := lru.NewLRU[uint64, *part](partsSize, nil)
	return &Parts{cfg: cfg, parts: m, convicted: make(map[uint64]*part)}
}

// SharedParts returns the hashes of the parts that a prompt shares with others, which are
// all but the last.
func SharedParts(service string, parts []vane.PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, len(parts)-1)
	for i := range out {
		out[i] = xxhash.Sum64String(service + "\x00" + parts[i].ID)
	}
	return out
}

// LateKeys returns the keys under which a [Parts] keeps the evidence about crashes that came
// after an answer had begun: those of the shared parts of the prompt, and last that of the
// request itself, which is convicted first. Such a crash is no sign against requests that
// are still waiting, and only a complete answer speaks for one that had begun, so that both
// kinds of evidence are kept apart.
func LateKeys(workspace string, fingerprint uint64, parts []uint64) []uint64 {
	key := func(kind string, hash uint64) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(kind), hash))
	}
	out := make([]uint64, 0, len(parts)+1)
	for _, k := range parts {
		out = append(out, key("part\x00", k))
	}
	return append(out, key("request\x00"+workspace+"\x00", fingerprint))
}

// Check returns a [*vane.Refusal] if a part of the request is convicted, else nil.
func (p *Parts) Check(now time.Time, workspace string, parts []uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range parts {
		e, ok := p.convicted[k]
		if !ok || p.expire(now, k, e) {
			continue
		}
		if len(e.workspaces) >= maxPartWorkspaces || slices.Contains(e.workspaces, xxhash.Sum64String(workspace)) {
			return vane.Refuse(vane.ReasonSuspectRequest,
				"upstreams crash on this request or on part %x of its prompt; it is not run, so change it", k)
		}
	}
	return nil
}

// Suspect reports whether upstreams crashed on a part of the request so often that it
// should not be retried.
func (p *Parts) Suspect(parts []uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(k uint64) bool {
		e, ok := p.parts.Peek(k)
		return ok && e.moments >= suspectCrashes
	})
}

// expire ends a conviction that is too old. The next crash renews it. The caller must
// hold p.mu.
func (p *Parts) expire(now time.Time, k uint64, e *part) bool {
	if now.Sub(e.convictedAt) < convictionTTL {
		return false
	}
	delete(p.convicted, k)
	e.convictedAt, e.moments, e.processes = time.Time{}, convictCrashes-1, nil
	return true
}

// RecordCrash records that the upstream crashed before this node got any of the answer to
// a request with the parts, and tells the other nodes.
func (p *Parts) RecordCrash(now time.Time, workspace string, parts []uint64, u vane.Upstream) {
	p.record(now, PartCrash{Upstream: u.Name, Incarnation: u.Incarnation, Workspace: xxhash.Sum64String(workspace), Parts: parts, At: now})
}

// RecordLateCrash records that the upstream crashed after this node had got a part of the
// answer to a request with the late keys, and tells the other nodes.
func (p *Parts) RecordLateCrash(now time.Time, workspace string, keys []uint64, u vane.Upstream) {
	p.record(now, PartCrash{Upstream: u.Name, Incarnation: u.Incarnation, Workspace: xxhash.Sum64String(workspace), Parts: keys, Late: true, At: now})
}

// record adds a crash that this node saw.
func (p *Parts) record(now time.Time, c PartCrash) {
	if p.Add(now, c) {
		p.cfg.BroadcastCrash(c)
	}
}

// Add adds a crash that this node or another one saw. It returns false if the crash tells
// nothing new.
func (p *Parts) Add(now time.Time, c PartCrash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range c.Parts {
		if e, ok := p.convicted[k]; ok && !p.expire(now, k, e) {
			// This part explains the crash, so the others are not suspected.
			return e.addWorkspace(c.Workspace)
		}
	}
	added := false
	var worst uint64
	most := 0
	for _, k := range c.Parts {
		e := p.entry(k)
		if now.Sub(e.answeredAt) < answerMemory || e.answeredAt.After(c.At) {
			p.cfg.BroadcastClear(k) // other nodes may not have seen an answer
			continue
		}
		added = e.addCrash(c) || added
		if e.moments >= most {
			worst, most = k, e.moments // of several with the same evidence, the last one
		}
	}
	if added {
		p.cfg.Log.Info("part suspected", "upstream", c.Upstream, "incarnation", c.Incarnation, "parts", Hashes(c.Parts),
			"age_ms", now.Sub(c.At).Milliseconds(), "worst", Hashes([]uint64{worst}), "moments", most, "limit", convictCrashes, "convicted", most >= convictCrashes)
	}
	switch {
	case c.Late:
		p.convictLate(now, c.Parts)
	case most >= convictCrashes:
		p.convict(now, worst, c.Parts)
	}
	return added
}

// convictLate convicts the request whose late keys are given, or else one of its parts. Many
// requests with a popular part run on every upstream that crashes, so that a part needs one
// moment more than the request that causes the crashes. The caller must hold p.mu.
func (p *Parts) convictLate(now time.Time, keys []uint64) {
	for i, k := range slices.Backward(keys) {
		limit := convictCrashes
		if i < len(keys)-1 {
			limit++
		}
		if p.entry(k).moments >= limit {
			p.convict(now, k, keys)
			return
		}
	}
}

// entry returns the evidence about a part. The caller must hold p.mu.
func (p *Parts) entry(k uint64) *part {
	e, ok := p.parts.Get(k)
	if !ok {
		if e, ok = p.convicted[k]; !ok {
			e = &part{}
		}
		p.parts.Add(k, e)
	}
	return e
}

// addCrash counts a crash. It returns false if the crash and its workspace are known.
func (e *part) addCrash(c PartCrash) bool {
	known := func(pr process) bool {
		return pr.name == c.Upstream && pr.incarnation == c.Incarnation && c.At.Sub(pr.crashedAt).Abs() < sameCrash
	}
	if slices.ContainsFunc(e.processes, known) {
		return e.moments > 0 && e.addWorkspace(c.Workspace)
	}
	if len(e.processes) >= maxPartCrashes {
		e.processes = e.processes[1:]
	}
	e.addWorkspace(c.Workspace)
	e.processes = append(e.processes, process{c.Upstream, c.Incarnation, c.At})
	if c.At.Sub(e.lastCrash) >= crashSpacing {
		e.moments++
		e.lastCrash = c.At
	}
	return true
}

// addWorkspace adds a workspace whose request was running. It returns false if nothing
// changes.
func (e *part) addWorkspace(ws uint64) bool {
	if len(e.workspaces) >= maxPartWorkspaces || slices.Contains(e.workspaces, ws) {
		return false
	}
	e.workspaces = append(e.workspaces, ws)
	return true
}

// convict refuses requests with a part from now on. The evidence about the other parts
// of the same prompt is dropped, since this part explains it. The caller must hold p.mu.
func (p *Parts) convict(now time.Time, k uint64, all []uint64) {
	e := p.entry(k)
	e.convictedAt = now
	p.convicted[k] = e
	for _, other := range all {
		if o := p.entry(other); other != k {
			o.moments = 0
		}
	}
	p.cfg.Log.Warn("part convicted", "part", Hashes([]uint64{k}), "moments", e.moments, "processes", len(e.processes), "workspaces", len(e.workspaces), "prompt", Hashes(all))
	p.cfg.BroadcastConviction(Conviction{Part: k, Workspaces: slices.Clone(e.workspaces), At: now})
}

// Adopt adds a conviction of another node, unless the part was answered since.
func (p *Parts) Adopt(now time.Time, c Conviction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(c.At) >= convictionTTL {
		return
	}
	e := p.entry(c.Part)
	if now.Sub(e.answeredAt) < answerMemory || e.answeredAt.After(c.At) {
		p.cfg.BroadcastClear(c.Part)
		return
	}
	if now.Sub(e.clearedAt) < clearHold || e.clearedAt.After(c.At) {
		return
	}
	for _, ws := range c.Workspaces {
		e.addWorkspace(ws)
	}
	if e.convictedAt.IsZero() {
		e.convictedAt = c.At
		p.convicted[c.Part] = e
		p.cfg.Log.Warn("part convicted by another node", "part", Hashes([]uint64{c.Part}), "age_ms", now.Sub(c.At).Milliseconds())
	}
}

// RecordSuccess records that a request with the parts began to be answered, which clears
// the parts, and tells the other nodes.
func (p *Parts) RecordSuccess(now time.Time, parts []uint64) {
	for _, k := range parts {
		p.mu.Lock()
		cleared := p.answered(now, k, p.entry(k))
		p.mu.Unlock()
		if cleared {
			p.cfg.BroadcastClear(k)
		}
	}
}

// RecordComplete records that a request with the late keys was answered completely, or has
// been answered for so long that the keys cause no crash, which clears them, and tells the
// other nodes. Keys without evidence are not remembered, since most requests come only once.
func (p *Parts) RecordComplete(now time.Time, keys []uint64) {
	for _, k := range keys {
		p.mu.Lock()
		e, ok := p.parts.Peek(k)
		if !ok {
			e, ok = p.convicted[k]
		}
		cleared := ok && p.answered(now, k, e)
		p.mu.Unlock()
		if cleared {
			p.cfg.BroadcastClear(k)
		}
	}
}

// answered records an answer. It returns false if there was no evidence to clear. The caller
// must hold p.mu.
func (p *Parts) answered(now time.Time, k uint64, e *part) bool {
	e.answeredAt = now
	return p.clear(now, k, e)
}

// Clear drops the evidence about a part that another node saw answered.
func (p *Parts) Clear(now time.Time, k uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(now, k, p.entry(k))
}

// clear drops the evidence about a part. It returns false if there is none. The upstreams
// stay known, so that repeated messages don't count again. The caller must hold p.mu.
func (p *Parts) clear(now time.Time, k uint64, e *part) bool {
	if e.moments == 0 && e.convictedAt.IsZero() {
		return false
	}
	if !e.convictedAt.IsZero() {
		p.cfg.Log.Warn("part cleared", "part", Hashes([]uint64{k}), "convicted_ms", now.Sub(e.convictedAt).Milliseconds())
	}
	e.moments, e.workspaces, e.convictedAt, e.clearedAt = 0, nil, time.Time{}, now
	delete(p.convicted, k)
	return true
}

// Convictions returns the convictions, in no particular order.
func (p *Parts) Convictions(now time.Time) []Conviction {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Conviction
	for k, e := range p.convicted {
		if !p.expire(now, k, e) && len(out) < maxConvictions {
			out = append(out, Conviction{Part: k, Workspaces: slices.Clone(e.workspaces), At: e.convictedAt})
		}
	}
	return out
}
