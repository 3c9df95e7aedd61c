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

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes before it writes them: the peer may have read them
// before the write returns.
func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n - len(b)))
	return n, err
}

// servePeer serves a handler on loopback and returns its address.
func servePeer(h *transporter.Handler, bytes *atomic.Int64) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := h.HTTPServer()
	go func() { _ = s.Serve(countedListener{listener, bytes}) }()
	return listener.Addr().String(), func() { _ = s.Close() }, nil
}

// member returns a member with names and addresses of the usual length.
func member(i, centres int) leaser.Member {
	return leaser.Member{
		Instance:      jujubegate.Instance(fmt.Sprintf("instance-%04d", i)),
		Incarnation:   fmt.Sprintf("0190a5d2-6c1e-7b3f-8a11-%012d", i),
		DataCentre:    jujubegate.DataCentre(fmt.Sprintf("centre%02d", i%centres)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.17:9400", 10+i%centres, 1+i/centres),
		CallerAddress: fmt.Sprintf("10.%d.%d.17:9401", 10+i%centres, 1+i/centres),
	}
}

func view(members, centres int) leaser.View {
	v := leaser.View{Epoch: 1}
	for i := range members {
		v.Members = append(v.Members, member(i, centres))
	}
	return v
}

func reportsOf(count int) []jujubegate.TargetReport {
	reports := make([]jujubegate.TargetReport, count)
	for i := range reports {
		reports[i] = jujubegate.TargetReport{
			Target: jujubegate.Address(fmt.Sprintf("10.12.%d.%d:9000", i/200, i%200)), State: jujubegate.Warm,
			InFlight: 2, Queued: 1, Limit: 2, Latency: 5 * time.Millisecond, Snapshots: []jujubegate.Snapshot{1201, 1202},
		}
	}
	return reports
}

func changesOf(count int) []configurator.Change {
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

// wireKind is one kind of message at several sizes.
type wireKind struct {
	role, name, per string
	sizes           []int
	future          float64
	call            func(ctx context.Context, w *wirePair, size int) error
}

var wireKinds = []wireKind{
	{"member", "heartbeat", "changed reports", []int{0, 5, 20, 80}, 5, heartbeat},
	{"member", "heartbeat, answer not compressed", "changed reports", []int{0, 5, 20, 80}, 5, heartbeatPlain},
	{"runner of moves", "heartbeat with counts", "counts", []int{0, 8, 32, 128}, countsPerMember, heartbeatWithCounts},
	{"member", "heartbeat with the whole view (epoch behind)", "members", []int{8, 32, 110, 1200}, 1200, heartbeatWithView},
	{"watcher", "push of changes", "changes", []int{1, 4, 16, 64}, 1, push},
	{"watcher", "fetch of changes", "changes", []int{1, 4, 16, 64}, 1, fetch},
	{"root, owner", "dispatch with its results", "shards", []int{1, 5, 20, 80}, 5, dispatch},
}

// wirePair is a client and a handler with a connection in between.
type wirePair struct {
	client  *transporter.Client
	handler *transporter.Handler
	peer    leaser.Member
	bytes   atomic.Int64
	stop    func()
	// plain calls the same handler and accepts no compression.
	plain     wireconnect.PeerClient
	transport *http.Transport
}

func newWirePair() (*wirePair, error) {
	clock := clockwork.NewRealClock()
	w := &wirePair{client: transporter.NewClient(clock), handler: transporter.NewHandler(clock, zap.NewNop()), peer: member(1, 1)}
	w.handler.Counts = noCounts
	address, stop, err := servePeer(w.handler, &w.bytes)
	if err != nil {
		return nil, err
	}
	w.peer.PeerAddress, w.stop = address, stop
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	w.transport = &http.Transport{Protocols: &protocols, DisableCompression: true}
	w.plain = wireconnect.NewPeerClient(&http.Client{Transport: w.transport}, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil))
	return w, nil
}

func (w *wirePair) close() {
	w.client.Close()
	w.transport.CloseIdleConnections()
	w.stop()
}

func noCounts() []jujubegate.RouteCount { return nil }

func (w *wirePair) answerHeartbeats(v *leaser.View, reports []jujubegate.TargetReport) {
	w.handler.HandleHeartbeat = func(r leaser.HeartbeatRequest) leaser.HeartbeatAnswer {
		return leaser.HeartbeatAnswer{Receiver: w.peer, Epoch: r.Epoch, Generation: r.Generation, Settled: r.Settled, Released: r.Released, View: v}
	}
	w.handler.ReportsSince = func(uint64) ([]jujubegate.TargetReport, uint64) { return reports, 100000 }
}

func (w *wirePair) beat(ctx context.Context, v *leaser.View, reports []jujubegate.TargetReport) error {
	w.answerHeartbeats(v, reports)
	_, err := w.client.Heartbeat(ctx, w.peer, leaser.HeartbeatRequest{
		Sender: member(0, 1), Epoch: 40000, Generation: 100000, Settled: 39999, Released: 40000,
	})
	return err
}

func heartbeat(ctx context.Context, w *wirePair, size int) error {
	return w.beat(ctx, nil, reportsOf(size))
}

// heartbeatPlain sends the same heartbeat through a client that accepts no
// compression.
func heartbeatPlain(ctx context.Context, w *wirePair, size int) error {
	reports := reportsOf(size)
	w.answerHeartbeats(nil, reports)
	_, err := w.plain.Heartbeat(ctx, connect.NewRequest(&wire.HeartbeatRequest{
		Sender: &wire.Member{
			Instance: "instance-0000", Incarnation: member(0, 1).Incarnation, DataCentre: "centre00",
			PeerAddress: member(0, 1).PeerAddress, CallerAddress: member(0, 1).CallerAddress,
		},
		Epoch: 40000, Generation: 100000, Settled: 39999, Released: 40000,
		ReportsAfter: 100000, ReportsIncarnation: w.peer.Incarnation,
	}))
	return err
}

func heartbeatWithCounts(ctx context.Context, w *wirePair, size int) error {
	counts := make([]jujubegate.RouteCount, 0, size)
	for len(counts) < size {
		counts = append(counts, countsOf(1000000)...)
	}
	w.handler.Counts = func() []jujubegate.RouteCount { return counts }
	defer func() { w.handler.Counts = noCounts }()
	return w.beat(ctx, nil, nil)
}

func heartbeatWithView(ctx context.Context, w *wirePair, size int) error {
	v := view(size, futureCentres)
	return w.beat(ctx, &v, nil)
}

func push(ctx context.Context, w *wirePair, size int) error {
	w.handler.Offer = func([]configurator.Change) jujubegate.Generation { return 100000 }
	_, err := w.client.PushChanges(ctx, w.peer, changesOf(size))
	return err
}

func fetch(ctx context.Context, w *wirePair, size int) error {
	w.handler.Changes = func(jujubegate.Generation) []configurator.Change { return changesOf(size) }
	_, err := w.client.FetchChanges(ctx, w.peer, 99999)
	return err
}

// dispatch sends one batch whose results come back in one message. The body
// and the rows of a shard have 100 random digits each, since repeated ones
// would be compressed away.
func dispatch(ctx context.Context, w *wirePair, size int) error {
	random := rand.New(rand.NewPCG(seed, seed))
	data := func() []byte {
		digits := make([]byte, 100)
		for i := range digits {
			digits[i] = byte('0' + random.IntN(10))
		}
		return digits
	}
	w.handler.Run = func(_ context.Context, b jujubegate.Batch, deliver func([]jujubegate.SubResult)) {
		results := make([]jujubegate.SubResult, len(b.SubRequests))
		for i, s := range b.SubRequests {
			results[i] = jujubegate.SubResult{
				Shard: s.Shard, Attempt: s.Attempt, Target: s.Target, Snapshot: b.Snapshot, Rows: data(),
				Range: jujubegate.KeyRange{Start: 1 << 20, End: 1 << 21}, ServiceTime: 5 * time.Millisecond,
			}
		}
		deliver(results)
	}
	batch := jujubegate.Batch{
		QueryID: "0190a5d2-6c1e-7b3f-8a11-000000000001", Service: "DispatchDesk", Route: "Search", Caller: "desk",
		Snapshot: 1202, Deadline: time.Now().Add(time.Second), Priority: 3, Body: data(), Generation: 100000,
	}
	for i := range size {
		batch.SubRequests = append(batch.SubRequests, jujubegate.SubRequest{
			Shard: i, Target: jujubegate.Address(fmt.Sprintf("10.12.1.%d:9000", i)), Attempt: 1,
		})
	}
	return w.client.Dispatch(ctx, w.peer, batch, func([]jujubegate.SubResult, []jujubegate.TargetReport) {})
}

// messages measures the bytes of each kind of message, both directions with
// HTTP/2 frames and headers, and the processor time of both ends together.
func messages(ctx context.Context) ([]Capacity, error) {
	w, err := newWirePair()
	if err != nil {
		return nil, err
	}
	defer w.close()
	var figures []Capacity
	for _, k := range wireKinds {
		size := Capacity{Role: k.role, Name: k.name, Unit: "B", Per: k.per, Future: k.future}
		took := Capacity{Role: k.role, Name: k.name + ", both ends", Unit: "µs of processor", Per: k.per, Future: k.future}
		for _, n := range k.sizes {
			const runs = 100
			call := func() error { return k.call(ctx, w, n) }
			for range runs / 10 { // the first calls carry headers that later ones refer to
				if err := call(); err != nil {
					return nil, err
				}
			}
			before := w.bytes.Load()
			values, err := processorPer(runs, call)
			if err != nil {
				return nil, err
			}
			each := float64(w.bytes.Load()-before) / (runs * repetitions)
			size.Samples = append(size.Samples, Sample{float64(n), []float64{each}})
			took.Samples = append(took.Samples, Sample{float64(n), values})
		}
		figures = append(figures, size, took)
	}
	return figures, nil
}
