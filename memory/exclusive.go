package memory

import "context"

// Exclusive lets one goroutine at a time do work that takes many times the bytes that are reserved for it, such as decoding a large
// message. Create one with NewExclusive.
type Exclusive struct{ turn chan struct{} }

// NewExclusive returns an Exclusive that nobody uses.
func NewExclusive() Exclusive {
	return Exclusive{
		turn: make(chan struct{}, 1),
	}
}

// Do waits for its turn and does the work. It returns the error of ctx if that ends first.
func (e Exclusive) Do(ctx context.Context, work func()) error {
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.turn }()
	work()
	return nil
}
