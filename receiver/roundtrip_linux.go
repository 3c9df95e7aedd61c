package receiver

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the round trip that the kernel has measured on a TCP connection;
// 0 if it is unknown.
func roundTrip(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var trip time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			trip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return trip
}
