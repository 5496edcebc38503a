package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/kernel"
	"mustardvane.org/vane/member"
	"mustardvane.org/vane/wire"
)

// Bounds of the task.
const (
	ticksPerPeriod = 5
	mailboxSize    = 256
	packetSize     = 64 << 10
	stopWait       = 2 * time.Second
)

// View is what the task last published. It is immutable.
type View struct {
	Self    member.Member
	Members []member.Member
	Info    member.Info
}

// Live returns the node itself and all live members.
func (v *View) Live() []member.Member {
	out := []member.Member{v.Self}
	for _, m := range v.Members {
		if m.Live() {
			out = append(out, m)
		}
	}
	return out
}

// Handlers answer the calls of other nodes.
type Handlers struct {
	Snapshot func(*wire.SnapshotRequest) *wire.SnapshotReply
	Exchange func(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Recall   func(*wire.RecallRequest)
	Observe  func(*wire.ObserveRequest)
	StopMove func(*wire.StopRequest)
}

// Service is the task. Create it with New.
type Service struct {
	addr   string
	period time.Duration
	secret []byte
	creds  *creds
	state  *member.State
	box    *kernel.Mailbox[func(now time.Time)]
	view   atomic.Pointer[View]
	h      Handlers
	conns  *conns
	udp    *net.UDPConn
	bytes  atomic.Uint64
	drop   atomic.Pointer[func(addr string) bool]
}

// creds are the TLS sides of a node.
type creds struct {
	server credentials.TransportCredentials
	client credentials.TransportCredentials
}

// Option changes a service under construction.
type Option func(*Service)

// WithTLS sets mutual TLS between nodes.
func WithTLS(server, client credentials.TransportCredentials) Option {
	return func(s *Service) { s.creds = &creds{server: server, client: client} }
}

// New returns the service of a node. addr is its UDP and TCP address; period the
// time between two rounds of pings.
func New(st *member.State, addr, secret string, period time.Duration, opts ...Option) *Service {
	s := &Service{
		addr: addr, period: period, secret: []byte(secret), state: st,
		box: kernel.NewMailbox[func(time.Time)](mailboxSize),
	}
	for _, o := range opts {
		o(s)
	}
	s.conns = newConns(s.creds, s.secret)
	s.publish()
	return s
}

// SetHandlers sets the handlers. Call it before Run.
func (s *Service) SetHandlers(h Handlers) { s.h = h }

// View returns the newest view of the members.
func (s *Service) View() *View { return s.view.Load() }

// Bytes returns the bytes of datagrams sent so far.
func (s *Service) Bytes() uint64 { return s.bytes.Load() }

// BlockPeers makes the service ignore datagrams from, and send none to, the peer
// addresses for which f returns true. It exists for failure tests.
func (s *Service) BlockPeers(f func(addr string) bool) { s.drop.Store(&f) }

// cut says whether the address is cut off.
func (s *Service) cut(addr string) bool {
	f := s.drop.Load()
	return f != nil && (*f)(addr)
}

// Do has the task call f with the state. It returns false if the task is too
// busy.
func (s *Service) Do(f func(st *member.State, now time.Time)) bool {
	return s.box.Send(func(now time.Time) { f(s.state, now) })
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ua, err := net.ResolveUDPAddr("udp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "peer: address %s; write an IP number and a port", s.addr)
	}
	if s.udp, err = net.ListenUDP("udp", ua); err != nil {
		return errors.Wrapf(err, "peer: listen on %s; free the address or name another one in the settings", s.addr)
	}
	lis, err := net.Listen("tcp", s.addr)
	if err != nil {
		_ = s.udp.Close()
		return errors.Wrapf(err, "peer: listen on %s; free the address or name another one in the settings", s.addr)
	}
	srv := s.newServer()
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(lis) }()
	in := make(chan *wire.Gossip, mailboxSize)
	received := make(chan struct{})
	go func() { defer close(received); s.receive(in) }()
	ready()
	s.loop(ctx, in)
	s.send(s.state.AnnounceLeft(time.Now()))
	_ = s.udp.Close()
	stopServer(srv)
	<-served
	<-received
	s.conns.close()
	return nil
}

// stopServer ends the calls that are open, for a bounded time.
func stopServer(srv *grpc.Server) {
	t := time.AfterFunc(stopWait, srv.Stop)
	defer t.Stop()
	srv.GracefulStop()
}

// loop runs the state machine until ctx ends.
func (s *Service) loop(ctx context.Context, in <-chan *wire.Gossip) {
	tick := time.NewTicker(s.period / ticksPerPeriod)
	defer tick.Stop()
	s.send(s.state.Tick(time.Now()))
	for {
		select {
		case g := <-in:
			s.send(s.state.Handle(time.Now(), g))
		case f := <-s.box.C():
			f(time.Now())
		case <-tick.C:
			s.send(s.state.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
		s.publish()
	}
}

// Leave announces that the node is leaving.
func (s *Service) Leave() {
	s.box.Send(func(now time.Time) { s.send(s.state.Leave(now)) })
}

// publish makes the newest view available.
func (s *Service) publish() {
	s.view.Store(&View{Self: s.state.Self(), Members: s.state.Members(), Info: s.state.Info()})
}

// send sends packets. A datagram that can't be sent is lost, which the protocol
// allows for.
func (s *Service) send(ps []member.Packet) {
	for _, p := range ps {
		if s.cut(p.Addr) {
			continue
		}
		b, err := proto.Marshal(p.Msg)
		if err != nil {
			klog.ErrorS(err, "message not encoded")
			continue
		}
		ua, err := net.ResolveUDPAddr("udp", p.Addr)
		if err != nil {
			continue
		}
		n, _ := s.udp.WriteToUDP(seal(s.secret, b), ua)
		s.bytes.Add(uint64(n))
	}
}

// receive reads datagrams until the socket is closed. Those without the shared
// secret are dropped, as are those that arrive while the task is busy.
func (s *Service) receive(in chan<- *wire.Gossip) {
	buf := make([]byte, packetSize)
	for {
		n, _, err := s.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		b, ok := open(s.secret, buf[:n])
		if !ok {
			continue
		}
		g := &wire.Gossip{}
		if proto.Unmarshal(b, g) != nil || s.cut(g.GetFrom().GetAddr()) {
			continue
		}
		select {
		case in <- g:
		default:
		}
	}
}
