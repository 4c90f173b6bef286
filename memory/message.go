package memory

// FreeMessage is the size in bytes up to which the body of a message between entries needs no reservation. Its connection's memory includes
// that for a connection to a target, which a message does not have.
const FreeMessage = 12 << 10

// BodyHolder is the writer of a response that reserves memory for a body of n bytes that its client may not read. It returns false if
// none is left.
type BodyHolder interface {
	HoldBody(n int64) bool
}

// HoldBody reserves memory for a body of n bytes if the writer of the response is a BodyHolder. It returns false if none is left.
func HoldBody(writer any, n int) bool {
	holder, ok := writer.(BodyHolder)
	return !ok || holder.HoldBody(int64(n))
}
