package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// macSize is the size in bytes of a datagram's authentication code.
const macSize = 12

// authMetadataKey is the gRPC metadata key of a call's authentication token.
const authMetadataKey = "vane-auth"

// mac returns the authentication code of b: a truncated HMAC-SHA256.
func mac(secret, b []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

// seal returns the datagram for a message: its authentication code followed by the
// message.
func seal(secret, b []byte) []byte { return append(mac(secret, b), b...) }

// open verifies a datagram and returns its message, or false if the authentication
// code is missing or wrong.
func open(secret, b []byte) ([]byte, bool) {
	if len(b) < macSize || !hmac.Equal(b[:macSize], mac(secret, b[macSize:])) {
		return nil, false
	}
	return b[macSize:], true
}

// callToken returns the authentication token that calls of the method must carry.
func callToken(secret []byte, method string) string {
	return hex.EncodeToString(mac(secret, []byte("call "+method)))
}

// verifyCall returns a server interceptor that rejects calls without the correct
// token.
func verifyCall(secret []byte) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		md, _ := metadata.FromIncomingContext(ctx)
		got := md.Get(authMetadataKey)
		if len(got) != 1 || !hmac.Equal([]byte(got[0]), []byte(callToken(secret, info.FullMethod))) {
			return nil, status.Error(codes.Unauthenticated, "the call's authentication token is missing or wrong; set the same peers.secret on all nodes")
		}
		return next(ctx, req)
	}
}

// signCall returns a client interceptor that adds the authentication token to calls.
func signCall(secret []byte) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		ctx = metadata.AppendToOutgoingContext(ctx, authMetadataKey, callToken(secret, method))
		return next(ctx, method, req, reply, cc, opts...)
	}
}
