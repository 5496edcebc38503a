package abuse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes and times of the clients.
const (
	pieceBytes     = 16 << 10        // written at a time
	largeChunk     = 64 << 10        // bytes in a large chunk
	missingBytes   = 64              // bytes at the end of a body that are not sent
	overFactor     = 4               // a body over the limit has this multiple of BodyBytes
	headerBytes    = 60 << 10        // of headers that do not end
	stallTime      = 2 * time.Second // a client that could write nothing for this long counts as settled
	answerTime     = 5 * time.Second // a client that got no byte of a response for this long counts as settled
	connectTimeout = 10 * time.Second
)

// Crowd is a number of clients that send the same load to one node. Its fields must not be
// changed after Start.
type Crowd struct {
	Addr      string // of the node
	Clients   int
	Load      Load
	BodyBytes int                                // largest body that the node accepts
	Head      func(client int, load Load) string // returns the request line and the headers, without those of the body and the empty line

	body    []byte // of BodyBytes
	chunked []byte // body in chunks, without its end
	wg      sync.WaitGroup
	settled sync.WaitGroup
	sent    sync.WaitGroup // counts the clients that have not sent the legal part of an oversized body
	cancel  context.CancelFunc
}

// Start starts the clients. They keep their connections open until Stop is called, ctx ends, or
// the node closes them.
func (c *Crowd) Start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.body = bytes.Repeat([]byte{'.'}, c.BodyBytes)
	switch c.Load {
	case LargeChunks, SentOver:
		c.chunked = chunks(c.body[:c.BodyBytes-missingBytes], largeChunk)
	case SmallChunks:
		c.chunked = chunks(c.body[:c.BodyBytes-missingBytes], 1)
	}
	c.settled.Add(c.Clients)
	c.sent.Add(c.Clients)
	for i := range c.Clients {
		c.wg.Go(func() { c.run(ctx, i) })
	}
}

// Settled waits until each client has sent what it sends, makes no more progress, or has lost its
// connection.
func (c *Crowd) Settled() { c.settled.Wait() }

// Stop closes all connections and waits for the clients to end.
func (c *Crowd) Stop() {
	c.cancel()
	c.wg.Wait()
}

// run is one client.
func (c *Crowd) run(ctx context.Context, i int) {
	sent, settled := sync.OnceFunc(c.sent.Done), sync.OnceFunc(c.settled.Done)
	defer settled()
	defer sent()
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c.send(conn, i, sent)
	sent()
	if c.Load == UnreadPlain || c.Load == UnreadStreams {
		awaitFirstByte(conn)
		settled()
		<-ctx.Done()
		return
	}
	settled()
	// The error says that the connection has ended.
	_, _ = io.Copy(io.Discard, conn)
}

// awaitFirstByte reads the first byte of the response, unless none comes for answerTime.
func awaitFirstByte(conn net.Conn) {
	if conn.SetReadDeadline(time.Now().Add(answerTime)) == nil {
		// An error says that there is no response.
		_, _ = conn.Read(make([]byte, 1))
	}
}

// send sends the request of a client. It returns when all is sent, or nothing more can be.
func (c *Crowd) send(conn net.Conn, i int, sent func()) {
	w := &stallWriter{conn}
	head := c.Head(i, c.Load)
	body := c.body
	length := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n) }
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	var err error
	switch c.Load {
	case WholeBodies:
		err = writeAll(w, []byte(length(len(body))), body)
	case PartBodies:
		err = writeAll(w, []byte(length(len(body))), body[:len(body)-missingBytes])
	case LargeChunks, SmallChunks:
		err = writeAll(w, []byte(chunked), c.chunked)
	case DeclaredOver:
		err = writeAll(w, []byte(length(overFactor*len(body))), body)
	case SentOver:
		if err = writeAll(w, []byte(chunked), c.chunked); err == nil {
			sent()
			c.sent.Wait()
			for i := 0; i < overFactor && err == nil; i++ {
				err = writeAll(w, c.chunked)
			}
		}
	case EndlessHeaders:
		line := []byte("X-Padding-" + fmt.Sprint(i) + ": " + string(bytes.Repeat([]byte{'.'}, 1000)) + "\r\n")
		err = writeAll(w, []byte(head), bytes.Repeat(line, headerBytes/len(line)))
	case UnreadPlain, UnreadStreams:
		err = writeAll(w, []byte(length(0)))
	}
	// A node may refuse or close the connection of such a client.
	_ = err
}

// chunks returns b as chunks of size bytes each, without the last, empty one.
func chunks(b []byte, size int) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(size, len(b))
		fmt.Fprintf(&out, "%x\r\n", n)
		out.Write(b[:n])
		out.WriteString("\r\n")
		b = b[n:]
	}
	return out.Bytes()
}

// writeAll writes the parts in pieces.
func writeAll(w io.Writer, parts ...[]byte) error {
	for _, b := range parts {
		for len(b) > 0 {
			n := min(pieceBytes, len(b))
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			b = b[n:]
		}
	}
	return nil
}

// stallWriter writes to a connection. A write that makes no progress for stallTime fails.
type stallWriter struct{ net.Conn }

// Write implements io.Writer.
func (w *stallWriter) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(stallTime)); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}
