package fleet

import (
	"context"
	"net/http"
	"net/netip"
)

// Post sends a message to a path at the control address of an entry and decodes the reply.
func (c *Client) Post(ctx context.Context, to netip.AddrPort, path string, message, reply any) error {
	return c.do(ctx, http.MethodPost, to, path, encode(message), MaxMessageBytes, reply)
}
