package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// WorkspaceShare is a workspace in generated traffic.
type WorkspaceShare struct {
	Name  string
	Share float64 // weight of the workspace in the choice of each request's workspace
}

// Shape describes the traffic to generate. Lengths are in tokens. For zero fields other
// than Seed and ShiftEvery, Generate uses defaults.
type Shape struct {
	Seed           uint64
	Requests       int     // number of requests
	Rate           float64 // mean requests per second
	Model          string
	Workspaces     []WorkspaceShare // default: a single one
	Roots          int              // number of outermost prefixes of a workspace
	Docs           int              // number of second-level prefixes below each outermost one
	RootTokens     int              // length of an outermost prefix
	DocTokens      int              // length of a second-level prefix
	QuestionTokens int              // length of the caller's own part, and of each earlier turn
	MaxTokens      int              // limit of generated tokens of each request
	ZipfExponent   float64          // exponent of the Zipf distribution of second-level prefixes
	ShiftEvery     int              // number of requests after which half of the popular prefixes change; zero for never
	MaxTurns       int              // length of the longest conversation, in turns
}

// withDefaults returns s with its zero fields replaced by their defaults.
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
	shape    Shape
	rnd      *rand.Rand
	cdf      []float64 // cumulative distribution of the popularity ranks of documents
	rotation int       // offset from the even popularity ranks to document numbers
}

// Generate returns a trace of the given shape, sorted by time: nested prompts whose
// second-level prefixes (documents) follow a Zipf distribution, arriving as a Poisson
// process. Equal shapes give equal traces.
func Generate(s Shape) []Request {
	s = s.withDefaults()
	g := &generator{shape: s, rnd: rand.New(rand.NewPCG(s.Seed, 0x7472616365)), cdf: zipf(s.Docs, s.ZipfExponent)}
	out := make([]Request, 0, s.Requests)
	at := 0.0
	for i := range s.Requests {
		at += g.rnd.ExpFloat64() / s.Rate
		if s.ShiftEvery > 0 && i > 0 && i%s.ShiftEvery == 0 {
			g.rotation += s.Docs / 2
		}
		out = append(out, g.drawRequest(i, int64(at*1000)))
	}
	return out
}

// zipf returns the cumulative Zipf distribution of n ranks.
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

// drawDocument draws the number of a document. The document of an odd popularity rank is
// fixed; that of an even one depends on the rotation, so that a shift replaces half of
// the popular documents.
func (g *generator) drawDocument() int {
	u := g.rnd.Float64()
	for i, c := range g.cdf {
		if u > c {
			continue
		}
		if i%2 == 0 {
			return (i + g.rotation) % len(g.cdf)
		}
		return i
	}
	return len(g.cdf) - 1
}

// drawWorkspace draws a workspace by the shares.
func (g *generator) drawWorkspace() WorkspaceShare {
	total := 0.0
	for _, t := range g.shape.Workspaces {
		total += t.Share
	}
	u := g.rnd.Float64() * total
	for _, t := range g.shape.Workspaces {
		if u -= t.Share; u <= 0 {
			return t
		}
	}
	return g.shape.Workspaces[len(g.shape.Workspaces)-1]
}

// drawRequest draws the request with index i, sent atMS milliseconds after the start.
func (g *generator) drawRequest(i int, atMS int64) Request {
	ws := g.drawWorkspace()
	root := g.rnd.IntN(g.shape.Roots)
	doc := g.drawDocument()
	parts := []Part{
		{Name: fmt.Sprintf("root-%d", root), Tokens: g.shape.RootTokens},
		{Name: fmt.Sprintf("root-%d-doc-%d", root, doc), Tokens: g.shape.DocTokens},
	}
	for turn := range g.rnd.IntN(g.shape.MaxTurns) {
		parts = append(parts, Part{Name: fmt.Sprintf("root-%d-doc-%d-turn-%d", root, doc, turn), Tokens: g.shape.QuestionTokens})
	}
	return Request{
		AtMS: atMS, Workspace: ws.Name, Model: g.shape.Model, Parts: parts, Stream: true, MaxTokens: g.shape.MaxTokens,
		Question: Part{Name: fmt.Sprintf("question-%d", i), Tokens: g.shape.QuestionTokens},
	}
}
