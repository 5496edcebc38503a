package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// WorkspaceShare is a workspace in generated traffic.
type WorkspaceShare struct {
	Name  string
	Share float64 // of all requests
}

// Shape describes generated traffic. Zero fields take their defaults.
type Shape struct {
	Seed           uint64
	Requests       int
	Rate           float64 // requests a second
	Model          string
	Workspaces     []WorkspaceShare
	Roots          int     // outermost prefixes of a workspace
	Docs           int     // second-level prefixes below each root
	RootTokens     int     // size of an outermost prefix
	DocTokens      int     // size of a second-level prefix
	QuestionTokens int     // size of the caller's own part
	MaxTokens      int     // generated tokens
	ZipfExponent   float64 // exponent of the popularity of second-level prefixes
	ShiftEvery     int     // requests after which half of the hot prefixes change
	MaxTurns       int     // longest conversation, in turns
}

// withDefaults fills the zero fields.
func (s Shape) withDefaults() Shape {
	def := Shape{
		Requests: 200, Rate: 40, Model: "quill", Roots: 2, Docs: 24, RootTokens: 8000, DocTokens: 8000,
		QuestionTokens: 200, MaxTokens: 24, ZipfExponent: 1.1, MaxTurns: 3,
	}
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&s.Requests, def.Requests)
	set(&s.Roots, def.Roots)
	set(&s.Docs, def.Docs)
	set(&s.RootTokens, def.RootTokens)
	set(&s.DocTokens, def.DocTokens)
	set(&s.QuestionTokens, def.QuestionTokens)
	set(&s.MaxTokens, def.MaxTokens)
	set(&s.MaxTurns, def.MaxTurns)
	if s.Rate == 0 {
		s.Rate = def.Rate
	}
	if s.ZipfExponent == 0 {
		s.ZipfExponent = def.ZipfExponent
	}
	if s.Model == "" {
		s.Model = def.Model
	}
	if len(s.Workspaces) == 0 {
		s.Workspaces = []WorkspaceShare{{Name: "workspace-1", Share: 1}}
	}
	return s
}

// generator is the state of Generate.
type generator struct {
	s     Shape
	rnd   *rand.Rand
	cdf   []float64 // of the documents' ranks
	shift int       // rotation of the ranks
}

// Generate returns traffic of the shape: nested prompts whose prefixes are chosen
// by a Zipf law, arriving as a Poisson process. Equal shapes give equal traces.
func Generate(s Shape) []Request {
	s = s.withDefaults()
	g := &generator{s: s, rnd: rand.New(rand.NewPCG(s.Seed, 0x7472616365)), cdf: zipf(s.Docs, s.ZipfExponent)}
	out := make([]Request, 0, s.Requests)
	at := 0.0
	for i := range s.Requests {
		at += g.rnd.ExpFloat64() / s.Rate
		if s.ShiftEvery > 0 && i > 0 && i%s.ShiftEvery == 0 {
			g.shift += s.Docs / 2
		}
		out = append(out, g.request(i, int64(at*1000)))
	}
	return out
}

// zipf returns the cumulative distribution of n ranks.
func zipf(n int, exp float64) []float64 {
	cdf := make([]float64, n)
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), exp)
		cdf[i] = sum
	}
	for i := range cdf {
		cdf[i] /= sum
	}
	return cdf
}

// rank draws a document's rank. Half of the ranks are rotated by each shift.
func (g *generator) rank() int {
	u := g.rnd.Float64()
	for i, c := range g.cdf {
		if u > c {
			continue
		}
		if i%2 == 0 {
			return (i + g.shift) % len(g.cdf)
		}
		return i
	}
	return len(g.cdf) - 1
}

// tenant draws a workspace.
func (g *generator) tenant() WorkspaceShare {
	total := 0.0
	for _, t := range g.s.Workspaces {
		total += t.Share
	}
	u := g.rnd.Float64() * total
	for _, t := range g.s.Workspaces {
		if u -= t.Share; u <= 0 {
			return t
		}
	}
	return g.s.Workspaces[len(g.s.Workspaces)-1]
}

// request draws one request.
func (g *generator) request(i int, at int64) Request {
	t := g.tenant()
	root := g.rnd.IntN(g.s.Roots)
	doc := g.rank()
	parts := []Part{
		{Name: fmt.Sprintf("root-%d", root), Tokens: g.s.RootTokens},
		{Name: fmt.Sprintf("root-%d-doc-%d", root, doc), Tokens: g.s.DocTokens},
	}
	for turn := range g.rnd.IntN(g.s.MaxTurns) {
		parts = append(parts, Part{Name: fmt.Sprintf("root-%d-doc-%d-turn-%d", root, doc, turn), Tokens: g.s.QuestionTokens})
	}
	return Request{
		AtMS: at, Workspace: t.Name, Model: g.s.Model, Parts: parts, Stream: true, MaxTokens: g.s.MaxTokens,
		Question: Part{Name: fmt.Sprintf("question-%d", i), Tokens: g.s.QuestionTokens},
	}
}
