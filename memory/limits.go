package memory

import "github.com/cockroachdb/errors"

// Part is a part of the memory, with a limit of its own.
type Part string

// The parts.
const (
	// Large is for bodies of requests above SmallBody, Small for those above FreeBytes.
	Large Part = "large"
	Small Part = "small"
	// Responses is for the first parts of responses, and for responses that wait for their turn or to be read.
	Responses Part = "responses"
	// Heads is for heads of requests above FreeBytes or with many fields.
	Heads Part = "heads"
	// Requests is for requests that are handled beside others of their connection, at RequestBytes each.
	Requests Part = "requests"
)

// Parts lists the parts in a fixed order.
var Parts = []Part{Large, Small, Responses, Heads, Requests}

// BodyPart returns the part for a body of n bytes.
func BodyPart(n int64) Part {
	if n <= SmallBody {
		return Small
	}
	return Large
}

const (
	// FreeBytes is the size up to which nothing is reserved: it is that of a connection's buffers, and the bytes for one
	// connection include it.
	FreeBytes = 4 << 10
	// SmallBody is the largest body in bytes that does not wait behind large ones. Usual bodies are far smaller; a large one
	// holds as much as hundreds of them.
	SmallBody = 256 << 10
	// RequestBytes is what a request in progress costs beside its connection: stacks of two goroutines, its fields, and FreeBytes
	// each of body and response. 500 of them took 21 KiB each while they waited.
	RequestBytes = 32 << 10
	// connectionBytes is what a connection with a request in progress costs: two buffers of 4 KiB, a stack, and RequestBytes;
	// and two buffers and a stack for the connection to the target.
	connectionBytes = 24<<10 + RequestBytes
)

// The parts of the machine's memory. On the smallest machine, of 184 MB, the large part holds one body of 64 MB.
const (
	largeShare       = 0.36
	smallShare       = 1. / 20
	responsesShare   = 1. / 32
	headsShare       = 1. / 64
	requestsShare    = 1. / 32
	connectionsShare = 0.21
	// collectorShare is the limit of the garbage collector. The parts take 0.7 of the memory, so live memory stays below it.
	// The rest is program text and receive buffers.
	collectorShare = 0.75
)

const (
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// connectionsDivisor is the part of the descriptors for sockets, as 1/n, that connections to the process may use, and
	// ownDivisor the one for connections to the platform and to other entries. Connections to targets have the rest.
	connectionsDivisor = 2
	ownDivisor         = 8
)

// Limits are the bytes that may be held in each part, and numbers of connections.
type Limits struct {
	Large     int64
	Small     int64
	Responses int64
	Heads     int64
	Requests  int64
	// Connections is the number of connections at all listeners of the process.
	Connections int
	// Targets is the number of connections to targets; 0 if only the limits of the targets hold.
	Targets int
}

// DeriveLimits returns the limits for a machine with the given memory in bytes and number of descriptors, 0 if the latter is not
// known.
func DeriveLimits(machine int64, descriptors int) Limits {
	m := float64(machine)
	l := Limits{
		Large:       int64(largeShare * m),
		Small:       int64(smallShare * m),
		Responses:   int64(responsesShare * m),
		Heads:       int64(headsShare * m),
		Requests:    int64(requestsShare * m),
		Connections: int(connectionsShare * m / connectionBytes),
	}
	if descriptors > 0 {
		l.SetConnections(min(l.Connections, max(sockets(descriptors)/connectionsDivisor, 1)), descriptors)
	}
	return l
}

// SetConnections sets the number of connections and leaves to targets what the number of descriptors, 0 if it is not known, has
// beside them.
func (l *Limits) SetConnections(n, descriptors int) {
	l.Connections = n
	if descriptors > 0 {
		l.Targets = max(l.targetSockets(descriptors), 1)
	}
}

// sockets returns the number of descriptors that are left for sockets.
func sockets(descriptors int) int { return max(descriptors-fileDescriptors, 0) }

// targetSockets returns the number of descriptors that are left for connections to targets.
func (l *Limits) targetSockets(descriptors int) int {
	return sockets(descriptors) - l.Connections - sockets(descriptors)/ownDivisor
}

// CollectorLimit returns the limit of the garbage collector for a machine with the given memory, in bytes.
func CollectorLimit(machine int64) int64 { return int64(collectorShare * float64(machine)) }

// Validate reports limits that are not positive or that a machine with the given memory and number of descriptors, 0 if it is not
// known, cannot hold.
func (l *Limits) Validate(machine int64, descriptors int) error {
	sum := int64(l.Connections) * connectionBytes
	for _, p := range Parts {
		if l.of(p) <= 0 || l.Connections <= 0 || l.Targets < 0 {
			return errors.New("each must be above 0")
		}
		sum += l.of(p)
	}
	if sum > CollectorLimit(machine) {
		return errors.Newf("together they may hold %d MB, more than %d MB, three quarters of the memory", sum>>20,
			CollectorLimit(machine)>>20)
	}
	if descriptors > 0 && l.Targets > max(l.targetSockets(descriptors), 1) {
		return errors.Newf("%d connections and %d to targets exceed %d descriptors, of which %d are for files and 1/%d of the others for the platform and entries",
			l.Connections, l.Targets, descriptors, fileDescriptors, ownDivisor)
	}
	return nil
}

func (l *Limits) of(p Part) int64 {
	switch p {
	case Large:
		return l.Large
	case Small:
		return l.Small
	case Responses:
		return l.Responses
	case Heads:
		return l.Heads
	default:
		return l.Requests
	}
}
