package crash_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/crash"
)

// newParts returns a tracker that counts its messages to other nodes.
func newParts(messages *int) *crash.Parts {
	return crash.NewParts(crash.PartsConfig{
		BroadcastCrash: func(crash.PartCrash) { *messages++ }, BroadcastClear: func(uint64) { *messages++ },
		BroadcastConviction: func(crash.Conviction) { *messages++ }, Log: slog.New(slog.DiscardHandler),
	})
}

// step is an event on an upstream: a crash before the answer to a request with the parts,
// or an answer.
type step struct {
	at       time.Duration
	upstream int // zero for an answer
	ws       string
	parts    []uint64
}

func TestConvictedParts(t *testing.T) {
	const hot, other, deadly, companion = 1, 2, 3, 4
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name      string
		steps     []step
		convicted []uint64 // of the parts above
		suspect   bool     // a request with the deadly part is not retried
	}{
		{"two crashes", []step{{0, 1, "a", []uint64{deadly}}, {ms(500), 2, "a", []uint64{deadly}}}, nil, true},
		{"three crashes", []step{{0, 1, "a", []uint64{deadly}}, {ms(500), 2, "a", []uint64{deadly}}, {ms(1000), 3, "a", []uint64{deadly}}}, []uint64{deadly}, true},
		{"one process", []step{{0, 1, "a", []uint64{deadly}}, {ms(500), 1, "a", []uint64{deadly}}, {ms(1000), 1, "a", []uint64{deadly}}}, nil, false},
		{
			"many upstreams at once",
			[]step{{0, 1, "a", []uint64{deadly}}, {ms(50), 2, "a", []uint64{deadly}}, {ms(100), 3, "a", []uint64{deadly}}, {ms(150), 4, "a", []uint64{deadly}}},
			nil, false,
		},
		{
			"an answer in between",
			[]step{{0, 1, "a", []uint64{deadly}}, {ms(500), 2, "a", []uint64{deadly}}, {ms(600), 0, "a", []uint64{deadly}}, {ms(1700), 3, "a", []uint64{deadly}}},
			nil, false,
		},
		{
			"a first part that others are answered with",
			[]step{
				{0, 1, "a", []uint64{hot, deadly}}, {ms(100), 0, "a", []uint64{hot, other}}, {ms(500), 2, "a", []uint64{hot, deadly}},
				{ms(700), 0, "a", []uint64{hot}}, {ms(1000), 3, "a", []uint64{hot, deadly}},
			},
			[]uint64{deadly}, true,
		},
		{
			"the same evidence about two parts",
			[]step{{0, 1, "a", []uint64{companion, deadly}}, {ms(500), 2, "a", []uint64{companion, deadly}}, {ms(1000), 3, "a", []uint64{companion, deadly}}},
			[]uint64{deadly}, true,
		},
		{
			"a crash that is explained",
			[]step{
				{0, 1, "a", []uint64{deadly}}, {ms(500), 2, "a", []uint64{deadly}}, {ms(1000), 3, "a", []uint64{deadly}},
				{ms(1500), 4, "a", []uint64{other, deadly}}, {ms(2000), 5, "a", []uint64{other, deadly}}, {ms(2500), 6, "a", []uint64{other, deadly}},
			},
			[]uint64{deadly}, true,
		},
		{
			"answered after the conviction",
			[]step{{0, 1, "a", []uint64{deadly}}, {ms(500), 2, "a", []uint64{deadly}}, {ms(1000), 3, "a", []uint64{deadly}}, {ms(1100), 0, "a", []uint64{deadly}}},
			nil, false,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			messages := 0
			p := newParts(&messages)
			for _, s := range tt.steps {
				if s.upstream == 0 {
					p.RecordSuccess(start.Add(s.at), s.parts)
					continue
				}
				p.RecordCrash(start.Add(s.at), s.ws, s.parts, vane.Upstream{Name: fmt.Sprint(s.upstream), Incarnation: 1})
			}
			end := start.Add(3 * time.Second)
			var got []uint64
			for _, k := range []uint64{hot, other, deadly, companion} {
				if p.Check(end, "a", []uint64{k}) != nil {
					got = append(got, k)
				}
			}
			is.Equal(got, tt.convicted)
			is.Equal(p.Suspect([]uint64{deadly}), tt.suspect)
		})
	}
}

// convict makes a tracker refuse part 3 of the given workspaces' requests, in turn.
func convict(p *crash.Parts, start time.Time, workspaces ...string) {
	for i := range 3 {
		p.RecordCrash(start.Add(time.Duration(i)*500*time.Millisecond), workspaces[i%len(workspaces)], []uint64{3}, vane.Upstream{Name: fmt.Sprint("u", i)})
	}
}

// One workspace alone can't get the requests of another refused.
func TestConvictionByOneWorkspace(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	messages := 0
	p := newParts(&messages)
	convict(p, start, "a")
	end := start.Add(2 * time.Second)
	is.True(p.Check(end, "a", []uint64{3}) != nil)
	is.NoErr(p.Check(end, "b", []uint64{3}))
	p.RecordCrash(end, "b", []uint64{3}, vane.Upstream{Name: "u9"})
	for _, ws := range []string{"a", "b", "c"} {
		is.True(p.Check(end, ws, []uint64{3}) != nil)
	}
}

// A node that missed all crashes adopts a conviction with its workspaces. An answer there
// clears it, and older messages about the conviction don't bring it back.
func TestAdoptedConviction(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	messages := 0
	p, other := newParts(&messages), newParts(&messages)
	convict(p, start, "a", "b")
	now := start.Add(2 * time.Second)
	cs := p.Convictions(now)
	is.Equal(len(cs), 1)
	other.Adopt(now, cs[0])
	is.True(other.Check(now, "c", []uint64{3}) != nil)
	messages = 0
	other.RecordSuccess(now, []uint64{3})
	is.Equal(messages, 1)
	other.Adopt(now.Add(2*time.Second), cs[0])
	is.NoErr(other.Check(now.Add(2*time.Second), "c", []uint64{3}))
}

// After an hour requests with the part are tried again. One more crash convicts it again.
func TestConvictionEnds(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	messages := 0
	p := newParts(&messages)
	convict(p, start, "a")
	later := start.Add(2 * time.Hour)
	is.NoErr(p.Check(later, "a", []uint64{3}))
	p.RecordCrash(later, "a", []uint64{3}, vane.Upstream{Name: "u0"})
	is.True(p.Check(later, "a", []uint64{3}) != nil)
}

// A node that has just seen an answer tells the nodes that suspect or convict the part.
func TestRecentAnswerIsTold(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	messages := 0
	p := newParts(&messages)
	p.RecordSuccess(start, []uint64{3})
	is.Equal(messages, 0)
	p.Add(start.Add(100*time.Millisecond), crash.PartCrash{Upstream: "u", Parts: []uint64{3}, At: start})
	is.Equal(messages, 1)
	p.Adopt(start.Add(200*time.Millisecond), crash.Conviction{Part: 3, Workspaces: []uint64{1, 2}, At: start})
	is.Equal(messages, 2)
	is.NoErr(p.Check(start.Add(200*time.Millisecond), "a", []uint64{3}))
}

// A node that stood still while a part was answered elsewhere does not get it refused
// again.
func TestOldConvictionStaysCleared(t *testing.T) {
	for _, tt := range []struct {
		name  string
		clear func(p *crash.Parts, now time.Time)
		told  int
	}{
		{"answered here", func(p *crash.Parts, now time.Time) { p.RecordSuccess(now, []uint64{3}) }, 1},
		{"cleared by another node", func(p *crash.Parts, now time.Time) { p.Clear(now, 3) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			messages := 0
			p := newParts(&messages)
			convict(p, start, "a", "b")
			old := p.Convictions(start.Add(time.Second))[0]
			tt.clear(p, start.Add(1500*time.Millisecond))
			messages = 0
			now := start.Add(20 * time.Second)
			p.Adopt(now, old)
			is.NoErr(p.Check(now, "c", []uint64{3}))
			is.Equal(messages, tt.told)
			old.At = now
			p.Adopt(now, old) // a new conviction
			is.True(p.Check(now, "c", []uint64{3}) != nil)
		})
	}
}

// A crash that is told late does not count against a part that was answered since.
func TestLateCrashBeforeAnswer(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	messages := 0
	p := newParts(&messages)
	p.RecordSuccess(start.Add(time.Second), []uint64{3})
	is.Equal(p.Add(start.Add(3*time.Second), crash.PartCrash{Upstream: "u", Parts: []uint64{3}, At: start}), false)
	is.Equal(messages, 1)
	is.True(p.Add(start.Add(3*time.Second), crash.PartCrash{Upstream: "u", Parts: []uint64{3}, At: start.Add(1500 * time.Millisecond)}))
}

// Crashes after the beginning of an answer count against the request before they count
// against the parts that it shares, and a complete answer elsewhere clears both.
func TestLateCrashes(t *testing.T) {
	const request, shared = 7, 8
	const gap = 500 * time.Millisecond
	for _, tt := range []struct {
		name     string
		events   string // a crash of the request on the next upstream (c), of another with the same part (o), of both, the other's reported first (p), a complete answer to the request (a) or to another (b)
		gap      time.Duration
		request  bool // the request is refused
		sharedBy bool // others with the part are refused
	}{
		{"two crashes", "cc", gap, false, false},
		{"three crashes", "ccc", gap, true, false},
		{"others with its part are answered", "cbcbc", gap, true, false},
		{"answered in between", "ccac", gap, false, false},
		{"answered after the conviction", "ccca", gap, false, false},
		{"many upstreams at once", "cccccc", 50 * time.Millisecond, false, false},
		{"different requests with one part", "cooo", gap, true, true},
		{"others with its part run beside it", "ppp", gap, true, false},
		{"different requests with one part that is answered", "cobo", gap, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			messages := 0
			p := newParts(&messages)
			now := time.Unix(0, 0)
			other := uint64(100)
			keys := func(fp uint64) []uint64 { return crash.LateKeys("ws", fp, []uint64{shared}) }
			for i, e := range tt.events {
				u := vane.Upstream{Name: fmt.Sprint("u", i), Incarnation: 1}
				switch other++; e {
				case 'c':
					p.RecordLateCrash(now, "ws", keys(request), u)
				case 'o':
					p.RecordLateCrash(now, "ws", keys(other), u)
				case 'p':
					p.RecordLateCrash(now, "ws", keys(other), u)
					p.RecordLateCrash(now, "ws", keys(request), u)
				case 'a':
					p.RecordComplete(now, keys(request))
				case 'b':
					p.RecordComplete(now, keys(other))
				}
				now = now.Add(tt.gap)
			}
			is.Equal(p.Check(now, "ws", keys(request)) != nil, tt.request)
			is.Equal(p.Check(now, "ws", keys(1000)) != nil, tt.sharedBy)
			is.NoErr(p.Check(now, "ws", []uint64{shared})) // requests that wait are judged by other evidence
		})
	}
}
