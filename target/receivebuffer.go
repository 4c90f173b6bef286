package target

import (
	"context"
	"net"
	"net/netip"

	"skylarkbeam/link"
	"skylarkbeam/memory"
)

// dialTCP opens a connection with a bounded receive buffer.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control: link.ReceiveBuffer(memory.ReceiveBuffer),
	}
	return d.DialContext(ctx, "tcp", address.String())
}

// EnlargeReceiveBuffer lets a body of n bytes arrive faster, for which memory.ReceiveBufferBytes have been reserved.
func (b *responseBody) EnlargeReceiveBuffer(n int64) {
	b.conn.receiver.Enlarge(memory.ReceiveBufferFor(n))
}
