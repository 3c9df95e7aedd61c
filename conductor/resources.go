package conductor

import (
	"syscall"

	"go.uber.org/zap"
)

// connectionMemoryPart is the part of MemoryMB that accepted connections without a request
// may take.
const connectionMemoryPart = 1.0 / 6

// The parts of the descriptors that the connections of each server may take. The rest is for
// connections to targets, peers and the store.
const (
	callerShare  = 1.0 / 2
	peerShare    = 1.0 / 8
	lookupShare  = 1.0 / 16
	readyShare   = 1.0 / 64
	metricsShare = 1.0 / 64
)

const (
	// connectionBytes is the memory of an accepted connection without a request: the stack
	// of its goroutine, the two buffers of the server and its records.
	connectionBytes = 16 << 10
	// fileDescriptors are reserved for what is no connection, or an eighth of the descriptors
	// if that is less.
	fileDescriptors    = 200
	fileDescriptorPart = 8
	// defaultDescriptors is assumed if the limit of the process cannot be read.
	defaultDescriptors = 1024
	// minConnections is the least number of connections of a server.
	minConnections = 8
)

// resources divides the descriptors of the process among its servers.
type resources struct {
	// sockets is the number of connections that the process may have open.
	sockets int
}

func newResources(s *Settings, log *zap.Logger) *resources {
	memory := float64(s.MemoryMB << 20)
	accepted := callerShare + peerShare + lookupShare + readyShare + metricsShare
	descriptors := s.descriptors(log)
	sockets := descriptors - min(fileDescriptors, descriptors/fileDescriptorPart)
	return &resources{sockets: min(sockets, int(connectionMemoryPart*memory/connectionBytes/accepted))}
}

// connections returns how many connections a server may have open.
func (r *resources) connections(share float64) int {
	return max(int(share*float64(r.sockets)), minConnections)
}

// descriptors returns how many descriptors the process may open: the limit that the system
// sets, or that of the settings if it is less.
func (s *Settings) descriptors(log *zap.Logger) int {
	limit := defaultDescriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		log.Warn("conductor: limit of descriptors cannot be read", zap.Int("Assumed", limit), zap.Error(err))
	} else if system.Cur < 1<<30 {
		limit = int(system.Cur)
	} else {
		limit = 1 << 30
	}
	if s.Descriptors > 0 {
		return min(limit, s.Descriptors)
	}
	return limit
}
