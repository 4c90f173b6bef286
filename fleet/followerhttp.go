package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/feed"
)

// Paths below PeerPath that a Follower serves.
const (
	greetPath   = "/greet"
	membersPath = "/members"
	rowsPath    = "/rows"
)

// Service returns the web service for peers.
func (f *Follower) Service() *restful.WebService {
	service := new(restful.WebService)
	service.Path(PeerPath).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.POST(greetPath).To(f.serveGreeting))
	service.Route(service.GET(membersPath).To(f.serveMembers))
	service.Route(service.GET(rowsPath).To(f.serveRows))
	service.Route(service.POST(rolloutPath).To(f.serveRollout))
	service.Route(service.GET(confirmPath).To(f.serveConfirm))
	return service
}

func (f *Follower) serveGreeting(req *restful.Request, resp *restful.Response) {
	var g Greeting
	if err := f.large.decode(req.Request, &g); err != nil || g.Entry == "" || g.Record.Incarnation == "" {
		http.Error(resp, "malformed greeting", http.StatusBadRequest)
		return
	}
	if f.ctx.Err() != nil {
		http.Error(resp, "the entry has stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(resp, f.replyTo(&g))
}

func (f *Follower) serveMembers(req *restful.Request, resp *restful.Response) {
	f.large.write(req, resp, func() (encoded, bool) { return encodeCompressed(f.memberList()), false })
}

func (f *Follower) serveRows(req *restful.Request, resp *restful.Response) {
	table := f.tables[req.QueryParameter("table")]
	after, err := strconv.ParseUint(req.QueryParameter("after"), 10, 64)
	if table == nil || err != nil {
		http.Error(resp, "need the name of a table and a version", http.StatusBadRequest)
		return
	}
	if f.ctx.Err() != nil {
		http.Error(resp, "the entry has stopped", http.StatusServiceUnavailable)
		return
	}
	if !table.Loaded() {
		http.Error(resp, "the table is not known yet", http.StatusServiceUnavailable)
		return
	}
	wait, err := time.ParseDuration(req.QueryParameter("wait"))
	if err != nil {
		wait = 0
	}
	f.awaitRows(req.Request.Context(), table, after, wait)
	f.large.writeTable(req, resp, table, after)
}

// Greet sends a greeting to a peer and returns its greeting.
func (c *Client) Greet(ctx context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error) {
	var reply Greeting
	err := c.do(ctx, http.MethodPost, to, PeerPath+greetPath, encode(g), MaxMessageBytes, &reply)
	return &reply, err
}

// Members returns the members that a peer knows.
func (c *Client) Members(ctx context.Context, to netip.AddrPort) (*Roll, error) {
	var roll Roll
	err := c.do(ctx, http.MethodGet, to, PeerPath+membersPath, nil, MaxMessageBytes, &roll)
	return &roll, err
}

// Rows returns the changes of a peer's table after a version, as soon as there is a change or after the wait.
func (c *Client) Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error) {
	var batch feed.Batch
	query := url.Values{
		"table": {table},
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	}
	err := c.do(ctx, http.MethodGet, to, PeerPath+rowsPath+"?"+query.Encode(), nil, maxSnapshotBytes, &batch)
	return &batch, err
}

func decodeRecord(data []byte, record *Record) error { return json.Unmarshal(data, record) }
