package conductor

import (
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/recorder"
)

// publishClients publishes the number of connections by state and the memory that is taken
// for clients.
func (c *Conductor) publishClients() {
	acceptor.PublishStates(c.recorder, c.acceptors)
	c.recorder.ValueFunc(recorder.HeadMemory, c.resources.heads.Used)
	c.recorder.ValueFunc(recorder.MessageMemory, c.resources.messages.Used)
	c.recorder.ValueFunc(recorder.RequestMemory, c.resources.requests.Used)
	c.recorder.ValueFunc(recorder.AnswerMemory, c.resources.answers.Used)
}

// acceptors returns the acceptors of the servers that have been started.
func (c *Conductor) acceptors() []*acceptor.Acceptor {
	servers := c.servers.Load()
	if servers == nil {
		return nil
	}
	var as []*acceptor.Acceptor
	for _, s := range *servers {
		as = append(as, s.acceptor)
	}
	return as
}
