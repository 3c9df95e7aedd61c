package conductor

import (
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/recorder"
)

// clientCounters are the metrics of what happened to clients, by reason.
var clientCounters = map[acceptor.Reason]recorder.Metric{
	acceptor.ConnectionsEvicted:    recorder.ClientConnectionsEvicted,
	acceptor.ConnectionsRefused:    recorder.ClientConnectionsRefused,
	acceptor.ConnectionsIdle:       recorder.ClientConnectionsIdle,
	acceptor.HeadsTooLarge:         recorder.ClientHeadsTooLarge,
	acceptor.HeadsTimedOut:         recorder.ClientHeadsTimedOut,
	acceptor.EmptyLines:            recorder.ClientEmptyLines,
	acceptor.HeadsEvicted:          recorder.ClientHeadsEvicted,
	acceptor.HeadsWithoutMemory:    recorder.ClientHeadsWithoutMemory,
	acceptor.AnswersNotRead:        recorder.ClientAnswersNotRead,
	acceptor.MessagesWithoutMemory: recorder.PeerMessagesWithoutMemory,
	acceptor.MessagesRefused:       recorder.PeerMessagesRefused,
}

// clientGauges are the metrics of the connections in each state, of all servers together.
var clientGauges = map[acceptor.State]recorder.Metric{
	acceptor.Fresh:     recorder.ClientsFresh,
	acceptor.Head:      recorder.ClientsSendingHead,
	acceptor.Busy:      recorder.ClientsBusy,
	acceptor.Waiting:   recorder.ClientsWaiting,
	acceptor.Idle:      recorder.ClientsIdle,
	acceptor.Lingering: recorder.ClientsLingering,
}

// countClients returns the function that counts what happens to clients.
func (c *Conductor) countClients() func(acceptor.Reason) {
	counters := make(map[acceptor.Reason]*recorder.Counter, len(clientCounters))
	for reason, metric := range clientCounters {
		counters[reason] = c.recorder.Counter(metric)
	}
	return func(reason acceptor.Reason) { counters[reason].Inc() }
}

// publishClients publishes the number of connections by state and the memory that is taken
// for clients.
func (c *Conductor) publishClients() {
	for state, metric := range clientGauges {
		c.recorder.ValueFunc(metric, func() int64 { return int64(c.countConnections(state)) })
	}
	c.recorder.ValueFunc(recorder.HeadMemory, c.resources.heads.Used)
	c.recorder.ValueFunc(recorder.MessageMemory, c.resources.messages.Used)
	c.recorder.ValueFunc(recorder.RequestMemory, c.resources.requests.Used)
	c.recorder.ValueFunc(recorder.AnswerMemory, c.resources.answers.Used)
}

// countConnections returns the number of accepted connections in a state.
func (c *Conductor) countConnections(state acceptor.State) int {
	servers := c.servers.Load()
	if servers == nil {
		return 0
	}
	n := 0
	for _, s := range *servers {
		n += s.acceptor.Count(state)
	}
	return n
}
