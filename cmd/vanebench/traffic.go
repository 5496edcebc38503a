package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/node"
	"mustardvane.org/vane/place"
	"mustardvane.org/vane/trace"
)

// latency measures what a node adds to a direct connection to the same engine.
func latency(ctx context.Context, l *lab) error {
	const requests, tokens = 400, 50
	f, err := bench.Start(ctx, bench.WithNodes(1), bench.WithEngines(1, engine.WithSpeed(1e9, 200*time.Microsecond), engine.WithSlots(64)))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	c := bench.NewCaller()
	defer c.Close()
	first := map[string]*hdrhistogram.Histogram{"direct": hist(), "node": hist()}
	total := map[string]*hdrhistogram.Histogram{"direct": hist(), "node": hist()}
	addr := map[string]string{"direct": f.Engines[0].Addr(), "node": f.Nodes[0].Addr()}
	for i := range requests {
		for _, way := range []string{"direct", "node"} { // in turn, in the same run
			r := trace.Request{Workspace: "w1", Model: bench.ModelName, Question: trace.Part{Name: fmt.Sprint("q", i), Tokens: 500}, MaxTokens: tokens, Stream: true}
			begin := time.Now()
			res := c.Send(ctx, addr[way], bench.KeyOf("w1"), r)
			if res.Tokens != tokens {
				return fmt.Errorf("%s: %d of %d tokens: %s%s", way, res.Tokens, tokens, res.Reason, res.Mismatch)
			}
			_ = first[way].RecordValue(res.FirstToken.Microseconds())
			_ = total[way].RecordValue(time.Since(begin).Microseconds())
		}
	}
	for _, q := range []float64{50, 95, 99} {
		for _, way := range []string{"direct", "node"} {
			l.noteTime(way, fmt.Sprintf("first token p%.0f", q), bench.Quantile(first[way], q))
		}
		l.noteTime("added by the node", fmt.Sprintf("first token p%.0f", q), bench.Quantile(first["node"], q)-bench.Quantile(first["direct"], q))
	}
	perEvent := (bench.Quantile(total["node"], 50) - bench.Quantile(total["direct"], 50)) / tokens
	l.note("added by the node", "per event", float64(perEvent.Nanoseconds())/1000, "us")
	return nil
}

func hist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// restart restarts all routers at once in the midst of a trace and compares the
// ten seconds after with the ten before.
func restart(ctx context.Context, l *lab) error {
	const part = 10 * time.Second
	shape := demoShape(l.seed, 1400)
	shape.Rate = 40
	reqs := trace.Generate(shape)
	f, err := startSmall(ctx, 8)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet(workspaces(reqs)...)); err != nil {
		return err
	}
	warm, before, after := cut(reqs, 0, part), cut(reqs, part, 2*part), cut(reqs, 2*part, 3*part)
	f.Drive(ctx, warm, nil)
	mark := f.LogOffsets()
	a := f.Drive(ctx, before, nil)
	hitBefore := f.HitRateSince(mark)
	for i := range f.Nodes {
		f.KillNode(i)
	}
	for i := range f.Nodes {
		if err := f.StartNode(ctx, i); err != nil {
			return err
		}
	}
	mark = f.LogOffsets()
	b := f.Drive(ctx, after, nil)
	for _, x := range []struct {
		name string
		rep  *bench.Report
		hit  float64
	}{{"before the restart", a, hitBefore}, {"after the restart", b, f.HitRateSince(mark)}} {
		l.note(x.name, "prefix hit rate", 100*x.hit, "%")
		l.note(x.name, "complete", 100*float64(x.rep.Complete)/float64(x.rep.Requests), "%")
		l.noteTime(x.name, "first token p50", bench.Quantile(x.rep.FirstToken, 50))
		l.noteTime(x.name, "first token p99", bench.Quantile(x.rep.FirstToken, 99))
		for r, n := range x.rep.Reasons {
			l.note(x.name, "refused: "+r, float64(n), "requests")
		}
	}
	return nil
}

// startSmall starts a fleet of the demo's engines with the given nodes.
func startSmall(ctx context.Context, nodes int) (*bench.Fleet, error) {
	return bench.Start(ctx, bench.WithNodes(nodes),
		bench.WithEngines(8, engine.WithSlots(demoSlots), engine.WithCache(pieceTokens, demoCachePieces), engine.WithSpeed(demoPrefill, demoGap)),
		bench.WithNodeOptions(func() []node.Option { return []node.Option{node.WithPlacer(place.New())} }))
}

// cut returns the requests between two times, moved to the start.
func cut(reqs []trace.Request, from, to time.Duration) []trace.Request {
	var out []trace.Request
	for _, r := range reqs {
		if at := time.Duration(r.AtMS) * time.Millisecond; at >= from && at < to {
			r.AtMS -= from.Milliseconds()
			out = append(out, r)
		}
	}
	return out
}

// wild lets one workspace send ten times its share and compares what the others
// get with what they had alone.
func wild(ctx context.Context, l *lab) error {
	tenants := []trace.WorkspaceShare{{Name: "a", Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 1}}
	for _, kase := range []string{"alone", "with a wild one"} {
		shape := demoShape(l.seed, 300)
		shape.Rate, shape.Workspaces = 20, tenants
		reqs := trace.Generate(shape)
		if kase != "alone" {
			flood := demoShape(l.seed+100, 1000)
			flood.Rate, flood.Workspaces = 67, []trace.WorkspaceShare{{Name: "wild", Share: 1}}
			reqs = merge(reqs, trace.Generate(flood))
		}
		f, err := startSmall(ctx, 4)
		if err != nil {
			return err
		}
		fleet := bench.DefaultFleet("a", "b", "c", "wild")
		for i := range fleet.Workspaces {
			fleet.Workspaces[i].Rate, fleet.Workspaces[i].Burst = 150_000, 600_000
		}
		if err := f.Apply(ctx, fleet); err != nil {
			f.Close()
			return err
		}
		rep := f.Drive(ctx, reqs, nil)
		f.Close()
		l.sumUp(kase, rep, "wild")
	}
	return nil
}

// merge puts two traces into one, by time.
func merge(a, b []trace.Request) []trace.Request {
	var out []trace.Request
	for len(a) > 0 && len(b) > 0 {
		if a[0].AtMS <= b[0].AtMS {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}

// sumUp notes first tokens and refusals of the named workspace and of the others.
func (l *lab) sumUp(kase string, rep *bench.Report, name string) {
	h, n, refused := map[bool]*hdrhistogram.Histogram{true: hist(), false: hist()}, map[bool]int{}, map[bool]int{}
	for _, r := range rep.Results {
		own := r.Request.Workspace == name
		n[own]++
		if r.FirstToken > 0 {
			_ = h[own].RecordValue(r.FirstToken.Microseconds())
		}
		if !r.Complete {
			refused[own]++
		}
	}
	for own, who := range map[bool]string{false: "the others", true: name} {
		if n[own] == 0 {
			continue
		}
		l.noteTime(kase, who+": first token p95", bench.Quantile(h[own], 95))
		l.note(kase, who+": refused", 100*float64(refused[own])/float64(n[own]), "%")
	}
}

// direct reads one address and drops the answer.
func direct(ctx context.Context, url, key string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}
