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

// measureLatency measures the time that a node adds, until the first token and per
// event, compared with a direct connection to the same engine.
func measureLatency(ctx context.Context, rec *recorder) error {
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
	first := map[string]*hdrhistogram.Histogram{"direct": newHistogram(), "node": newHistogram()}
	total := map[string]*hdrhistogram.Histogram{"direct": newHistogram(), "node": newHistogram()}
	addr := map[string]string{"direct": f.Engines[0].Addr(), "node": f.Nodes[0].Addr()}
	for i := range requests {
		for _, path := range []string{"direct", "node"} { // alternating, so that both run under the same conditions
			r := trace.Request{Workspace: "w1", Model: bench.ModelName, Question: trace.Part{Name: fmt.Sprint("q", i), Tokens: 500}, MaxTokens: tokens, Stream: true}
			begin := time.Now()
			res := c.Send(ctx, addr[path], bench.KeyOf("w1"), r)
			if res.Tokens != tokens {
				return fmt.Errorf("%s: received %d of %d tokens: %s%s", path, res.Tokens, tokens, res.Reason, res.Mismatch)
			}
			_ = first[path].RecordValue(res.FirstToken.Microseconds())
			_ = total[path].RecordValue(time.Since(begin).Microseconds())
		}
	}
	for _, q := range []float64{50, 95, 99} {
		for _, path := range []string{"direct", "node"} {
			rec.recordTime(path, fmt.Sprintf("first token p%.0f", q), bench.Quantile(first[path], q))
		}
		rec.recordTime("added by the node", fmt.Sprintf("first token p%.0f", q), bench.Quantile(first["node"], q)-bench.Quantile(first["direct"], q))
	}
	perEvent := (bench.Quantile(total["node"], 50) - bench.Quantile(total["direct"], 50)) / tokens
	rec.record("added by the node", "per event", float64(perEvent.Nanoseconds())/1000, "us")
	return nil
}

// newHistogram returns a histogram of durations in microseconds, from 1 µs to ten
// minutes, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// measureRestart kills all nodes at once in the middle of a trace, starts them again,
// and compares the ten seconds after with the ten seconds before. The first ten
// seconds of the trace only fill the caches.
func measureRestart(ctx context.Context, rec *recorder) error {
	const interval = 10 * time.Second
	shape := demoShape(rec.seed, 1400)
	shape.Rate = 40
	reqs := trace.Generate(shape)
	f, err := startFleet(ctx, 8)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet(workspaces(reqs)...)); err != nil {
		return err
	}
	warmUp, before, after := between(reqs, 0, interval), between(reqs, interval, 2*interval), between(reqs, 2*interval, 3*interval)
	f.Drive(ctx, warmUp, nil)
	offsets := f.LogOffsets()
	reportBefore := f.Drive(ctx, before, nil)
	hitBefore := f.HitRateSince(offsets)
	for i := range f.Nodes {
		f.KillNode(i)
	}
	for i := range f.Nodes {
		if err := f.StartNode(ctx, i); err != nil {
			return err
		}
	}
	offsets = f.LogOffsets()
	reportAfter := f.Drive(ctx, after, nil)
	for _, x := range []struct {
		name string
		rep  *bench.Report
		hit  float64
	}{{"before the restart", reportBefore, hitBefore}, {"after the restart", reportAfter, f.HitRateSince(offsets)}} {
		rec.record(x.name, "prefix hit rate", 100*x.hit, "%")
		rec.record(x.name, "complete", 100*float64(x.rep.Complete)/float64(x.rep.Requests), "%")
		rec.recordTime(x.name, "first token p50", bench.Quantile(x.rep.FirstToken, 50))
		rec.recordTime(x.name, "first token p99", bench.Quantile(x.rep.FirstToken, 99))
		for r, n := range x.rep.Reasons {
			rec.record(x.name, "refused: "+r, float64(n), "requests")
		}
	}
	return nil
}

// startFleet starts a fleet with the given number of nodes and eight engines, which
// have the size and speed of the demo's.
func startFleet(ctx context.Context, nodes int) (*bench.Fleet, error) {
	return bench.Start(ctx, bench.WithNodes(nodes),
		bench.WithEngines(8, engine.WithSlots(demoSlots), engine.WithCache(blockTokens, demoCacheBlocks), engine.WithSpeed(demoPrefillRate, demoTokenGap)),
		bench.WithNodeOptions(func() []node.Option { return []node.Option{node.WithPlacer(place.New())} }))
}

// between returns the requests at or after from and before to, with their times
// relative to from.
func between(reqs []trace.Request, from, to time.Duration) []trace.Request {
	var out []trace.Request
	for _, r := range reqs {
		if at := time.Duration(r.AtMS) * time.Millisecond; at >= from && at < to {
			r.AtMS -= from.Milliseconds()
			out = append(out, r)
		}
	}
	return out
}

// measureFlood measures how a workspace that floods the fleet affects the others. It
// drives three workspaces alone, and then together with a fourth one, named wild,
// which sends ten times as many requests as each of them.
func measureFlood(ctx context.Context, rec *recorder) error {
	shares := []trace.WorkspaceShare{{Name: "a", Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 1}}
	for _, caseName := range []string{"alone", "with a wild one"} {
		shape := demoShape(rec.seed, 300)
		shape.Rate, shape.Workspaces = 20, shares
		reqs := trace.Generate(shape)
		if caseName != "alone" {
			flood := demoShape(rec.seed+100, 1000)
			flood.Rate, flood.Workspaces = 67, []trace.WorkspaceShare{{Name: "wild", Share: 1}}
			reqs = mergeTraces(reqs, trace.Generate(flood))
		}
		f, err := startFleet(ctx, 4)
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
		rec.recordByWorkspace(caseName, rep, "wild")
	}
	return nil
}

// mergeTraces merges two traces that are sorted by time into one.
func mergeTraces(a, b []trace.Request) []trace.Request {
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

// recordByWorkspace records the 95th percentile of the first-token time and the share
// of requests without a complete response, for the named workspace and for all others
// together. A group without requests is left out.
func (rec *recorder) recordByWorkspace(caseName string, rep *bench.Report, name string) {
	firstToken, total, failed := map[bool]*hdrhistogram.Histogram{true: newHistogram(), false: newHistogram()}, map[bool]int{}, map[bool]int{}
	for _, r := range rep.Results {
		isNamed := r.Request.Workspace == name
		total[isNamed]++
		if r.FirstToken > 0 {
			_ = firstToken[isNamed].RecordValue(r.FirstToken.Microseconds())
		}
		if !r.Complete {
			failed[isNamed]++
		}
	}
	for isNamed, group := range map[bool]string{false: "the others", true: name} {
		if total[isNamed] == 0 {
			continue
		}
		rec.recordTime(caseName, group+": first token p95", bench.Quantile(firstToken[isNamed], 95))
		rec.record(caseName, group+": refused", 100*float64(failed[isNamed])/float64(total[isNamed]), "%")
	}
}

// getStatus sends a GET request with a caller's key and returns the HTTP status. It
// discards the response body.
func getStatus(ctx context.Context, url, key string) (int, error) {
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
