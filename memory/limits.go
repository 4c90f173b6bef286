package memory

import "github.com/cockroachdb/errors"

// Part is a part of the memory, with a limit of its own.
type Part string

// The parts.
const (
	// Large is for bodies of requests above SmallBody, Small for those above FreeBytes.
	Large Part = "large"
	Small Part = "small"
	// Responses is for the first parts of responses, and for responses that wait for their turn.
	Responses Part = "responses"
	// Heads is for heads of requests above FreeBytes.
	Heads Part = "heads"
)

// Parts lists the parts in a fixed order.
var Parts = []Part{Large, Small, Responses, Heads}

const (
	// FreeBytes is the size up to which nothing is reserved: it is that of a connection's buffers, and the bytes for one
	// connection include it.
	FreeBytes = 4 << 10
	// SmallBody is the largest body in bytes that does not wait behind large ones. Usual bodies are far smaller; a large one
	// holds as much as hundreds of them.
	SmallBody = 256 << 10
	// connectionBytes is what a connection costs: two buffers of 4 KiB, two or three stacks of 2 to 8 KiB, a head, and
	// the socket.
	connectionBytes = 32 << 10
)

// The parts of the machine's memory. On the smallest machine, of 184 MB, the large part holds one body of 64 MB.
const (
	largeShare       = 0.45
	smallShare       = 1. / 16
	responsesShare   = 1. / 16
	headsShare       = 1. / 32
	connectionsShare = 1. / 8
	// collectorShare is the limit of the garbage collector. The parts, without the share of connections that the kernel
	// has, take 0.6 of the memory, so live memory stays below it. The rest is program text and kernel buffers.
	collectorShare = 0.75
)

// Limits are the bytes that may be held in each part, and the number of callers' connections.
type Limits struct {
	Large       int64
	Small       int64
	Responses   int64
	Heads       int64
	Connections int
}

// DeriveLimits returns the limits for a machine with the given memory in bytes.
func DeriveLimits(machine int64) Limits {
	m := float64(machine)
	return Limits{
		Large:       int64(largeShare * m),
		Small:       int64(smallShare * m),
		Responses:   int64(responsesShare * m),
		Heads:       int64(headsShare * m),
		Connections: int(connectionsShare * m / connectionBytes),
	}
}

// CollectorLimit returns the limit of the garbage collector for a machine with the given memory, in bytes.
func CollectorLimit(machine int64) int64 { return int64(collectorShare * float64(machine)) }

// Validate reports limits that are not positive or that a machine with the given memory cannot hold.
func (l Limits) Validate(machine int64) error {
	if l.Large <= 0 || l.Small <= 0 || l.Responses <= 0 || l.Heads <= 0 || l.Connections <= 0 {
		return errors.New("each must be above 0")
	}
	sum := l.Large + l.Small + l.Responses + l.Heads + int64(l.Connections)*connectionBytes
	if sum > CollectorLimit(machine) {
		return errors.Newf("together they may hold %d MB, more than %d MB, three quarters of the memory", sum>>20,
			CollectorLimit(machine)>>20)
	}
	return nil
}

func (l Limits) of(p Part) int64 {
	switch p {
	case Large:
		return l.Large
	case Small:
		return l.Small
	case Responses:
		return l.Responses
	default:
		return l.Heads
	}
}
