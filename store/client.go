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

// ClientOptions configures a Client.
type ClientOptions struct {
	// Address is the address of the process that serves NewHandler.
	Address netip.AddrPort
	// Timeout limits each request, in addition to the deadline of its context. The default is 2 s.
	Timeout time.Duration
	// Dial replaces net.Dialer.DialContext in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a Platform in another process. It is safe for concurrent use.
//
// It sends each request at most once. An error is Unavailable only if no byte of the request was written to a
// connection. Once a byte has been written, it is Ambiguous unless a complete response arrived.
type Client struct {
	httpClient *http.Client
	baseURL    string
	timeout    time.Duration
}

// NewClient returns a Client. It connects on the first request.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := o.Dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &trackedConn{
						Conn: conn,
					}, nil
				},
				MaxIdleConnsPerHost: 16,
				// Well below the idle timeouts of common servers, so that an idle connection is rarely closed by the server
				// just before it is reused.
				IdleConnTimeout: 10 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		baseURL: "http://" + o.Address.String(),
		timeout: o.Timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get returns the rows that exist among keys.
func (c *Client) Get(ctx context.Context, keys []string) (map[string]Row, error) {
	response, err := call[getResponse](ctx, c, pathGet, getRequest{
		Keys: keys,
	})
	return response.Rows, errors.Wrap(err, "read rows")
}

// Scan returns the rows whose key starts with prefix, sorted by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	response, err := call[scanResponse](ctx, c, pathScan, scanRequest{
		Prefix: prefix,
	})
	return response.Rows, errors.Wrap(err, "scan rows")
}

// Commit applies a transaction atomically.
func (c *Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	response, err := call[commitResponse](ctx, c, pathCommit, tx)
	if err != nil {
		return nil, errors.Wrap(err, "commit transaction")
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
	return clientObjectStore{
		client: c,
	}
}

// VMs returns the list of VMs.
func (c *Client) VMs() VMLister {
	return clientVMLister{
		client: c,
	}
}

type clientObjectStore struct{ client *Client }

func (o clientObjectStore) Put(ctx context.Context, name string, data []byte) error {
	_, err := call[empty](ctx, o.client, pathObjectPut, objectMessage{
		Name: name,
		Data: data,
	})
	return errors.Wrap(err, "put object")
}

func (o clientObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := call[objectMessage](ctx, o.client, pathObjectGet, objectMessage{
		Name: name,
	})
	return response.Data, errors.Wrap(err, "get object")
}

type clientVMLister struct{ client *Client }

func (v clientVMLister) List(ctx context.Context) ([]VM, error) {
	response, err := call[vmsResponse](ctx, v.client, pathVMs, empty{})
	return response.VMs, errors.Wrap(err, "list VMs")
}

// call sends a request and decodes its response. It sends the request again if a reused connection failed before any
// byte of the request was written.
func call[Response any](ctx context.Context, c *Client, path string, request any) (Response, error) {
	var response Response
	body, err := json.Marshal(request)
	if err != nil {
		return response, newError(Invalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, stale, err := c.post(ctx, path, body)
	if stale {
		c.httpClient.CloseIdleConnections()
		resp, _, err = c.post(ctx, path, body)
	}
	if err != nil {
		// Connections tend to go silent together. One that has been idle since would delay another call until its
		// timeout, even after the service is back.
		c.httpClient.CloseIdleConnections()
		return response, err
	}
	defer resp.Body.Close()
	return response, decodeResponse(resp, &response)
}

// post sends one request. It reports stale if a reused connection failed before any byte of the request was written.
func (c *Client) post(ctx context.Context, path string, body []byte) (resp *http.Response, stale bool, err error) {
	var conn *trackedConn
	var reused bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*trackedConn)
			conn.startRequest()
			reused = info.Reused
		},
	})
	// http.NewRequest sets no GetBody for this body, so http.Transport cannot send the request again on another
	// connection.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, newError(Invalid, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.httpClient.Do(req)
	switch {
	case err == nil:
		return resp, false, nil
	case conn == nil:
		return nil, false, newError(Unavailable, err)
	case conn.abort():
		return nil, false, newError(Ambiguous, err)
	default:
		return nil, reused && ctx.Err() == nil, newError(Unavailable, err)
	}
}

func decodeResponse(resp *http.Response, response any) error {
	data, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		if err == nil {
			err = json.Unmarshal(data, response)
		}
		if err != nil {
			return newError(Ambiguous, errors.Wrap(err, "read response"))
		}
		return nil
	}
	var failure errorResponse
	if err == nil && json.Unmarshal(data, &failure) == nil {
		for kind, wire := range wireErrors {
			if wire.name == failure.Kind && wire.status == resp.StatusCode {
				return newError(kind, errors.New(failure.Error))
			}
		}
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return newError(Throttled, errors.Newf("status %s", resp.Status))
	}
	return newError(Ambiguous, errors.Newf("status %s without an error kind", resp.Status))
}
