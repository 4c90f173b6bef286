package memory

const (
	// ReceiveBuffer is the receive buffer in bytes of a connection for which nothing is reserved. The kernel counts unread bytes as
	// memory of the process.
	ReceiveBuffer = 8 << 10
	// ReceiveBufferFill is how many bytes a sender can leave unread in a buffer of that size: the kernel takes whole segments.
	ReceiveBufferFill = 13 << 10
	// usualReceiveBuffer and largestReceiveBuffer are the sizes in bytes to which a receive buffer is enlarged for a body: the first
	// one, or for very large bodies a part of them, as 1/n. At 8 ms to callers they carry 30 and 130 Mbit/s.
	usualReceiveBuffer   = 64 << 10
	largestReceiveBuffer = 256 << 10
	receiveBufferDivisor = 4
)

// ReceiveBufferFor returns the size in bytes of the receive buffer for a body of n bytes.
func ReceiveBufferFor(n int64) int {
	return int(max(min(n, max(usualReceiveBuffer, n/receiveBufferDivisor), largestReceiveBuffer), ReceiveBuffer))
}

// ReceiveBufferBytes returns what is to be reserved for the receive buffer for a body of n bytes, 0 if it is that of every
// connection. The kernel fills a large one up to twice its size.
func ReceiveBufferBytes(n int64) int64 {
	size := ReceiveBufferFor(n)
	if size <= ReceiveBuffer {
		return 0
	}
	return 2 * int64(size)
}
