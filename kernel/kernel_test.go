package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/kernel"
)

// part is a service that notes its start and its stop.
type part struct {
	name  string
	log   *[]string
	fail  error // returned before it is ready
	crash chan error
}

func (p *part) Run(ctx context.Context, ready func()) error {
	if p.fail != nil {
		return p.fail
	}
	*p.log = append(*p.log, "+"+p.name)
	ready()
	select {
	case <-ctx.Done():
		*p.log = append(*p.log, "-"+p.name)
		return nil
	case err := <-p.crash:
		return err
	}
}

func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log []string
		k := kernel.New()
		is.NoErr(k.Add("c", &part{name: "c", log: &log}, "b", "a"))
		is.NoErr(k.Add("a", &part{name: "a", log: &log}))
		is.NoErr(k.Add("b", &part{name: "b", log: &log}, "a"))
		is.Equal(vane.KindOf(k.Add("a", nil)), vane.KindInvalid)
		is.NoErr(k.Start(t.Context()))
		is.NoErr(k.Stop(t.Context()))
		is.Equal(log, []string{"+a", "+b", "+c", "-c", "-b", "-a"})
		got, err := kernel.Lookup[*part](k, "b")
		is.NoErr(err)
		is.Equal(got.name, "b")
		_, err = kernel.Lookup[*part](k, "x")
		is.Equal(vane.KindOf(err), vane.KindNotFound)
		_, err = kernel.Lookup[int](k, "b")
		is.Equal(vane.KindOf(err), vane.KindInvalid)
	})
}

func TestBadGraphs(t *testing.T) {
	for _, tt := range []struct {
		name  string
		needs map[string][]string
		kind  vane.Kind
	}{
		{"cycle", map[string][]string{"a": {"b"}, "b": {"a"}}, vane.KindInvalid},
		{"missing", map[string][]string{"a": {"b"}}, vane.KindNotFound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var log []string
			k := kernel.New()
			for n, needs := range tt.needs {
				is.NoErr(k.Add(n, &part{name: n, log: &log}, needs...))
			}
			is.Equal(vane.KindOf(k.Start(t.Context())), tt.kind)
			is.Equal(len(log), 0) // nothing was started
		})
	}
}

func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log []string
		bad := errors.New("no port")
		k := kernel.New()
		is.NoErr(k.Add("a", &part{name: "a", log: &log}))
		is.NoErr(k.Add("b", &part{name: "b", log: &log, fail: bad}, "a"))
		is.Equal(k.Start(t.Context()), bad)
		is.Equal(log, []string{"+a", "-a"}) // what ran was stopped

		crash := make(chan error, 1)
		k = kernel.New()
		is.NoErr(k.Add("a", &part{name: "a", log: &log, crash: crash}))
		is.NoErr(k.Start(t.Context()))
		crash <- bad
		is.True(errors.Is(<-k.Failed(), bad))
		is.NoErr(k.Stop(t.Context()))
	})
}

func TestMailbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := kernel.NewMailbox[int](1)
		is.True(b.Send(1))
		is.True(!b.Send(2)) // full: dropped, not waited for
		is.Equal(b.Dropped(), uint64(1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(b.Put(ctx, 3), context.DeadlineExceeded)
		is.Equal(<-b.C(), 1)
	})
}

func ExampleKernel() {
	var log []string
	k := kernel.New()
	_ = k.Add("entry", &part{name: "entry", log: &log}, "config")
	_ = k.Add("config", &part{name: "config", log: &log})
	_ = k.Start(context.Background())
	fmt.Println(k.Names())
	_ = k.Stop(context.Background())
	// Output: [config entry]
}
