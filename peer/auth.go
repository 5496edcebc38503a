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

// authKey is the metadata field that authenticates a call.
const authKey = "vane-auth"

// mac returns the authentication code of b.
func mac(secret, b []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

// seal puts the authentication code before the message.
func seal(secret, b []byte) []byte { return append(mac(secret, b), b...) }

// open checks a datagram and returns the message.
func open(secret, b []byte) ([]byte, bool) {
	if len(b) < macSize || !hmac.Equal(b[:macSize], mac(secret, b[macSize:])) {
		return nil, false
	}
	return b[macSize:], true
}

// token returns what a call to the method must carry.
func token(secret []byte, method string) string {
	return hex.EncodeToString(mac(secret, []byte("call "+method)))
}

// checkCall is the server's interceptor that authenticates calls.
func checkCall(secret []byte) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		md, _ := metadata.FromIncomingContext(ctx)
		got := md.Get(authKey)
		if len(got) != 1 || !hmac.Equal([]byte(got[0]), []byte(token(secret, info.FullMethod))) {
			return nil, status.Error(codes.Unauthenticated, "the call does not carry the shared secret; set the same peers.secret on all nodes")
		}
		return next(ctx, req)
	}
}

// signCall is the client's interceptor that authenticates calls.
func signCall(secret []byte) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		ctx = metadata.AppendToOutgoingContext(ctx, authKey, token(secret, method))
		return next(ctx, method, req, reply, cc, opts...)
	}
}
