package sched_test

import (
	"cmp"
	"slices"
	"time"

	"mustardvane.org/vane/sched"
)

// engineKind describes the engines of a replay.
type engineKind struct {
	slots      int
	tokens     int     // memory in tokens
	chunk      int     // prompt tokens of one prompt computed in a step
	eachPrompt bool    // a step computes a chunk of each prompt in the batch; otherwise of the first one only
	perMS      float64 // prompt tokens computed per millisecond
}

// call is a request at an engine of a replay.
type call struct {
	q       sched.Query
	p       *sched.Placer
	attempt *sched.Attempt
	short   bool
	output  int // tokens to generate
	source  *engine

	sent        time.Duration
	left        int // prompt tokens to compute
	computed    int // prompt tokens computed, again after a preemption
	generated   int
	first, last time.Duration // times of the first and the latest token
	gap         time.Duration // longest time between two tokens
}

// part is a part of a prompt in an engine's memory.
type part struct {
	tokens, users int
	used          time.Duration
}

// engine is an engine on virtual time. In each step it computes prompts, and a token of
// each request whose prompt is computed. When its memory is full, it evicts the least
// recently used parts that no request uses, and else preempts its newest request.
type engine struct {
	kind     engineKind
	slow     float64
	parts    map[string]*part
	free     int // tokens of memory
	queue    []*call
	batch    []*call
	stepEnds time.Duration // zero if the engine is idle
}

func newEngine(k engineKind) *engine {
	return &engine{kind: k, slow: 1, parts: make(map[string]*part), free: k.tokens}
}

// prefix returns the tokens of the leading shared parts in memory.
func (e *engine) prefix(q sched.Query) int {
	n := 0
	for _, s := range q.Shared() {
		if _, ok := e.parts[s.ID]; !ok {
			break
		}
		n += s.Tokens
	}
	return n
}

// reserve frees memory for n tokens and reports whether it could.
func (e *engine) reserve(n int) bool {
	for e.free < n {
		oldest := ""
		for id, p := range e.parts {
			if p.users == 0 && (oldest == "" || p.used < e.parts[oldest].used || p.used == e.parts[oldest].used && id < oldest) {
				oldest = id
			}
		}
		if oldest == "" {
			return false
		}
		e.free += e.parts[oldest].tokens
		delete(e.parts, oldest)
	}
	return true
}

// admit moves waiting calls into the batch while there are slots and memory.
func (e *engine) admit(at time.Duration) {
	for len(e.queue) > 0 && len(e.batch) < e.kind.slots {
		c := e.queue[0]
		held, need := e.prefix(c.q), 0
		for _, s := range c.q.Parts {
			if p, ok := e.parts[s.ID]; ok {
				p.users++
			} else {
				need += s.Tokens
			}
		}
		if !e.reserve(need + c.generated + 1) {
			for _, s := range c.q.Parts {
				if p, ok := e.parts[s.ID]; ok {
					p.users--
				}
			}
			return
		}
		for _, s := range c.q.Parts {
			if _, ok := e.parts[s.ID]; !ok {
				e.parts[s.ID] = &part{tokens: s.Tokens, users: 1}
			}
			e.parts[s.ID].used = at
		}
		e.free -= need + c.generated + 1
		if c.source != nil {
			held = max(held, c.source.prefix(c.q))
		}
		c.left = c.q.PromptTokens - held + c.generated
		e.queue, e.batch = e.queue[1:], append(e.batch, c)
	}
}

// release frees what a call of the batch uses.
func (e *engine) release(c *call) {
	for _, s := range c.q.Parts {
		e.parts[s.ID].users--
	}
	e.free += c.generated + 1
}

// advance runs the engine to the time at. It passes each call that gets a token to token,
// and each that ends to end.
func (e *engine) advance(at time.Duration, token func(*call, time.Duration), end func(*call, time.Duration)) {
	for {
		if e.stepEnds == 0 {
			e.admit(at)
			if len(e.batch) == 0 {
				return
			}
			e.stepEnds = at + e.step()
		}
		if e.stepEnds > at {
			return
		}
		now := e.stepEnds
		e.stepEnds = 0
		for _, c := range slices.Clone(e.batch) {
			if c.left > 0 || !slices.Contains(e.batch, c) {
				continue
			}
			if c.generated++; c.first == 0 {
				c.first = now
			} else {
				c.gap = max(c.gap, now-c.last)
			}
			c.last = now
			token(c, now)
			if c.generated >= c.output {
				e.release(c)
				e.batch = slices.DeleteFunc(e.batch, func(x *call) bool { return x == c })
				end(c, now)
				continue
			}
			for !e.reserve(1) {
				v := slices.MaxFunc(e.batch, func(a, b *call) int { return cmp.Compare(a.sent, b.sent) })
				e.release(v)
				e.batch = slices.DeleteFunc(e.batch, func(x *call) bool { return x == v })
				e.queue = slices.Insert(e.queue, 0, v)
				if v == c {
					break
				}
			}
			if slices.Contains(e.batch, c) {
				e.free--
			}
		}
		e.admit(now)
		if len(e.batch) > 0 {
			e.stepEnds = now + e.step()
		}
	}
}

// step begins a step and returns its duration.
func (e *engine) step() time.Duration {
	tokens, decoding := 0, 0
	for _, c := range e.batch {
		switch {
		case c.left == 0:
			decoding++
		case tokens == 0 || e.kind.eachPrompt:
			n := min(c.left, e.kind.chunk)
			c.left -= n
			c.computed += n
			tokens += n
		case tokens < e.kind.chunk:
			n := min(c.left, e.kind.chunk-tokens)
			c.left -= n
			c.computed += n
			tokens += n
		}
	}
	ms := float64(tokens)/e.kind.perMS + 3.4 + 1.2*float64(decoding)/64
	return time.Duration(e.slow * ms * float64(time.Millisecond))
}
