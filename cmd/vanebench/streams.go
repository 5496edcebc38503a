package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/trace"
)

// streams opens many slow streams, directly and through a node, and compares the
// memory and the processor time that the process takes for each.
func streams(ctx context.Context, l *lab) error {
	const n, tokens, gap = 400, 100, 40 * time.Millisecond
	f, err := bench.Start(ctx, bench.WithNodes(1), bench.WithEngines(1, engine.WithSpeed(1e9, gap), engine.WithSlots(2*n)))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	type use struct {
		memory float64
		cpu    time.Duration
	}
	used := map[string]use{}
	for _, way := range []struct{ name, addr string }{{"warm", f.Nodes[0].Addr()}, {"direct", f.Engines[0].Addr()}, {"node", f.Nodes[0].Addr()}} {
		c := bench.NewCaller()
		before, cpu := memory(), processor()
		var wg sync.WaitGroup
		complete := make([]bool, n)
		for i := range n {
			wg.Go(func() {
				res := c.Send(ctx, way.addr, bench.KeyOf("w1"), trace.Request{
					Workspace: "w1", Model: bench.ModelName, Question: trace.Part{Name: fmt.Sprint("q", i), Tokens: 50}, MaxTokens: tokens, Stream: true,
				})
				complete[i] = res.Complete
			})
		}
		time.Sleep(tokens * gap / 4) // all are open
		open := memory()
		wg.Wait()
		used[way.name] = use{memory: float64(open-before) / n, cpu: processor() - cpu}
		c.Close()
		if slices.Contains(complete, false) {
			return fmt.Errorf("%s: not all streams are complete", way.name)
		}
	}
	l.note("an open stream", "memory through a node", (used["node"].memory-used["direct"].memory)/1024, "KB")
	perEvent := (used["node"].cpu - used["direct"].cpu) / (n * tokens)
	l.note("an event", "processor time of a node", float64(perEvent.Nanoseconds())/1000, "us")
	l.note("a core", "events a second", float64(time.Second)/float64(perEvent), "1/s")
	return nil
}

// memory returns the bytes that the process has in use, after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
