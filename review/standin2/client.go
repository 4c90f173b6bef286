package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a connection of a client to an entry.
type client struct {
	d    *deployment
	name string
	nc   net.Conn
	br   *bufio.Reader
}

func (d *deployment) connect(name string, to *entry) (*client, error) {
	nc, err := net.DialTimeout("tcp", to.caller, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{
		d:    d,
		name: name,
		nc:   nc,
		br:   bufio.NewReader(nc),
	}, nil
}

// request is a request of a client.
type request struct {
	method, uri, id string
	// header has further lines of the head.
	header []string
	body   string
}

// send writes a request at once.
func (c *client) send(r request) error {
	lines := []string{
		r.method + " " + r.uri + " HTTP/1.1",
		"Host: " + host,
		"Request-Id: " + r.id,
		"Deadline-Milliseconds: 3000",
	}
	lines = append(lines, r.header...)
	if r.body != "" || r.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	c.d.record("%s sends %s %s as request %q %s, body of %d bytes", c.name, r.method, r.uri, r.id, strings.Join(r.header, ", "), len(r.body))
	_, err := io.WriteString(c.nc, strings.Join(lines, "\r\n")+"\r\n\r\n"+r.body)
	return err
}

// answer is a response that a client has read.
type answer struct {
	status          int
	id, signature   string
	body            string
	closeConnection bool
}

// read reads one response, or fails when there is none in time.
func (c *client) read(method string, timeout time.Duration) (answer, error) {
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{
			Method: method,
		})
		if err != nil {
			c.d.record("%s reads no answer: %v", c.name, err)
			return answer{}, err
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			c.d.record("%s reads an answer that breaks off: %v", c.name, err)
			return answer{}, err
		}
		a := answer{
			status:          resp.StatusCode,
			id:              resp.Header.Get("Request-Id"),
			signature:       resp.Header.Get("Server-Signature"),
			body:            string(data),
			closeConnection: resp.Close,
		}
		c.d.record("%s reads %d, request %q, signature %q, %q, close %t", c.name, a.status, a.id, a.signature,
			strings.TrimSpace(a.body), a.closeConnection)
		if a.status >= 200 {
			return a, nil
		}
	}
}

// exchange sends one request on a connection of its own and reads the answer.
func (d *deployment) exchange(name string, to *entry, r request) (answer, error) {
	c, err := d.connect(name, to)
	if err != nil {
		return answer{}, err
	}
	defer c.nc.Close()
	if err := c.send(r); err != nil {
		return answer{}, err
	}
	return c.read(r.method, 5*time.Second)
}
