package acceptor

import "jujubegate.example/jujubegate/recorder"

// reasonMetrics are the metrics of what happened to clients, by reason.
var reasonMetrics = map[Reason]recorder.Metric{
	ConnectionsEvicted:    recorder.ClientConnectionsEvicted,
	ConnectionsRefused:    recorder.ClientConnectionsRefused,
	ConnectionsIdle:       recorder.ClientConnectionsIdle,
	HeadsTooLarge:         recorder.ClientHeadsTooLarge,
	HeadsTimedOut:         recorder.ClientHeadsTimedOut,
	EmptyLines:            recorder.ClientEmptyLines,
	HeadsEvicted:          recorder.ClientHeadsEvicted,
	HeadsWithoutMemory:    recorder.ClientHeadsWithoutMemory,
	AnswersNotRead:        recorder.ClientAnswersNotRead,
	MessagesWithoutMemory: recorder.PeerMessagesWithoutMemory,
	MessagesRefused:       recorder.PeerMessagesRefused,
}

// stateMetrics are the metrics of the connections in each state, of all servers together.
var stateMetrics = map[State]recorder.Metric{
	Fresh:     recorder.ClientsFresh,
	Head:      recorder.ClientsSendingHead,
	Busy:      recorder.ClientsBusy,
	Waiting:   recorder.ClientsWaiting,
	Idle:      recorder.ClientsIdle,
	Lingering: recorder.ClientsLingering,
}

// CountBy returns a function for a Reporter that counts events in the metrics of a recorder.
func CountBy(r *recorder.Recorder) func(Reason) {
	counters := make(map[Reason]*recorder.Counter, len(reasonMetrics))
	for reason, metric := range reasonMetrics {
		counters[reason] = r.Counter(metric)
	}
	return func(reason Reason) { counters[reason].Inc() }
}

// PublishStates publishes the number of connections in each state. Acceptors returns the
// acceptors of all servers.
func PublishStates(r *recorder.Recorder, acceptors func() []*Acceptor) {
	for state, metric := range stateMetrics {
		r.ValueFunc(metric, func() int64 {
			n := 0
			for _, a := range acceptors() {
				n += a.Count(state)
			}
			return int64(n)
		})
	}
}
