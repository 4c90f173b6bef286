package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
)

// PeerPath is the path at the control address that serves peers.
const PeerPath = "/skylarkbeam/peer"

const (
	// MaxMessageBytes is the size of the largest message from another entry.
	MaxMessageBytes  = 1 << 20
	maxSnapshotBytes = 64 << 20
	// maxIdleConns bounds the idle connections to all other entries together, which take descriptors.
	maxIdleConns = 256
)

// counters count the messages between entries and the accesses to the table.
type counters struct {
	messages *metrics.Counter
	reads    *metrics.Counter
	writes   *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		messages: set.GetOrCreateCounter(`skylarkbeam_fleet_messages_total`),
		reads:    set.GetOrCreateCounter(`skylarkbeam_fleet_table_total{kind="read"}`),
		writes:   set.GetOrCreateCounter(`skylarkbeam_fleet_table_total{kind="write"}`),
	}
}

// Service returns the web service for peers: POST accepts a Message, GET returns a Snapshot.
func (f *Fleet) Service() *restful.WebService {
	service := new(restful.WebService)
	service.Path(PeerPath).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.POST("").To(f.serveMessage))
	service.Route(service.GET("").To(f.serveSnapshot))
	return service
}

func (f *Fleet) serveMessage(req *restful.Request, resp *restful.Response) {
	var m Message
	if err := f.large.decode(req.Request, &m); err != nil || m.Entry == "" || m.Incarnation == "" {
		http.Error(resp, "malformed message", http.StatusBadRequest)
		return
	}
	reply, err := f.Receive(req.Request.Context(), &m)
	if err != nil {
		http.Error(resp, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(resp, reply)
}

func (f *Fleet) serveSnapshot(req *restful.Request, resp *restful.Response) {
	f.large.write(req, resp, func() (encoded, bool) {
		return encoded{
			data: encode(f.Snapshot(req.QueryParameter("object"), req.QueryParameter("warm") == "true")),
		}, false
	})
}

// writeJSON writes JSON without the headers that peers do not need, which would be a third of a message.
func writeJSON(resp http.ResponseWriter, value any) { writeEncoded(resp, encode(value)) }

func writeEncoded(resp http.ResponseWriter, data []byte) {
	header := resp.Header()
	header["Date"] = nil
	header["Content-Type"] = []string{restful.MIME_JSON}
	header["Content-Length"] = []string{strconv.Itoa(len(data))}
	resp.Write(data)
}

func decodeBody(body io.Reader, limit int64, into any) error {
	data, err := readBody(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("the body is longer than %d bytes", limit)
	}
	return data, nil
}

// Client implements Transport and FollowerTransport over HTTP.
type Client struct {
	http     *http.Client
	sent     *metrics.Counter
	received *metrics.Counter
}

// NewClient returns a client that counts the bytes on its connections in the set, which may be nil.
func NewClient(set *metrics.Set) *Client {
	if set == nil {
		set = metrics.NewSet()
	}
	c := &Client{
		sent:     set.GetOrCreateCounter(`skylarkbeam_fleet_bytes_total{direction="sent"}`),
		received: set.GetOrCreateCounter(`skylarkbeam_fleet_bytes_total{direction="received"}`),
	}
	dialer := &net.Dialer{
		Timeout: peerTimeout,
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: 3,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return c.countBytes(conn), nil
			},
		},
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WrapListener wraps the listener of the control address so that the bytes on its connections are counted too.
func (c *Client) WrapListener(listener net.Listener) net.Listener {
	return &countedListener{
		Listener: listener,
		client:   c,
	}
}

func (c *Client) countBytes(conn net.Conn) net.Conn {
	return &countedConn{
		Conn:   conn,
		client: c,
	}
}

type countedListener struct {
	net.Listener
	client *Client
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.client.countBytes(conn), nil
}

type countedConn struct {
	net.Conn
	client *Client
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.received.Add(n)
	return n, err
}

// CloseWrite closes the direction from this process.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no directions")
	}
	return half.CloseWrite()
}

// SetLinger sets what happens to unsent bytes when the connection is closed, like net.TCPConn.SetLinger.
func (c *countedConn) SetLinger(seconds int) error {
	lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.New("the connection cannot be reset")
	}
	return lingerer.SetLinger(seconds)
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return sc.SyscallConn()
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sent.Add(n)
	return n, err
}

// Send implements Transport.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, message *Message) (*Message, error) {
	var reply Message
	err := c.do(ctx, http.MethodPost, to, PeerPath, encode(message), MaxMessageBytes, &reply)
	return &reply, err
}

// FetchSnapshot implements Transport.
func (c *Client) FetchSnapshot(ctx context.Context, to netip.AddrPort, object string, warm bool) (*Snapshot, error) {
	var snapshot Snapshot
	query := url.Values{
		"object": {object},
		"warm":   {strconv.FormatBool(warm)},
	}
	err := c.do(ctx, http.MethodGet, to, PeerPath+"?"+query.Encode(), nil, maxSnapshotBytes, &snapshot)
	return &snapshot, err
}

func (c *Client) do(ctx context.Context, method string, to netip.AddrPort, path string, body []byte, limit int64, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "call a peer")
	}
	// An empty User-Agent omits the header.
	req.Header["User-Agent"] = []string{""}
	req.Header["Content-Type"] = []string{restful.MIME_JSON}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call a peer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("call a peer: %s answered with status %d", to, resp.StatusCode)
	}
	responseBody := io.Reader(resp.Body)
	if resp.Header.Get("Content-Encoding") == "gzip" {
		if responseBody, err = gzip.NewReader(resp.Body); err != nil {
			return errors.Wrap(err, "call a peer")
		}
	}
	return errors.Wrap(decodeBody(responseBody, limit, into), "call a peer")
}
