package receiver

import (
	"context"
	"net"
	"sync"
	"time"
)

// connectionKey is the context key of the state of a caller's connection.
type connectionKey struct{}

// connectionState is the state of a caller's connection.
type connectionState struct {
	conn net.Conn
	once sync.Once
	trip time.Duration
}

// ConnContext attaches the state of a connection to its context. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connectionState{conn: c})
}

// callerTrip returns the round trip to the caller of a request as its connection was
// opened; 0 if it is unknown, as without ConnContext.
func callerTrip(ctx context.Context) time.Duration {
	s, ok := ctx.Value(connectionKey{}).(*connectionState)
	if !ok {
		return 0
	}
	s.once.Do(func() { s.trip = roundTrip(s.conn) })
	return s.trip
}
