// The program stand3 plays the cases of the third review that are scripts. It starts stand-ins
// of the platform's store and of servers and callers in its own process, and the nodes as
// processes of their own, and checks what these stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the longest time that a case takes.
const longest = 110 * time.Second

// recorder collects the lines of record.txt.
type recorder struct {
	begin time.Time
	mu    sync.Mutex
	lines []string
}

// add adds a line.
func (r *recorder) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f %-9s ", time.Since(r.begin).Seconds(), what)+fmt.Sprintf(format, args...))
}

// write writes the lines to a file.
func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		if _, err := fmt.Fprintln(f, l); err != nil {
			return err
		}
	}
	return f.Close()
}

// must ends the program if the case can't run.
func must(err error) {
	if err != nil {
		fail(err)
	}
}

// cleanup writes the record and removes the temporary folder, as far as there are any.
var cleanup = func() {}

// failing lets one goroutine fail at a time.
var failing sync.Mutex

// fail ends all processes and the program: the case couldn't run.
func fail(err error) {
	failing.Lock()
	fmt.Fprintln(os.Stderr, "stand3:", err)
	killAll()
	cleanup()
	os.Exit(exitNotRun)
}

// need ends the program if the load or the disruption of the case didn't take place.
func need(ok bool, format string, args ...any) {
	if !ok {
		fail(fmt.Errorf(format, args...))
	}
}

// nodes are all nodes, to be ended in any case.
var (
	nodesMu sync.Mutex
	nodes   []*node
)

// killAll ends all processes and waits for their end.
func killAll() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		cmd, done := n.cmd, n.done
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-done
		}
	}
}

// world is what a case has.
type world struct {
	rec     *recorder
	dir     string // temporary folder
	trouble bool
	store   *store
	fleet   *fleet
	nodes   []*node
	version int // of the configuration
}

// cases are the cases by name. Each returns whether the rule was broken, and a summary.
var cases = map[string]func(w *world) (broken bool, summary string){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		names := []string{}
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "stand3: the cases are", names)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "stand3-")
	must(err)
	rec := &recorder{begin: time.Now()}
	st := newStore(rec)
	w := &world{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: st, fleet: &fleet{rec: rec, store: st}}
	cleanup = func() {
		rec.add("result", "the case couldn't run")
		_ = rec.write(filepath.Join(os.Args[2], "record.txt"))
		_ = os.RemoveAll(dir)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fail(fmt.Errorf("stopped by the signal %v", <-stop)) }()
	time.AfterFunc(longest, func() { fail(fmt.Errorf("the case takes too long")) })
	broken, summary := play(w)
	for _, n := range w.nodes {
		select {
		case <-n.end():
			fail(fmt.Errorf("node %s has ended by itself", n.name))
		default:
		}
	}
	rec.add("result", "%s", summary)
	killAll()
	must(rec.write(filepath.Join(os.Args[2], "record.txt")))
	fmt.Println(summary)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the nodes:", dir)
	}
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// startNodes starts n nodes and waits until they are ready and in touch.
func (w *world) startNodes(n int) {
	for i := range n {
		name := fmt.Sprintf("front-cerro-%d", i+1)
		x := newNode(w.rec, w.dir, name, w.store.listen(name))
		w.nodes = append(w.nodes, x)
		nodesMu.Lock()
		nodes = append(nodes, x)
		nodesMu.Unlock()
		x.start()
	}
	for _, x := range w.nodes {
		must(x.awaitReady())
	}
	time.Sleep(contactTime + time.Second)
}

// until waits until f returns true, for the given time at most.
func until(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
