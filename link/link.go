// Package link keeps large bodies from filling the queue of a machine's network link.
//
// A link of 10 Mbit/s needs 72 ms for a body of 90 kB. Whatever is sent or received meanwhile waits behind it: answers of a few
// hundred bytes, load reads, and greetings of other entries. A Link spreads the parts of large bodies over time and leaves a
// part of the bandwidth free, so that a small message waits for one part of a body at most. ReceiveBuffer
// and Receiver bound what a peer can send before it is read.
//
// # Usage
//
//	l := link.New(10e6 / 8)
//	_, err := io.Copy(l.Writer(ctx, conn), l.Body(ctx, resp.Body))
//
// A nil Link does not delay anything.
package link

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bulkShare is the part of the bandwidth that large bodies may use in each direction. The rest is for small messages, and
	// for what targets send before the first read.
	bulkShare = 0.7
	// partTime is the time for which a part of a body occupies the link, and a small message waits. A load read takes as long.
	partTime = 2 * time.Millisecond
	// largestPart is the size in bytes of a part from which on a link is too fast to need pacing: at 256 Mbit/s, a usual
	// download of 90 kB takes 3 ms.
	largestPart = 64 << 10
	// smallBody is the size in bytes up to which a body is not delayed; it is that of the buffers of connections.
	smallBody = 4 << 10
)

// Pacer shares the bandwidth of a network link between large bodies. It is safe for concurrent use.
type Pacer struct {
	in  *rate.Limiter
	out *rate.Limiter
}

// New returns a Link for a bandwidth in bytes a second in each direction. It is nil if the bandwidth is zero, which means that
// it is not known, or too large for a body to delay other messages.
func New(bandwidth float64) *Pacer {
	part := int(bandwidth * partTime.Seconds())
	if part <= 0 || part >= largestPart {
		return nil
	}
	return &Pacer{
		in:  rate.NewLimiter(rate.Limit(bulkShare*bandwidth), part),
		out: rate.NewLimiter(rate.Limit(bulkShare*bandwidth), part),
	}
}

// Reader returns a body that is received over the link. Reading it fails once the context has ended.
func (l *Pacer) Reader(ctx context.Context, b io.ReadCloser) io.ReadCloser {
	if l == nil {
		return b
	}
	return &body{
		ReadCloser: b,
		pace: pace{
			limiter: l.in,
			ctx:     ctx,
		},
	}
}

// Writer returns a writer of a body that is sent over the link. It fails once the context has ended.
func (l *Pacer) Writer(ctx context.Context, w io.Writer) io.Writer {
	if l == nil {
		return w
	}
	return &writer{
		pace: pace{
			limiter: l.out,
			ctx:     ctx,
		},
		to: w,
	}
}

// pace delays the parts of a body that follow its first smallBody bytes.
type pace struct {
	limiter *rate.Limiter
	ctx     context.Context
	passed  int
}

// part returns the size in bytes of a part, which is what may pass at once.
func (p *pace) part() int { return p.limiter.Burst() }

// wait waits until n bytes, no more than a part, may pass. It ignores the deadline of the context until it is reached.
func (p *pace) wait(n int) error {
	p.passed += n
	if p.passed <= smallBody {
		return nil
	}
	delay := p.limiter.ReserveN(time.Now(), n).Delay()
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

type body struct {
	io.ReadCloser
	pace
	// unpaid is the length of the last read, which delays the next one.
	unpaid int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.unpaid > 0 {
		if err := b.wait(b.unpaid); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.part())])
	b.unpaid = n
	return n, err
}

type writer struct {
	pace
	to io.Writer
}

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		next := p[:min(len(p), w.part())]
		if err := w.wait(len(next)); err != nil {
			return written, err
		}
		n, err := w.to.Write(next)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
