package recorder

import (
	"bytes"
	"fmt"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Metric is the definition of a metric.
type Metric struct {
	Name string
	Kind Kind
	// Unit is the unit of the value; empty means a plain number.
	Unit string
	// Help is the meaning of the metric on the reference page.
	Help string
}

// Metrics of an instance. Histograms are published as a Summary.
var (
	Queries            = Metric{"Queries", KindCounter, "queries", "queries received from callers"}
	QueriesComplete    = Metric{"QueriesComplete", KindCounter, "queries", "queries answered with full coverage"}
	QueriesPartial     = Metric{"QueriesPartial", KindCounter, "queries", "queries answered with missing key ranges"}
	QueriesRefused     = Metric{"QueriesRefused", KindCounter, "queries", "queries refused with a reason"}
	QueriesInFlight    = Metric{"QueriesInFlight", KindGauge, "queries", "queries that this instance is the root of"}
	QueryLatency       = Metric{"QueryLatency", KindHistogram, "µs", "time from the arrival of a query to its answer"}
	SubRequests        = Metric{"SubRequests", KindCounter, "sub-requests", "sub-requests sent, hedges and retries included"}
	SubRequestsHedged  = Metric{"SubRequestsHedged", KindCounter, "sub-requests", "hedges: second attempts at late shards"}
	SubRequestsRetried = Metric{"SubRequestsRetried", KindCounter, "sub-requests", "retries: attempts after a refusal or failure"}
	AnswersDropped     = Metric{"AnswersDropped", KindCounter, "answers", "results of sub-requests that were late, repeated, malformed or did not match the query"}
	TargetLatency      = Metric{"TargetLatency", KindHistogram, "µs", "time from sending a sub-request to the target's answer"}
	TargetsOwned       = Metric{"TargetsOwned", KindGauge, "targets", "targets that this instance owns"}
	Orders             = Metric{"Orders", KindCounter, "orders", "orders received from callers"}
	OrdersUnknown      = Metric{"OrdersUnknown", KindCounter, "orders", "orders whose outcome is unknown"}
	Generation         = Metric{"Generation", KindGauge, "generation", "generation of the applied configuration"}
	Epoch              = Metric{"Epoch", KindGauge, "epoch", "epoch of the current membership view"}
	Serving            = Metric{"Serving", KindGauge, "", "1 if the serving lease is valid, else 0"}
	Forwarded          = Metric{"Forwarded", KindCounter, "requests", "opaque requests received from callers"}
	ForwardedAnswered  = Metric{"ForwardedAnswered", KindCounter, "requests", "opaque requests answered with success"}
	ForwardedPartial   = Metric{"ForwardedPartial", KindCounter, "requests", "gathered answers with missing shards"}
	ForwardedRefused   = Metric{"ForwardedRefused", KindCounter, "requests", "opaque requests refused with status 503 before they ran"}
	ForwardedFailed    = Metric{"ForwardedFailed", KindCounter, "requests", "opaque requests neither answered with success nor refused; some may have run"}
	ForwardedLatency   = Metric{"ForwardedLatency", KindHistogram, "µs", "time from the arrival of an opaque request to its answer"}
	ConnectionsOpened  = Metric{"ConnectionsOpened", KindCounter, "connections", "connections opened to targets for opaque requests"}
	TargetBytes        = Metric{"TargetBytes", KindCounter, "bytes", "sent to and received from targets for opaque requests"}
	TargetBytesFar     = Metric{"TargetBytesFar", KindCounter, "bytes", "the part of TargetBytes to and from other data centres"}
	PeerBytes          = Metric{"PeerBytes", KindCounter, "bytes", "sent and received in exchanges and transfers that this instance started with peers"}
	PeerBytesFar       = Metric{"PeerBytesFar", KindCounter, "bytes", "the part of PeerBytes to and from other data centres"}
	ConfigurationInUse = Metric{"ConfigurationInUse", KindGauge, "version", "version of the applied platform configuration"}
	TargetsKnown       = Metric{"TargetsKnown", KindGauge, "targets", "listed targets that new requests may use"}
	TargetsLimited     = Metric{"TargetsLimited", KindGauge, "targets", "targets that name a limit in their answers"}
	TargetsLeaving     = Metric{"TargetsLeaving", KindGauge, "targets", "listed targets that have said in an answer that they leave"}
	TargetsPaused      = Metric{"TargetsPaused", KindGauge, "targets", "targets that have asked this instance for a pause, or return from one"}
	DeparturesSeen     = Metric{"DeparturesSeen", KindCounter, "targets", "targets that have said in an answer, to this instance or another one, that they leave"}
	PausesAsked        = Metric{"PausesAsked", KindCounter, "pauses", "pauses that targets have asked this instance for"}
	PausesUnreadable   = Metric{"PausesUnreadable", KindCounter, "answers", "answers that ask for a pause which cannot be read"}
	RequestsBlocked    = Metric{"RequestsBlocked", KindGauge, "requests", "requests, by their content, that are blocked because they crash targets"}
	InstancesKnown     = Metric{"InstancesKnown", KindGauge, "instances", "live instances, this one included"}
	StoreCalls         = Metric{"StoreCalls", KindCounter, "calls", "calls to the platform's store"}
	StoreFailures      = Metric{"StoreFailures", KindCounter, "calls", "calls to the platform's store without a usable answer"}
	ClientsFresh       = Metric{"ClientsFresh", KindGauge, "connections", "accepted connections that have received no byte"}
	ClientsSendingHead = Metric{"ClientsSendingHead", KindGauge, "connections", "accepted connections with an incomplete head"}
	ClientsBusy        = Metric{"ClientsBusy", KindGauge, "connections", "accepted connections with a request that is handled"}
	ClientsWaiting     = Metric{"ClientsWaiting", KindGauge, "connections", "accepted connections that wait for the client to send its body or to read its answer"}
	ClientsIdle        = Metric{"ClientsIdle", KindGauge, "connections", "accepted connections between two requests"}
	ClientsLingering   = Metric{"ClientsLingering", KindGauge, "connections", "accepted connections that wait for the client to close after the last answer"}

	ClientConnectionsEvicted  = Metric{"ClientConnectionsEvicted", KindCounter, "connections", "accepted connections closed to admit others"}
	ClientConnectionsRefused  = Metric{"ClientConnectionsRefused", KindCounter, "connections", "connections closed at once, as all others had a request"}
	ClientConnectionsIdle     = Metric{"ClientConnectionsIdle", KindCounter, "connections", "accepted connections closed after the idle time"}
	ClientHeadsTooLarge       = Metric{"ClientHeadsTooLarge", KindCounter, "requests", "heads refused with 431 before they were complete"}
	ClientHeadsTimedOut       = Metric{"ClientHeadsTimedOut", KindCounter, "requests", "heads refused with 408"}
	ClientEmptyLines          = Metric{"ClientEmptyLines", KindCounter, "connections", "connections refused with 400 for empty lines before a request"}
	ClientHeadsEvicted        = Metric{"ClientHeadsEvicted", KindCounter, "connections", "connections closed in a head, as others needed the memory"}
	ClientHeadsWithoutMemory  = Metric{"ClientHeadsWithoutMemory", KindCounter, "requests", "heads refused with 503 for lack of memory"}
	ClientAnswersNotRead      = Metric{"ClientAnswersNotRead", KindCounter, "connections", "connections closed as the client did not read its answer"}
	PeerMessagesWithoutMemory = Metric{"PeerMessagesWithoutMemory", KindCounter, "messages", "messages of peers refused, or their answers cut, for lack of memory"}
	PeerMessagesRefused       = Metric{"PeerMessagesRefused", KindCounter, "messages", "messages in an encoding that no peer uses"}

	HeadMemory    = Metric{"HeadMemory", KindGauge, "bytes", "memory taken for heads of requests"}
	RequestMemory = Metric{"RequestMemory", KindGauge, "bytes", "memory taken for large bodies of requests"}
	AnswerMemory  = Metric{"AnswerMemory", KindGauge, "bytes", "memory taken for large answers of targets"}
	MessageMemory = Metric{"MessageMemory", KindGauge, "bytes", "memory taken for messages of peers"}

	LogLinesDropped = Metric{"LogLinesDropped", KindCounter, "lines", "log lines dropped by the rate limit or because the queue was full"}
)

// Metrics lists all metrics of an instance.
var Metrics = []Metric{
	Queries, QueriesComplete, QueriesPartial, QueriesRefused, QueriesInFlight, QueryLatency,
	SubRequests, SubRequestsHedged, SubRequestsRetried, AnswersDropped,
	TargetLatency, TargetsOwned, Orders, OrdersUnknown,
	Generation, Epoch, Serving,
	Forwarded, ForwardedAnswered, ForwardedPartial, ForwardedRefused, ForwardedFailed, ForwardedLatency,
	ConnectionsOpened, TargetBytes, TargetBytesFar, PeerBytes, PeerBytesFar, ConfigurationInUse, TargetsKnown, TargetsLimited, TargetsLeaving, TargetsPaused,
	DeparturesSeen, PausesAsked, PausesUnreadable, RequestsBlocked, InstancesKnown,
	StoreCalls, StoreFailures,
	ClientsFresh, ClientsSendingHead, ClientsBusy, ClientsWaiting, ClientsIdle, ClientsLingering,
	ClientConnectionsEvicted, ClientConnectionsRefused, ClientConnectionsIdle,
	ClientHeadsTooLarge, ClientHeadsTimedOut, ClientEmptyLines, ClientHeadsEvicted, ClientHeadsWithoutMemory,
	ClientAnswersNotRead, PeerMessagesWithoutMemory, PeerMessagesRefused,
	HeadMemory, RequestMemory, AnswerMemory, MessageMemory, LogLinesDropped,
}

// Page returns the reference page of the metrics as Markdown.
func Page() []byte {
	var b bytes.Buffer
	b.WriteString("# Metrics\n\nGenerated from `recorder/metric.go`; do not edit.\n\n")
	fmt.Fprintf(&b, "Published by expvar at `/debug/vars` under `%s`. ", MapName)
	b.WriteString("Histograms hold `Count`, `P50`, `P90`, `P99`, `P999` and `Max` since the start of the process; latencies are in microseconds.\n\n")
	b.WriteString("| name | kind | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Help)
	}
	b.WriteString("\n## Violated invariants\n\nEach is a counter that stays 0 unless an invariant is violated.\n\n")
	for _, i := range Invariants {
		fmt.Fprintf(&b, "- `Violations.%s`\n", i)
	}
	return b.Bytes()
}
