package transporter

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/wire"
)

// marks keeps, per peer, the mark of the last reports received from it.
type marks struct {
	mu    sync.Mutex
	marks map[jujubegate.Instance]mark
}

type mark struct {
	incarnation string
	reports     uint64
}

func (m *marks) get(instance jujubegate.Instance) mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.marks[instance]
}

func (m *marks) set(instance jujubegate.Instance, value mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.marks == nil {
		m.marks = make(map[jujubegate.Instance]mark)
	}
	m.marks[instance] = value
}

// Observation is what the answer to a heartbeat says besides the membership.
type Observation struct {
	Peer leaser.Member
	// Sent is the time at which the heartbeat was sent.
	Sent    time.Time
	Reports []jujubegate.TargetReport
	Counts  []jujubegate.RouteCount
	Halts   []mover.Halt
	// Leaving holds the targets that the platform lists as leaving.
	Leaving []jujubegate.Address
}

// Heartbeat sends a heartbeat and passes the rest of the answer to Observed.
func (c *Client) Heartbeat(ctx context.Context, to leaser.Member, r leaser.HeartbeatRequest) (leaser.HeartbeatAnswer, error) {
	known, sent := c.marks.get(to.Instance), c.clock.Now()
	request := &wire.HeartbeatRequest{
		Sender:             encodeMember(r.Sender),
		Epoch:              int64(r.Epoch),
		Generation:         int64(r.Generation),
		Suspected:          encodeInstances(r.Suspected),
		Settled:            int64(r.Settled),
		Released:           int64(r.Released),
		ReportsAfter:       known.reports,
		ReportsIncarnation: known.incarnation,
		Halts:              encodeHalts(c.Halts()),
		Agreed:             int64(r.Agreed),
	}
	response, err := c.peer(to.PeerAddress).Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		return leaser.HeartbeatAnswer{}, oops.In("transporter").With("peer", to.Instance).Wrapf(err, "heartbeat")
	}
	answer := response.Msg
	receiver := decodeMember(answer.GetReceiver())
	c.Observed(Observation{
		Peer:    receiver,
		Sent:    sent,
		Reports: decodeReports(answer.GetReports()),
		Counts:  decodeCounts(answer.GetCounts()),
		Halts:   decodeHalts(answer.GetHalts()),
		Leaving: decodeAddresses(answer.GetLeavingTargets()),
	})
	c.marks.set(receiver.Instance, mark{receiver.Incarnation, answer.GetReportsMark()})
	return leaser.HeartbeatAnswer{
		Receiver:   receiver,
		Epoch:      jujubegate.Epoch(answer.GetEpoch()),
		Generation: jujubegate.Generation(answer.GetGeneration()),
		Suspected:  decodeInstances(answer.GetSuspected()),
		Settled:    jujubegate.Epoch(answer.GetSettled()),
		Released:   jujubegate.Epoch(answer.GetReleased()),
		Agreed:     jujubegate.Generation(answer.GetAgreed()),
		View:       decodeView(answer.GetView()),
	}, nil
}

// Heartbeat answers a heartbeat of a peer.
func (h *Handler) Heartbeat(_ context.Context, request *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	r := request.Msg
	a := h.HandleHeartbeat(leaser.HeartbeatRequest{
		Sender:     decodeMember(r.GetSender()),
		Epoch:      jujubegate.Epoch(r.GetEpoch()),
		Generation: jujubegate.Generation(r.GetGeneration()),
		Suspected:  decodeInstances(r.GetSuspected()),
		Settled:    jujubegate.Epoch(r.GetSettled()),
		Released:   jujubegate.Epoch(r.GetReleased()),
		Agreed:     jujubegate.Generation(r.GetAgreed()),
	})
	h.MergeHalts(decodeHalts(r.GetHalts()))
	after := r.GetReportsAfter()
	if r.GetReportsIncarnation() != a.Receiver.Incarnation {
		after = 0
	}
	reports, next := h.ReportsSince(after)
	return connect.NewResponse(&wire.HeartbeatResponse{
		Receiver:    encodeMember(a.Receiver),
		Epoch:       int64(a.Epoch),
		Generation:  int64(a.Generation),
		Suspected:   encodeInstances(a.Suspected),
		Settled:     int64(a.Settled),
		Released:    int64(a.Released),
		View:        encodeView(a.View),
		Reports:     encodeReports(reports),
		ReportsMark: next,
		Counts:      encodeCounts(h.Counts()),
		Halts:       encodeHalts(h.Halts()),

		LeavingTargets: encodeAddresses(h.Leaving()),
		Agreed:         int64(a.Agreed),
	}), nil
}

func encodeMember(m leaser.Member) *wire.Member {
	return &wire.Member{
		Instance:      string(m.Instance),
		Incarnation:   m.Incarnation,
		DataCentre:    string(m.DataCentre),
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		Leaving:       m.Leaving,
	}
}

func decodeMember(m *wire.Member) leaser.Member {
	return leaser.Member{
		Instance:      jujubegate.Instance(m.GetInstance()),
		Incarnation:   m.GetIncarnation(),
		DataCentre:    jujubegate.DataCentre(m.GetDataCentre()),
		PeerAddress:   m.GetPeerAddress(),
		CallerAddress: m.GetCallerAddress(),
		Leaving:       m.GetLeaving(),
	}
}

func encodeView(v *leaser.View) *wire.View {
	if v == nil {
		return nil
	}
	encoded := &wire.View{Epoch: int64(v.Epoch)}
	for _, m := range v.Members {
		encoded.Members = append(encoded.Members, encodeMember(m))
	}
	for i := range v.Open {
		encoded.Open = append(encoded.Open, encodeView(&v.Open[i]))
	}
	return encoded
}

func decodeView(v *wire.View) *leaser.View {
	if v == nil {
		return nil
	}
	decoded := &leaser.View{Epoch: jujubegate.Epoch(v.GetEpoch())}
	for _, m := range v.GetMembers() {
		decoded.Members = append(decoded.Members, decodeMember(m))
	}
	for _, o := range v.GetOpen() {
		decoded.Open = append(decoded.Open, *decodeView(o))
	}
	return decoded
}

func encodeInstances(instances []jujubegate.Instance) []string {
	encoded := make([]string, len(instances))
	for i, name := range instances {
		encoded[i] = string(name)
	}
	return encoded
}

func decodeInstances(names []string) []jujubegate.Instance {
	decoded := make([]jujubegate.Instance, len(names))
	for i, name := range names {
		decoded[i] = jujubegate.Instance(name)
	}
	return decoded
}

func encodeAddresses(addresses []jujubegate.Address) []string {
	encoded := make([]string, len(addresses))
	for i, a := range addresses {
		encoded[i] = string(a)
	}
	return encoded
}

func decodeAddresses(addresses []string) []jujubegate.Address {
	decoded := make([]jujubegate.Address, len(addresses))
	for i, a := range addresses {
		decoded[i] = jujubegate.Address(a)
	}
	return decoded
}
