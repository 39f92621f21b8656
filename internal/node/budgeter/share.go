package budgeter

import "errors"

// ErrNoRoom says that a request does not fit into the memory of its listener's share. It
// was not read completely and has had no effect.
var ErrNoRoom = errors.New("the entry VM is short of memory for requests")

// Memory that connections and requests are charged for.
const (
	processBytes = 16 << 10 // per connection, for goroutines, buffers and net/http
	kernelFactor = 2        // the kernel reserves twice the size of a buffer

	// defaultBuffer is the size of the kernel's buffers of a connection in each direction.
	// Bodies of usual size fit, and 262 KB take 16 round trips, 50 ms at 3 ms each.
	defaultBuffer = 16 << 10

	HeadFactor = 2   // memory per byte of a head: the line and the value
	LineBytes  = 128 // memory per line of a head: entries of the header map, which grow by doubling

	defaultBodyFactor = 3        // memory per byte of a body: the buffer, its predecessor while it grows, and the decoded data
	Piece             = 16 << 10 // bytes of a body or a response that are transferred at once
)

// Limits are the limits of a VM.
type Limits struct {
	MemoryMB    int // 0 if unknown
	Descriptors int // 0 if unknown
}

// Share is what the connections of one listener may take together.
type Share struct {
	Bytes       int64
	Connections int
	BodyFactor  int // memory per byte of a body until its request has been handled
	Buffer      int // bytes that the kernel may hold in each direction of a connection, and that were not read or not sent
}

// connectionBytes returns what each connection is charged for itself. The kernel's receive
// buffer counts, as its client can fill it at any time.
func (s Share) connectionBytes() int64 { return processBytes + kernelFactor*int64(s.Buffer) }

// WithBodyFactor returns a share whose bodies are charged more or less.
func (s Share) WithBodyFactor(n int) Share {
	s.BodyFactor = n
	return s
}

// WithBuffer returns a share whose connections have larger or smaller buffers.
func (s Share) WithBuffer(n int) Share {
	s.Buffer = n
	s.Connections = max(1, min(s.Connections, int(s.Bytes/s.connectionBytes())))
	return s
}

// Shares are the shares of the listeners. None can take from another.
type Shares struct {
	Callers   Share
	VMs       Share // other entry VMs
	Readiness Share
	Metrics   Share
}

const (
	defaultMemoryMB    = 1024 // larger than any VM that does not state its limit
	defaultDescriptors = 4096
	fileDescriptors    = 200 // reserved by the platform for files

	// The shares in percent. 60 % of the memory are left to the process itself: a leader
	// of 350 workers took 125 MB at most on a large VM, two thirds of it garbage, and
	// must fit into 86 of 144 MB. 40 % of the descriptors are left for connections to
	// workers, the store and other VMs, more than three for each of 350 workers.
	callerPercent     = 25
	vmPercent         = 10
	readinessPercent  = 2
	metricsPercent    = 3
	callerDescriptors = 40
	vmDescriptors     = 10
	otherDescriptors  = 5
)

// Divide divides the limits of a VM.
func Divide(l Limits) Shares {
	if l.MemoryMB <= 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Descriptors <= 0 {
		l.Descriptors = defaultDescriptors
	}
	share := func(memory, descriptors int) Share {
		bytes := int64(l.MemoryMB) << 20 * int64(memory) / 100
		n := max(0, l.Descriptors-fileDescriptors) * descriptors / 100
		return Share{Bytes: bytes, Connections: n, BodyFactor: defaultBodyFactor}.WithBuffer(defaultBuffer)
	}
	return Shares{
		Callers:   share(callerPercent, callerDescriptors),
		VMs:       share(vmPercent, vmDescriptors),
		Readiness: share(readinessPercent, otherDescriptors),
		Metrics:   share(metricsPercent, otherDescriptors),
	}
}
