package conductor

import (
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/connector"
)

// The parts of MemoryMB that the owners of memory may take. What is left is for the program,
// the list of targets and garbage; docs/OPERATIONS.md shows the table.
const (
	connectionMemoryPart = 1.0 / 10
	headMemoryPart       = 1.0 / 8
	requestMemoryPart    = 1.0 / 12
	answerMemoryPart     = 1.0 / 8
	messageMemoryPart    = 1.0 / 12
	// goMemoryPart is the part at which the garbage collector works harder. The rest is for
	// the kernel's socket buffers and the C library.
	goMemoryPart = 0.75
)

// The parts of the descriptors that the connections of each server may take. The rest is for
// connections to targets, peers and the store.
const (
	callerShare  = 3.0 / 8
	peerShare    = 1.0 / 4
	lookupShare  = 1.0 / 16
	readyShare   = 1.0 / 64
	metricsShare = 1.0 / 64
)

// minConnections is the least number of connections of a server.
const minConnections = 8

// resources divides the memory and the descriptors of the process among all that takes them.
type resources struct {
	// sockets is the number of connections that the process may have open.
	sockets int
	// heads bounds the heads of requests, messages the calls of peers, and requests and
	// answers the large bodies of either.
	heads, messages   *acceptor.Budget
	requests, answers *connector.Memory
}

func newResources(s *Settings, log *zap.Logger) *resources {
	memory := float64(s.MemoryMB << 20)
	accepted := callerShare + peerShare + lookupShare + readyShare + metricsShare
	return &resources{
		sockets:  min(acceptor.Sockets(s.Descriptors, log), int(connectionMemoryPart*memory/acceptor.ConnectionBytes/accepted)),
		heads:    acceptor.NewBudget(int64(headMemoryPart * memory)),
		messages: acceptor.NewBudget(int64(messageMemoryPart * memory)),
		requests: connector.NewMemory(int64(requestMemoryPart * memory)),
		answers:  connector.NewMemory(int64(answerMemoryPart * memory)),
	}
}

// connections returns how many connections a server may have open.
func (r *resources) connections(share float64) int {
	return max(int(share*float64(r.sockets)), minConnections)
}

// GoMemoryLimit returns the memory limit of the Go runtime in bytes.
func (s *Settings) GoMemoryLimit() int64 { return int64(goMemoryPart * float64(s.MemoryMB<<20)) }
