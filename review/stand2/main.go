// Command review-2 runs the scripts of the second review: it starts the stand-ins of a case
// and the system's own program, and checks one rule by what the servers, the callers and the
// store have seen.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Bounds of the roll-outs, as on the sheets.
const (
	exposeShare = 0.1
	exposeSlack = 50
	rollback    = 5 * time.Second
)

// arrival is a request that reached a server.
type arrival struct {
	id       string
	at, sent time.Time
	version  string
	status   int
}

// world is the state of one case.
type world struct {
	dir       string
	begin     time.Time
	trouble   bool
	store     *store
	storeAddr string
	ports     ports
	nodes     []*node
	servers   []*server

	mu       sync.Mutex
	log      *bufio.Writer
	sentAt   map[string]time.Time // by request id
	arrivals []arrival
	children []*os.Process // other processes that the case has started
}

// notRun is the panic of a case that can't run.
type notRun string

// fail ends a case that can't run.
func (w *world) fail(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// must ends the case if there is an error.
func (w *world) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (w *world) say(format string, args ...any) {
	w.record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sent records that a request is sent.
func (w *world) sent(id string) {
	w.record("sent %s", id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentAt[id] = time.Now()
}

// arrived records that a request runs at a server.
func (w *world) arrived(s *server, id string, a answer) {
	w.record("run %s at %s (%s), will answer %d", id, s.id, s.version, a.status)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{id, time.Now(), w.sentAt[id], s.version, a.status})
}

// cleanUp ends all processes that the case has started.
func (w *world) cleanUp() {
	w.mu.Lock()
	for _, p := range w.children {
		_ = p.Kill() // one that has ended is not signalled
	}
	w.mu.Unlock()
	for _, x := range w.nodes {
		if x.cmd != nil && x.cmd.Process != nil {
			x.kill()
		}
	}
}

// cases are the cases by name.
var cases = map[string]func(w *world) int{"status": caseStatus, "late": caseLate, "next": caseNext, "upload": caseUpload, "portion": casePortion, "ends": caseEnds}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "serve" {
		os.Exit(serveAlone(os.Args[2]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns its exit code.
func run(f func(w *world) int, recordFile string) (code int) {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	w := &world{begin: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), log: bufio.NewWriter(out), sentAt: make(map[string]time.Time)}
	defer w.log.Flush()
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", filepath.Base(w.dir))
	}
	defer w.cleanUp()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.cleanUp()
		os.Exit(exitNotRun)
	}()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case notRun:
			w.say("could not run: %s", string(p))
			code = exitNotRun
		default:
			panic(p)
		}
	}()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	return f(w)
}
