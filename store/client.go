package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientOptions has what a Client needs.
type ClientOptions struct {
	// Address is where a process serves NewHandler.
	Address netip.AddrPort
	// Timeout bounds each request, 2 s by default; a context that ends sooner goes first.
	Timeout time.Duration
	// Dial replaces the dialing of TCP connections, for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a Platform in another process. It is safe for concurrent use.
//
// It sends every request at most once, and an error tells the truth about the effect: Down if no byte of the request
// was handed to a connection, Lost from the first byte on unless a whole answer arrived.
type Client struct {
	http    *http.Client
	base    string
	timeout time.Duration
}

// NewClient returns a Client. It does not connect yet.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := o.Dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &sealableConn{
						Conn: conn,
					}, nil
				},
				MaxIdleConnsPerHost: 16,
				// Well below the idle time-outs of common servers, so that a kept connection is rarely found closed.
				IdleConnTimeout: 10 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		base:    "http://" + o.Address.String(),
		timeout: o.Timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the rows that exist among keys.
func (c *Client) Get(ctx context.Context, keys []string) (map[string]Row, error) {
	response, err := send[getResponse](ctx, c, pathGet, getRequest{
		Keys: keys,
	})
	return response.Rows, errors.Wrap(err, "reading rows")
}

// Scan returns the rows whose key starts with prefix, in the order of their keys.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	response, err := send[scanResponse](ctx, c, pathScan, scanRequest{
		Prefix: prefix,
	})
	return response.Rows, errors.Wrap(err, "scanning rows")
}

// Commit applies a transaction whole or not at all.
func (c *Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	response, err := send[commitResponse](ctx, c, pathCommit, tx)
	if err != nil {
		return nil, errors.Wrap(err, "committing a transaction")
	}
	if len(response.Conflict) > 0 {
		return &Conflict{
			Rows: response.Conflict,
		}, nil
	}
	return &Committed{
		Versions: response.Versions,
	}, nil
}

// Objects returns the object store.
func (c *Client) Objects() ObjectStore {
	return clientObjects{
		client: c,
	}
}

// VMs returns the list of VMs.
func (c *Client) VMs() VMLister {
	return clientVMs{
		client: c,
	}
}

type clientObjects struct{ client *Client }

func (o clientObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := send[none](ctx, o.client, pathObjectPut, objectMessage{
		Name: name,
		Data: data,
	})
	return errors.Wrap(err, "storing an object")
}

func (o clientObjects) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := send[objectMessage](ctx, o.client, pathObjectGet, objectMessage{
		Name: name,
	})
	return response.Data, errors.Wrap(err, "reading an object")
}

type clientVMs struct{ client *Client }

func (v clientVMs) List(ctx context.Context) ([]VM, error) {
	response, err := send[vmsResponse](ctx, v.client, pathVMs, none{})
	return response.VMs, errors.Wrap(err, "listing VMs")
}

func send[Response any](ctx context.Context, c *Client, path string, request any) (Response, error) {
	var response Response
	body, err := json.Marshal(request)
	if err != nil {
		return response, fault(Invalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, stale, err := c.post(ctx, path, body)
	if stale {
		c.http.CloseIdleConnections()
		resp, _, err = c.post(ctx, path, body)
	}
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	return response, decode(resp, &response)
}

// post sends one request. A failure is stale if a kept connection turned out to be closed before any byte was written.
func (c *Client) post(ctx context.Context, path string, body []byte) (resp *http.Response, stale bool, err error) {
	var conn *sealableConn
	var reused bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*sealableConn)
			conn.begin()
			reused = info.Reused
		},
	})
	// A body without GetBody keeps net/http.Transport from sending the request again on another connection.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, fault(Invalid, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	switch {
	case err == nil:
		return resp, false, nil
	case conn == nil:
		return nil, false, fault(Unavailable, err)
	case conn.seal():
		return nil, false, fault(Ambiguous, err)
	default:
		return nil, reused && ctx.Err() == nil, fault(Unavailable, err)
	}
}

func decode(resp *http.Response, response any) error {
	data, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		if err == nil {
			err = json.Unmarshal(data, response)
		}
		if err != nil {
			return fault(Ambiguous, errors.Wrap(err, "reading the answer"))
		}
		return nil
	}
	var failure errorResponse
	if err == nil && json.Unmarshal(data, &failure) == nil {
		for kind, wire := range wireKinds {
			if wire.name == failure.Kind && wire.status == resp.StatusCode {
				return fault(kind, errors.New(failure.Error))
			}
		}
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return fault(Throttled, errors.Newf("status %s", resp.Status))
	}
	return fault(Ambiguous, errors.Newf("status %s without a kind of failure", resp.Status))
}
