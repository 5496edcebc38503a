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

// measureStreams measures the memory and the processor time that a node needs for a
// stream. It opens many slow streams to an engine, directly and through a node, and
// takes the difference, since callers, engine and node share the process. The first
// round, also through the node, only warms up the process.
func measureStreams(ctx context.Context, rec *recorder) error {
	const n, tokens, gap = 400, 100, 40 * time.Millisecond
	f, err := bench.Start(ctx, bench.WithNodes(1), bench.WithEngines(1, engine.WithSpeed(1e9, gap), engine.WithSlots(2*n)))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	type usage struct {
		memory float64       // bytes per open stream
		cpu    time.Duration // processor time of all streams together
	}
	usageByPath := map[string]usage{}
	for _, path := range []struct{ name, addr string }{{"warm", f.Nodes[0].Addr()}, {"direct", f.Engines[0].Addr()}, {"node", f.Nodes[0].Addr()}} {
		c := bench.NewCaller()
		before, cpu := memoryInUse(), processorTime()
		var wg sync.WaitGroup
		complete := make([]bool, n)
		for i := range n {
			wg.Go(func() {
				res := c.Send(ctx, path.addr, bench.KeyOf("w1"), trace.Request{
					Workspace: "w1", Model: bench.ModelName, Question: trace.Part{Name: fmt.Sprint("q", i), Tokens: 50}, MaxTokens: tokens, Stream: true,
				})
				complete[i] = res.Complete
			})
		}
		time.Sleep(tokens * gap / 4) // all streams are open after a quarter of their duration
		open := memoryInUse()
		wg.Wait()
		usageByPath[path.name] = usage{memory: float64(open-before) / n, cpu: processorTime() - cpu}
		c.Close()
		if slices.Contains(complete, false) {
			return fmt.Errorf("%s: not all streams completed", path.name)
		}
	}
	rec.record("an open stream", "memory through a node", (usageByPath["node"].memory-usageByPath["direct"].memory)/1024, "KB")
	perEvent := (usageByPath["node"].cpu - usageByPath["direct"].cpu) / (n * tokens)
	rec.record("an event", "processor time of a node", float64(perEvent.Nanoseconds())/1000, "us")
	rec.record("a core", "events a second", float64(time.Second)/float64(perEvent), "1/s")
	return nil
}

// memoryInUse returns the heap and stack memory of the process in bytes, after a
// garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
