// Package endless is a stand-in for a server whose responses do not end.
//
// # Usage
//
//	s, err := endless.Serve(endless.Responses[0])
//	defer s.Close()
//	… // call s.Addr(), which must fail
//	n := <-s.Written // far below endless.Bytes if the caller closed the connection in time
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// Bytes is the number of bytes after which a server stops sending and keeps the
// connection open: far more than what connections buffer and callers may read.
const Bytes = 96 << 20

// Response is a response that begins with Begin and goes on with repetitions of More.
type Response struct{ Name, Begin, More string }

// Responses are the places of a response to a call at which it can go on without end.
var Responses = []Response{
	{"bytes that are no response", "", "\x07"},
	{"a status line", "HTTP/1.1 200 ", "x"},
	{"a header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	{"interim responses", "", "HTTP/1.1 102 Wait\r\n\r\n"},
	{"a body without a length", "HTTP/1.1 200 OK\r\nObject-Version: 1\r\n\r\n", " "},
	{"a body of chunks", "HTTP/1.1 200 OK\r\nObject-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n"},
	{"a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	{"the body of an accepted order", "HTTP/1.1 202 Accepted\r\n\r\n", "x"},
	{"the body of an error", "HTTP/1.1 500 Error\r\n\r\n", "x"},
	{"the body of a refusal", "HTTP/1.1 503 Busy\r\n\r\n", "x"},
}

// Server answers each request with the same endless response.
type Server struct {
	Written chan int // receives the number of bytes written on each connection

	ln   net.Listener
	resp Response
}

// Serve starts a server on the loopback interface.
func Serve(r Response) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.More = strings.Repeat(r.More, max(1, 16<<10/len(r.More)))
	s := &Server{Written: make(chan int, 64), ln: ln, resp: r}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops listening. Open connections end with their callers.
func (s *Server) Close() { _ = s.ln.Close() }

// serve reads a request and writes until the caller closes the connection.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	sum, err := io.WriteString(c, s.resp.Begin)
	for n := 0; err == nil && sum < Bytes; sum += n {
		n, err = io.WriteString(c, s.resp.More)
	}
	s.Written <- sum
	_, _ = br.ReadByte() // waits for the caller to close the connection
}
