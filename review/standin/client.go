package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client.
type client struct {
	bench *bench
	conn  net.Conn
	br    *bufio.Reader
}

// reply is what a client got for a request.
type reply struct {
	status int
	signed bool
	// whole says that the whole answer has arrived.
	whole bool
	err   error
}

func (r reply) String() string {
	if r.err != nil {
		return "no whole answer: " + r.err.Error()
	}
	return fmt.Sprint(r.status)
}

// connect opens a connection to an entry.
func (b *bench) connect(e *entryProcess) *client {
	c, err := b.tryConnect(e)
	if err != nil {
		giveUp("cannot connect to %s: %v", e.name, err)
	}
	return c
}

func (b *bench) tryConnect(e *entryProcess) (*client, error) {
	nc, err := net.DialTimeout("tcp", e.frontend, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{
		bench: b,
		conn:  nc,
		br:    bufio.NewReader(nc),
	}, nil
}

// send sends a request.
func (c *client) send(method, path, id string, deadline time.Duration, body string) error {
	c.bench.note("client sends request %s: %s %s, time budget %d ms", id, method, path, deadline.Milliseconds())
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n%s\r\n%s",
		method, path, host, id, deadline.Milliseconds(), length, body)
	return err
}

// receive reads the answer to a request.
func (c *client) receive(id string, limit time.Duration) reply {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	var r reply
	resp, err := http.ReadResponse(c.br, nil)
	if err == nil {
		r.status, r.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.whole, r.err = err == nil, err
	c.bench.note("client gets for request %s: %s", id, r)
	return r
}

func (c *client) close() { c.conn.Close() }
