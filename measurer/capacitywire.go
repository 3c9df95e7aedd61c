package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/leaser"
	"jujubegate.example/jujubegate/transporter"
	"jujubegate.example/jujubegate/wire"
	"jujubegate.example/jujubegate/wire/wireconnect"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes before it writes them: the peer may have read them
// before the write returns.
func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n - len(b)))
	return n, err
}

// servePeer serves a handler on loopback, counts the bytes of its connections, and
// returns its address.
func servePeer(h *transporter.Handler, bytes *atomic.Int64) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := h.HTTPServer(func(next http.Handler) http.Handler { return next })
	go func() { _ = s.Serve(countingListener{listener, bytes}) }()
	return listener.Addr().String(), func() { _ = s.Close() }, nil
}

// newMember returns a member whose names and addresses have the usual length.
func newMember(i, dataCentres int) leaser.Member {
	return leaser.Member{
		Instance:      jujubegate.Instance(fmt.Sprintf("instance-%04d", i)),
		Incarnation:   fmt.Sprintf("0190a5d2-6c1e-7b3f-8a11-%012d", i),
		DataCentre:    jujubegate.DataCentre(fmt.Sprintf("centre%02d", i%dataCentres)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.17:9400", 10+i%dataCentres, 1+i/dataCentres),
		CallerAddress: fmt.Sprintf("10.%d.%d.17:9401", 10+i%dataCentres, 1+i/dataCentres),
	}
}

func newView(members, dataCentres int) leaser.View {
	v := leaser.View{Epoch: 1}
	for i := range members {
		v.Members = append(v.Members, newMember(i, dataCentres))
	}
	return v
}

func newReports(count int) []jujubegate.TargetReport {
	reports := make([]jujubegate.TargetReport, count)
	for i := range reports {
		reports[i] = jujubegate.TargetReport{
			Target: jujubegate.Address(fmt.Sprintf("10.12.%d.%d:9000", i/200, i%200)), State: jujubegate.Warm,
			InFlight: 2, Queued: 1, Limit: 2, Latency: 5 * time.Millisecond, Snapshots: []jujubegate.Snapshot{1201, 1202},
		}
	}
	return reports
}

func newChanges(count int) []configurator.Change {
	changes := make([]configurator.Change, count)
	for i := range changes {
		changes[i] = configurator.Change{
			Generation: jujubegate.Generation(100000 + i), Author: "operator", At: time.Unix(1700000000, 0),
			Token:      "0190a5d2-6c1e-7b3f-8a11-000000000001",
			Statements: `Declare Target "10.12.1.1:9000" { Service = DispatchDesk; Shard = 17; DataCentre = centre01; Version = v12; };`,
		}
	}
	return changes
}

// messageKind is a kind of message that is measured at several sizes; per names
// what the sizes count.
type messageKind struct {
	role, name, per string
	sizes           []int
	future          float64
	call            func(ctx context.Context, p *connectedPair, size int) error
}

var messageKinds = []messageKind{
	{"member", "heartbeat", "changed reports", []int{0, 5, 20, 80}, 5, sendHeartbeat},
	{"member", "heartbeat, answer not compressed", "changed reports", []int{0, 5, 20, 80}, 5, sendUncompressedHeartbeat},
	{"runner of moves", "heartbeat with counts", "counts", []int{0, 8, 32, 128}, countsPerMember, sendHeartbeatWithCounts},
	{"member", "heartbeat with the whole view (epoch behind)", "members", []int{8, 32, 110, 1200}, 1200, sendHeartbeatWithView},
	{"watcher", "push of changes", "changes", []int{1, 4, 16, 64}, 1, pushChanges},
	{"watcher", "fetch of changes", "changes", []int{1, 4, 16, 64}, 1, fetchChanges},
	{"root, owner", "dispatch with its results", "shards", []int{1, 5, 20, 80}, 5, dispatchBatch},
}

// connectedPair is a client and the handler that it is connected to over loopback.
type connectedPair struct {
	client  *transporter.Client
	handler *transporter.Handler
	peer    leaser.Member
	// bytes counts the bytes of the connections in both directions.
	bytes atomic.Int64
	stop  func()
	// uncompressed calls the same handler but accepts no compressed answers.
	uncompressed wireconnect.PeerClient
	transport    *http.Transport
}

func newConnectedPair() (*connectedPair, error) {
	clock := clockwork.NewRealClock()
	p := &connectedPair{client: transporter.NewClient(clock), handler: transporter.NewHandler(clock, zap.NewNop()), peer: newMember(1, 1)}
	p.handler.Counts = noCounts
	address, stop, err := servePeer(p.handler, &p.bytes)
	if err != nil {
		return nil, err
	}
	p.peer.PeerAddress, p.stop = address, stop
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	p.transport = &http.Transport{Protocols: &protocols, DisableCompression: true}
	p.uncompressed = wireconnect.NewPeerClient(&http.Client{Transport: p.transport}, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil))
	return p, nil
}

func (p *connectedPair) close() {
	p.client.Close()
	p.transport.CloseIdleConnections()
	p.stop()
}

func noCounts() []jujubegate.RouteCount { return nil }

func (p *connectedPair) setHeartbeatAnswer(v *leaser.View, reports []jujubegate.TargetReport) {
	p.handler.HandleHeartbeat = func(r leaser.HeartbeatRequest) leaser.HeartbeatAnswer {
		return leaser.HeartbeatAnswer{Receiver: p.peer, Epoch: r.Epoch, Generation: r.Generation, Settled: r.Settled, Released: r.Released, View: v}
	}
	p.handler.ReportsSince = func(uint64) ([]jujubegate.TargetReport, uint64) { return reports, 100000 }
}

func (p *connectedPair) heartbeat(ctx context.Context, v *leaser.View, reports []jujubegate.TargetReport) error {
	p.setHeartbeatAnswer(v, reports)
	_, err := p.client.Heartbeat(ctx, p.peer, leaser.HeartbeatRequest{
		Sender: newMember(0, 1), Epoch: 40000, Generation: 100000, Settled: 39999, Released: 40000,
	})
	return err
}

func sendHeartbeat(ctx context.Context, p *connectedPair, size int) error {
	return p.heartbeat(ctx, nil, newReports(size))
}

// sendUncompressedHeartbeat sends the same heartbeat through a client that accepts
// no compressed answer.
func sendUncompressedHeartbeat(ctx context.Context, p *connectedPair, size int) error {
	reports := newReports(size)
	p.setHeartbeatAnswer(nil, reports)
	_, err := p.uncompressed.Heartbeat(ctx, connect.NewRequest(&wire.HeartbeatRequest{
		Sender: &wire.Member{
			Instance: "instance-0000", Incarnation: newMember(0, 1).Incarnation, DataCentre: "centre00",
			PeerAddress: newMember(0, 1).PeerAddress, CallerAddress: newMember(0, 1).CallerAddress,
		},
		Epoch: 40000, Generation: 100000, Settled: 39999, Released: 40000,
		ReportsAfter: 100000, ReportsIncarnation: p.peer.Incarnation,
	}))
	return err
}

func sendHeartbeatWithCounts(ctx context.Context, p *connectedPair, size int) error {
	counts := make([]jujubegate.RouteCount, 0, size)
	for len(counts) < size {
		counts = append(counts, newCounts(1000000)...)
	}
	p.handler.Counts = func() []jujubegate.RouteCount { return counts }
	defer func() { p.handler.Counts = noCounts }()
	return p.heartbeat(ctx, nil, nil)
}

func sendHeartbeatWithView(ctx context.Context, p *connectedPair, size int) error {
	v := newView(size, futureDataCentres)
	return p.heartbeat(ctx, &v, nil)
}

func pushChanges(ctx context.Context, p *connectedPair, size int) error {
	p.handler.Offer = func([]configurator.Change) jujubegate.Generation { return 100000 }
	_, err := p.client.PushChanges(ctx, p.peer, newChanges(size))
	return err
}

func fetchChanges(ctx context.Context, p *connectedPair, size int) error {
	p.handler.Changes = func(jujubegate.Generation) []configurator.Change { return newChanges(size) }
	_, err := p.client.FetchChanges(ctx, p.peer, 99999)
	return err
}

// dispatchBatch sends one batch, whose results are returned in one message. The
// body and the rows of each shard are 100 random digits, as repeated ones would
// compress to almost nothing.
func dispatchBatch(ctx context.Context, p *connectedPair, size int) error {
	random := rand.New(rand.NewPCG(seed, seed))
	randomDigits := func() []byte {
		digits := make([]byte, 100)
		for i := range digits {
			digits[i] = byte('0' + random.IntN(10))
		}
		return digits
	}
	p.handler.Run = func(_ context.Context, b jujubegate.Batch, deliver func([]jujubegate.SubResult)) {
		results := make([]jujubegate.SubResult, len(b.SubRequests))
		for i, s := range b.SubRequests {
			results[i] = jujubegate.SubResult{
				Shard: s.Shard, Attempt: s.Attempt, Target: s.Target, Snapshot: b.Snapshot, Rows: randomDigits(),
				Range: jujubegate.KeyRange{Start: 1 << 20, End: 1 << 21}, ServiceTime: 5 * time.Millisecond,
			}
		}
		deliver(results)
	}
	batch := jujubegate.Batch{
		QueryID: "0190a5d2-6c1e-7b3f-8a11-000000000001", Service: "DispatchDesk", Route: "Search", Caller: "desk",
		Snapshot: 1202, Deadline: time.Now().Add(time.Second), Priority: 3, Body: randomDigits(), Generation: 100000,
	}
	for i := range size {
		batch.SubRequests = append(batch.SubRequests, jujubegate.SubRequest{
			Shard: i, Target: jujubegate.Address(fmt.Sprintf("10.12.1.%d:9000", i)), Attempt: 1,
		})
	}
	return p.client.Dispatch(ctx, p.peer, batch, func([]jujubegate.SubResult, []jujubegate.TargetReport) {})
}

// measureMessages measures, for each kind of message, the bytes in both directions
// including HTTP/2 frames and headers, and the CPU time of client and server
// together.
func measureMessages(ctx context.Context) ([]CapacityFigure, error) {
	p, err := newConnectedPair()
	if err != nil {
		return nil, err
	}
	defer p.close()
	var figures []CapacityFigure
	for _, k := range messageKinds {
		size := CapacityFigure{Role: k.role, Name: k.name, Unit: "B", Per: k.per, Future: k.future}
		processor := CapacityFigure{Role: k.role, Name: k.name + ", both ends", Unit: "µs of processor", Per: k.per, Future: k.future}
		for _, n := range k.sizes {
			const runs = 100
			call := func() error { return k.call(ctx, p, n) }
			for range runs / 10 { // the first calls carry headers in full, later ones by reference (HPACK)
				if err := call(); err != nil {
					return nil, err
				}
			}
			before := p.bytes.Load()
			values, err := processorTimePerRun(runs, call)
			if err != nil {
				return nil, err
			}
			perMessage := float64(p.bytes.Load()-before) / (runs * repetitions)
			size.Samples = append(size.Samples, Sample{float64(n), []float64{perMessage}})
			processor.Samples = append(processor.Samples, Sample{float64(n), values})
		}
		figures = append(figures, size, processor)
	}
	return figures, nil
}
