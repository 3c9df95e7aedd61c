package assembler

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/loader"
	"jujubegate.example/jujubegate/recorder"
	"jujubegate.example/jujubegate/server"
)

// The parts of Limits.ClientMemoryBytes.
const (
	headMemoryPart    = 1.0 / 8
	requestMemoryPart = 3.0 / 8
	messageMemoryPart = 1.0 / 2
)

// portShare is the part of the descriptors that the accepted connections of each port may
// take. The rest is for connections to targets, other instances and the store.
const portShare = 3.0 / 8

// peerWriteTime bounds the time in which another instance takes a part of an answer.
const peerWriteTime = 15 * time.Second

// clients bounds what callers and other instances may take of the process.
type clients struct {
	callers, peers     *acceptor.Acceptor
	requests, messages *acceptor.Messages
}

func newClients(limits loader.Limits, clock jujubegate.Clock, log *zap.Logger, rec *recorder.Recorder) *clients {
	report := acceptor.NewReporter(clock, log, acceptor.CountBy(rec))
	connections := min(limits.MaxConnections, int(portShare*float64(acceptor.Sockets(0, log))))
	budget := func(part float64) *acceptor.Budget {
		return acceptor.NewBudget(int64(part * float64(limits.ClientMemoryBytes)))
	}
	heads, requests, messages := budget(headMemoryPart), budget(requestMemoryPart), budget(messageMemoryPart)
	c := &clients{
		callers: acceptor.New(acceptor.Settings{
			Name: "Callers", Clock: clock, Log: log, Connections: connections, Limits: server.ClientLimits, Heads: heads, Report: report,
		}),
		peers: acceptor.New(acceptor.Settings{
			Name: "Peers", Clock: clock, Log: log, Connections: connections, HTTP2: true, Report: report,
			Limits: func() acceptor.Limits { return acceptor.Limits{IdleTime: peerWriteTime} },
		}),
		requests: &acceptor.Messages{Budget: requests, Server: "Callers", Report: report},
		messages: &acceptor.Messages{Budget: messages, WithAnswers: true, Server: "Peers", Report: report},
	}
	acceptor.PublishStates(rec, func() []*acceptor.Acceptor { return []*acceptor.Acceptor{c.callers, c.peers} })
	rec.ValueFunc(recorder.HeadMemory, heads.Used)
	rec.ValueFunc(recorder.RequestMemory, requests.Used)
	rec.ValueFunc(recorder.MessageMemory, messages.Used)
	return c
}

// callerServer returns the server of the HTTP API.
func (c *clients) callerServer(handler http.Handler) *http.Server {
	return c.callers.Server(c.requests.Handler(handler))
}

// peerServer returns the server for other instances.
func (c *clients) peerServer(newServer func(bound func(http.Handler) http.Handler) *http.Server) *http.Server {
	s := newServer(c.messages.Handler)
	c.peers.Attach(s)
	return s
}
