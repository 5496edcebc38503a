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

// fakeService is a service that appends "+name" to log when it starts and "-name" when it
// stops.
type fakeService struct {
	name  string
	log   *[]string
	fail  error      // if not nil, Run returns it before the service is ready
	crash chan error // Run returns an error received here
}

func (p *fakeService) Run(ctx context.Context, ready func()) error {
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

func TestStartAndStopOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log []string
		k := kernel.New()
		is.NoErr(k.Add("c", &fakeService{name: "c", log: &log}, "b", "a"))
		is.NoErr(k.Add("a", &fakeService{name: "a", log: &log}))
		is.NoErr(k.Add("b", &fakeService{name: "b", log: &log}, "a"))
		is.Equal(vane.KindOf(k.Add("a", nil)), vane.KindInvalid)
		is.NoErr(k.Start(t.Context()))
		is.NoErr(k.Stop(t.Context()))
		is.Equal(log, []string{"+a", "+b", "+c", "-c", "-b", "-a"})
		got, err := kernel.Lookup[*fakeService](k, "b")
		is.NoErr(err)
		is.Equal(got.name, "b")
		_, err = kernel.Lookup[*fakeService](k, "x")
		is.Equal(vane.KindOf(err), vane.KindNotFound)
		_, err = kernel.Lookup[int](k, "b")
		is.Equal(vane.KindOf(err), vane.KindInvalid)
	})
}

func TestStartRejectsInvalidDependencies(t *testing.T) {
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
				is.NoErr(k.Add(n, &fakeService{name: n, log: &log}, needs...))
			}
			is.Equal(vane.KindOf(k.Start(t.Context())), tt.kind)
			is.Equal(len(log), 0) // no service has been started
		})
	}
}

func TestFailureAtAndAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log []string
		bad := errors.New("no port")
		k := kernel.New()
		is.NoErr(k.Add("a", &fakeService{name: "a", log: &log}))
		is.NoErr(k.Add("b", &fakeService{name: "b", log: &log, fail: bad}, "a"))
		is.Equal(k.Start(t.Context()), bad)
		is.Equal(log, []string{"+a", "-a"}) // the service that had started is stopped

		crash := make(chan error, 1)
		k = kernel.New()
		is.NoErr(k.Add("a", &fakeService{name: "a", log: &log, crash: crash}))
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
		is.True(!b.Send(2)) // a full mailbox drops the message instead of blocking
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
	_ = k.Add("entry", &fakeService{name: "entry", log: &log}, "config")
	_ = k.Add("config", &fakeService{name: "config", log: &log})
	_ = k.Start(context.Background())
	fmt.Println(k.Names())
	_ = k.Stop(context.Background())
	// Output: [config entry]
}
