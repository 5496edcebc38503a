package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/wire"
)

// dialTimeout bounds one attempt to connect to a peer.
const dialTimeout = time.Second

// reconnect is the pause between attempts to connect to a peer. It is short, for
// a peer that restarts is needed at once.
var reconnect = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// maxMessage bounds a call's message in bytes; a snapshot holds the whole
// configuration.
const maxMessage = 8 << 20

// server answers the calls of other nodes.
type server struct {
	wire.UnimplementedPeerServer
	s *Service
}

// newServer returns the gRPC server of the node.
func (s *Service) newServer() *grpc.Server {
	opts := []grpc.ServerOption{grpc.UnaryInterceptor(checkCall(s.secret)), grpc.MaxRecvMsgSize(maxMessage)}
	if s.creds != nil {
		opts = append(opts, grpc.Creds(s.creds.server))
	}
	srv := grpc.NewServer(opts...)
	wire.RegisterPeerServer(srv, &server{s: s})
	return srv
}

// Snapshot implements wire.PeerServer.
func (v *server) Snapshot(_ context.Context, r *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	if v.s.h.Snapshot == nil {
		return nil, status.Error(codes.Unavailable, "not ready; ask another node")
	}
	return v.s.h.Snapshot(r), nil
}

// Exchange implements wire.PeerServer.
func (v *server) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if v.s.h.Exchange == nil {
		return nil, status.Error(codes.Unavailable, "not ready; ask another node")
	}
	return v.s.h.Exchange(ctx, r)
}

// Recall implements wire.PeerServer.
func (v *server) Recall(_ context.Context, r *wire.RecallRequest) (*wire.RecallReply, error) {
	if v.s.h.Recall != nil {
		v.s.h.Recall(r)
	}
	return &wire.RecallReply{}, nil
}

// Observe implements wire.PeerServer.
func (v *server) Observe(_ context.Context, r *wire.ObserveRequest) (*wire.ObserveReply, error) {
	if v.s.h.Observe != nil {
		v.s.h.Observe(r)
	}
	return &wire.ObserveReply{}, nil
}

// Stop implements wire.PeerServer.
func (v *server) Stop(_ context.Context, r *wire.StopRequest) (*wire.StopReply, error) {
	if v.s.h.StopMove != nil {
		v.s.h.StopMove(r)
	}
	return &wire.StopReply{}, nil
}

// conns keeps one connection to each peer.
type conns struct {
	opts []grpc.DialOption
	mu   sync.Mutex
	m    map[string]*grpc.ClientConn
}

func newConns(c *creds, secret []byte) *conns {
	tc := insecure.NewCredentials()
	if c != nil {
		tc = c.client
	}
	return &conns{m: make(map[string]*grpc.ClientConn), opts: []grpc.DialOption{
		grpc.WithTransportCredentials(tc),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: dialTimeout}),
		grpc.WithUnaryInterceptor(signCall(secret)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	}}
}

// get returns the connection to the address, which is made on first use.
func (c *conns) get(addr string) (wire.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc, ok := c.m[addr]
	if !ok {
		var err error
		if cc, err = grpc.NewClient("passthrough:///"+addr, c.opts...); err != nil {
			return nil, vane.Errorf(vane.KindInvalid, "peer.dial", "check the peers' addresses", "bad address %s", addr).WithCause(err)
		}
		c.m[addr] = cc
	}
	return wire.NewPeerClient(cc), nil
}

// close ends all connections.
func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.m {
		_ = cc.Close()
	}
	c.m = make(map[string]*grpc.ClientConn)
}

// client returns the client of a peer, unless it is cut off.
func (s *Service) client(addr string) (wire.PeerClient, error) {
	if s.cut(addr) {
		return nil, vane.Errorf(vane.KindUnavailable, "peer.call", "wait until the network is whole", "peer %s is cut off", addr)
	}
	return s.conns.get(addr)
}

// Snapshot asks a peer for its configuration and members.
func (s *Service) Snapshot(ctx context.Context, addr string, r *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	c, err := s.client(addr)
	if err != nil {
		return nil, err
	}
	return c.Snapshot(ctx, r)
}

// Exchange asks a peer for shares of budgets.
func (s *Service) Exchange(ctx context.Context, addr string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	c, err := s.client(addr)
	if err != nil {
		return nil, err
	}
	return c.Exchange(ctx, r)
}

// Recall asks a peer to give shares back.
func (s *Service) Recall(ctx context.Context, addr string, r *wire.RecallRequest) error {
	c, err := s.client(addr)
	if err != nil {
		return err
	}
	_, err = c.Recall(ctx, r)
	return err
}

// Observe tells a peer outcomes of attempts.
func (s *Service) Observe(ctx context.Context, addr string, r *wire.ObserveRequest) error {
	c, err := s.client(addr)
	if err != nil {
		return err
	}
	_, err = c.Observe(ctx, r)
	return err
}

// StopMove tells a peer that a version has shown a fault.
func (s *Service) StopMove(ctx context.Context, addr string, r *wire.StopRequest) error {
	c, err := s.client(addr)
	if err != nil {
		return err
	}
	_, err = c.Stop(ctx, r)
	return err
}
