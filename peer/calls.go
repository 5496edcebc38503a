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

// dialTimeout is the time limit of one attempt to connect to a peer.
const dialTimeout = time.Second

// reconnectBackoff is the delay between attempts to connect to a peer. It is short,
// so that a restarted peer can be called soon after its start.
var reconnectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// maxMessageBytes is the maximum size of a call's message. It must fit a snapshot,
// which contains the whole configuration.
const maxMessageBytes = 8 << 20

// server implements the gRPC service that other nodes call.
type server struct {
	wire.UnimplementedPeerServer
	s *Service
}

// newServer returns the gRPC server of the node.
func (s *Service) newServer() *grpc.Server {
	opts := []grpc.ServerOption{grpc.UnaryInterceptor(verifyCall(s.secret)), grpc.MaxRecvMsgSize(maxMessageBytes)}
	if s.creds != nil {
		opts = append(opts, grpc.Creds(s.creds.server))
	}
	srv := grpc.NewServer(opts...)
	wire.RegisterPeerServer(srv, &server{s: s})
	return srv
}

// Snapshot implements wire.PeerServer.
func (v *server) Snapshot(_ context.Context, r *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	if v.s.handlers.Snapshot == nil {
		return nil, status.Error(codes.Unavailable, "not ready; ask another node")
	}
	return v.s.handlers.Snapshot(r), nil
}

// Exchange implements wire.PeerServer.
func (v *server) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if v.s.handlers.Exchange == nil {
		return nil, status.Error(codes.Unavailable, "not ready; ask another node")
	}
	return v.s.handlers.Exchange(ctx, r)
}

// Recall implements wire.PeerServer.
func (v *server) Recall(_ context.Context, r *wire.RecallRequest) (*wire.RecallReply, error) {
	if v.s.handlers.Recall != nil {
		v.s.handlers.Recall(r)
	}
	return &wire.RecallReply{}, nil
}

// Observe implements wire.PeerServer.
func (v *server) Observe(_ context.Context, r *wire.ObserveRequest) (*wire.ObserveReply, error) {
	if v.s.handlers.Observe != nil {
		v.s.handlers.Observe(r)
	}
	return &wire.ObserveReply{}, nil
}

// Stop implements wire.PeerServer.
func (v *server) Stop(_ context.Context, r *wire.StopRequest) (*wire.StopReply, error) {
	if v.s.handlers.StopMove != nil {
		v.s.handlers.StopMove(r)
	}
	return &wire.StopReply{}, nil
}

// connPool holds one connection to each peer. It is safe for concurrent use.
type connPool struct {
	opts   []grpc.DialOption
	mu     sync.Mutex
	byAddr map[string]*grpc.ClientConn
}

func newConnPool(c *tlsCreds, secret []byte) *connPool {
	tc := insecure.NewCredentials()
	if c != nil {
		tc = c.client
	}
	return &connPool{byAddr: make(map[string]*grpc.ClientConn), opts: []grpc.DialOption{
		grpc.WithTransportCredentials(tc),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: dialTimeout}),
		grpc.WithUnaryInterceptor(signCall(secret)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}}
}

// get returns a client for the peer at the address. The connection is created on
// first use.
func (c *connPool) get(addr string) (wire.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc, ok := c.byAddr[addr]
	if !ok {
		var err error
		if cc, err = grpc.NewClient("passthrough:///"+addr, c.opts...); err != nil {
			return nil, vane.Errorf(vane.KindInvalid, "peer.dial", "check the peers' addresses", "invalid peer address %s", addr).WithCause(err)
		}
		c.byAddr[addr] = cc
	}
	return wire.NewPeerClient(cc), nil
}

// close closes all connections.
func (c *connPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.byAddr {
		_ = cc.Close()
	}
	c.byAddr = make(map[string]*grpc.ClientConn)
}

// clientFor returns a client for the peer at the address, or an error of kind
// unavailable if BlockPeers blocks the address.
func (s *Service) clientFor(addr string) (wire.PeerClient, error) {
	if s.isBlocked(addr) {
		return nil, vane.Errorf(vane.KindUnavailable, "peer.call", "wait until the network partition heals", "peer %s is unreachable", addr)
	}
	return s.conns.get(addr)
}

// Snapshot asks the peer at addr for its configuration, upstreams and members.
func (s *Service) Snapshot(ctx context.Context, addr string, r *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	c, err := s.clientFor(addr)
	if err != nil {
		return nil, err
	}
	return c.Snapshot(ctx, r)
}

// Exchange asks the peer at addr for budget shares.
func (s *Service) Exchange(ctx context.Context, addr string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	c, err := s.clientFor(addr)
	if err != nil {
		return nil, err
	}
	return c.Exchange(ctx, r)
}

// Recall asks the peer at addr to give back budget shares.
func (s *Service) Recall(ctx context.Context, addr string, r *wire.RecallRequest) error {
	c, err := s.clientFor(addr)
	if err != nil {
		return err
	}
	_, err = c.Recall(ctx, r)
	return err
}

// Observe sends outcomes of upstream attempts to the peer at addr.
func (s *Service) Observe(ctx context.Context, addr string, r *wire.ObserveRequest) error {
	c, err := s.clientFor(addr)
	if err != nil {
		return err
	}
	_, err = c.Observe(ctx, r)
	return err
}

// StopMove notifies the peer at addr that a model version is faulty, so that it
// stops the version move.
func (s *Service) StopMove(ctx context.Context, addr string, r *wire.StopRequest) error {
	c, err := s.clientFor(addr)
	if err != nil {
		return err
	}
	_, err = c.Stop(ctx, r)
	return err
}
