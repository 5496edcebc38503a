// Command stand runs the cases of the review: it starts nodes as processes of their own
// and plays the platform's store, the servers and the requesters around them.
//
//	stand CASE RECORD     play a case; exit 1: the rule was broken, 0: it held, 2: could not run
//	stand server ...      a server as a process of its own, started by a case
//	stand engine ...      a model server as a process of its own, started by a case
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// awaitStart is the longest time from the start of the nodes until all are ready.
const awaitStart = 20 * time.Second

// host is the host of all routes.
const host = "voka93.example"

// self returns the path of this program, which is also the servers that cases start.
func self() string {
	p, err := os.Executable()
	if err != nil {
		return "review/stand"
	}
	return p
}

// world is what each case starts from.
type world struct {
	*record
	store   *store
	nodes   []*node
	dir     string
	trouble bool
	cleanup []func()
}

// newWorld starts a store with the config and the nodes.
func newWorld(recordPath string, nodes int) (*world, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.nodes, err = newNodes(w.dir, w.store.addr, nodes)
	return w, err
}

// startNodes starts the nodes and waits until they are ready.
func (w *world) startNodes() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return awaitReady(w.nodes, awaitStart)
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, f := range w.cleanup {
		f()
	}
	for _, n := range w.nodes {
		n.stop()
	}
	if w.store != nil {
		w.store.close()
	}
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		for _, n := range w.nodes {
			if b, err := os.ReadFile(n.log); err == nil {
				os.WriteFile(d+"/"+n.name+".log", b, 0o644)
			}
		}
	}
	os.RemoveAll(w.dir)
	w.record.close()
}

var cases = map[string]func(recordPath string) (broken bool, err error){
	"isolated":  isolated,
	"lateorder": lateOrder,
	"poison":    poison,
	"suspect":   suspect,
	"unframed":  unframed,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		engineMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-sig
		killStarted()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
