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

// Limits of the service.
const (
	ticksPerPeriod   = 5        // calls of State.Tick per ping period
	mailboxSize      = 256      // tasks, and likewise datagrams, that wait for the service's goroutine
	maxDatagramBytes = 64 << 10 // size of the receive buffer
	stopTimeout      = 2 * time.Second
)

// View is a snapshot of the membership state. It is immutable.
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

// Handlers holds the functions that answer calls of other nodes. They must be safe
// for concurrent use. Without a handler, Snapshot and Exchange fail as unavailable
// and the other calls have no effect.
type Handlers struct {
	Snapshot func(*wire.SnapshotRequest) *wire.SnapshotReply
	Exchange func(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Recall   func(*wire.RecallRequest)
	Observe  func(*wire.ObserveRequest)
	StopMove func(*wire.StopRequest)
}

// Service communicates with the other nodes. Its methods are safe for concurrent
// use, except SetHandlers and Run. Create it with New.
type Service struct {
	addr      string
	period    time.Duration
	secret    []byte
	creds     *tlsCreds
	state     *member.State
	tasks     *kernel.Mailbox[func(now time.Time)]
	view      atomic.Pointer[View]
	handlers  Handlers
	conns     *connPool
	udp       *net.UDPConn
	bytesSent atomic.Uint64
	blocked   atomic.Pointer[func(addr string) bool] // set by BlockPeers; nil to block none
}

// tlsCreds are a node's TLS credentials as server and as client.
type tlsCreds struct {
	server credentials.TransportCredentials
	client credentials.TransportCredentials
}

// Option configures a service; pass it to New.
type Option func(*Service)

// WithTLS sets the credentials for mutual TLS between nodes.
func WithTLS(server, client credentials.TransportCredentials) Option {
	return func(s *Service) { s.creds = &tlsCreds{server: server, client: client} }
}

// New returns the service of a node. addr is its UDP and TCP address for other
// nodes; period is the time between two rounds of pings. The service owns st.
func New(st *member.State, addr, secret string, period time.Duration, opts ...Option) *Service {
	s := &Service{
		addr: addr, period: period, secret: []byte(secret), state: st,
		tasks: kernel.NewMailbox[func(time.Time)](mailboxSize),
	}
	for _, o := range opts {
		o(s)
	}
	s.conns = newConnPool(s.creds, s.secret)
	s.publish()
	return s
}

// SetHandlers sets the handlers. Call it before Run.
func (s *Service) SetHandlers(h Handlers) { s.handlers = h }

// View returns the latest snapshot of the membership state.
func (s *Service) View() *View { return s.view.Load() }

// BytesSent returns the number of bytes sent in datagrams so far.
func (s *Service) BytesSent() uint64 { return s.bytesSent.Load() }

// BlockPeers drops datagrams from and to the peer addresses for which f returns
// true, and makes calls to them fail. It exists for failure tests.
func (s *Service) BlockPeers(f func(addr string) bool) { s.blocked.Store(&f) }

// isBlocked reports whether BlockPeers blocks the address.
func (s *Service) isBlocked(addr string) bool {
	f := s.blocked.Load()
	return f != nil && (*f)(addr)
}

// Do queues f to be called with the state on the service's goroutine. It returns
// false, without queueing f, if the queue is full.
func (s *Service) Do(f func(st *member.State, now time.Time)) bool {
	return s.tasks.Send(func(now time.Time) { f(s.state, now) })
}

// Run implements kernel.Service. It listens on the node's address and runs the
// membership protocol until ctx ends; then it announces that the node has left.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ua, err := net.ResolveUDPAddr("udp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "peer: invalid address %s; write an IP address and a port", s.addr)
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

// stopServer waits up to 2 s for open calls before it closes their connections.
func stopServer(srv *grpc.Server) {
	t := time.AfterFunc(stopTimeout, srv.Stop)
	defer t.Stop()
	srv.GracefulStop()
}

// loop drives the state machine until ctx ends.
func (s *Service) loop(ctx context.Context, in <-chan *wire.Gossip) {
	tick := time.NewTicker(s.period / ticksPerPeriod)
	defer tick.Stop()
	s.send(s.state.Tick(time.Now()))
	for {
		select {
		case g := <-in:
			s.send(s.state.Handle(time.Now(), g))
		case f := <-s.tasks.C():
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
	s.tasks.Send(func(now time.Time) { s.send(s.state.Leave(now)) })
}

// publish makes a snapshot of the state available through View.
func (s *Service) publish() {
	s.view.Store(&View{Self: s.state.Self(), Members: s.state.Members(), Info: s.state.Info()})
}

// send sends packets as datagrams. Failures are ignored, since the protocol
// tolerates lost datagrams.
func (s *Service) send(ps []member.Packet) {
	for _, p := range ps {
		if s.isBlocked(p.Addr) {
			continue
		}
		b, err := proto.Marshal(p.Msg)
		if err != nil {
			klog.ErrorS(err, "membership message can't be encoded; datagram not sent")
			continue
		}
		ua, err := net.ResolveUDPAddr("udp", p.Addr)
		if err != nil {
			continue
		}
		n, _ := s.udp.WriteToUDP(seal(s.secret, b), ua)
		s.bytesSent.Add(uint64(n))
	}
}

// receive reads datagrams until the socket is closed. It drops datagrams without a
// valid authentication code and those that arrive while the queue is full.
func (s *Service) receive(in chan<- *wire.Gossip) {
	buf := make([]byte, maxDatagramBytes)
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
		if proto.Unmarshal(b, g) != nil || s.isBlocked(g.GetFrom().GetAddr()) {
			continue
		}
		select {
		case in <- g:
		default:
		}
	}
}
