package acceptor

import (
	"syscall"

	"go.uber.org/zap"
)

const (
	// fileDescriptors are reserved for what is no connection, or an eighth of the descriptors
	// if that is less.
	fileDescriptors    = 200
	fileDescriptorPart = 8
	// defaultDescriptors is assumed if the limit of the process cannot be read.
	defaultDescriptors = 1024
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 30
)

// Sockets returns how many connections the process may have open, by the limit of the system
// for descriptors and by a configured one; 0 means that none is configured.
func Sockets(configured int, log *zap.Logger) int {
	descriptors := defaultDescriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		log.Warn("acceptor: limit of descriptors cannot be read", zap.Int("Assumed", descriptors), zap.Error(err))
	} else {
		descriptors = int(min(system.Cur, maxDescriptors))
	}
	if configured > 0 {
		descriptors = min(descriptors, configured)
	}
	return descriptors - min(fileDescriptors, descriptors/fileDescriptorPart)
}
