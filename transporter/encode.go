// Package transporter implements the Peer service between instances: it converts
// the core types to and from wire messages, calls peers and serves their calls.
package transporter

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/wire"
)

var reasonToWire = map[jujubegate.Reason]wire.RefusalReason{
	jujubegate.Overloaded:      wire.RefusalReason_REFUSAL_REASON_OVERLOADED,
	jujubegate.DeadlinePassed:  wire.RefusalReason_REFUSAL_REASON_DEADLINE_PASSED,
	jujubegate.SnapshotNotHeld: wire.RefusalReason_REFUSAL_REASON_SNAPSHOT_NOT_HELD,
	jujubegate.TargetDraining:  wire.RefusalReason_REFUSAL_REASON_DRAINING,
	jujubegate.NotOwner:        wire.RefusalReason_REFUSAL_REASON_NOT_OWNER,
	jujubegate.TargetDown:      wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
	jujubegate.BadAnswer:       wire.RefusalReason_REFUSAL_REASON_BAD_ANSWER,
	jujubegate.Cancelled:       wire.RefusalReason_REFUSAL_REASON_CANCELLED,
	jujubegate.OutOfService:    wire.RefusalReason_REFUSAL_REASON_OUT_OF_SERVICE,
	jujubegate.Shed:            wire.RefusalReason_REFUSAL_REASON_SHED,
	jujubegate.TargetError:     wire.RefusalReason_REFUSAL_REASON_TARGET_ERROR,
	jujubegate.Leaving:         wire.RefusalReason_REFUSAL_REASON_LEAVING,
	jujubegate.Isolated:        wire.RefusalReason_REFUSAL_REASON_ISOLATED,
	jujubegate.BadRequest:      wire.RefusalReason_REFUSAL_REASON_BAD_REQUEST,
}

var reasonFromWire = invert(reasonToWire)

var outcomeToWire = map[jujubegate.Outcome]wire.Ran{
	jujubegate.Unknown: wire.Ran_RAN_UNKNOWN,
	jujubegate.Ran:     wire.Ran_RAN_YES,
	jujubegate.NotRun:  wire.Ran_RAN_NO,
}

var outcomeFromWire = invert(outcomeToWire)

func invert[K, V comparable](m map[K]V) map[V]K {
	inverse := make(map[V]K, len(m))
	for k, v := range m {
		inverse[v] = k
	}
	return inverse
}

// encodeBatch encodes the deadline as the time that remains at now, because the
// clocks of two instances differ.
func encodeBatch(b jujubegate.Batch, now time.Time) *wire.DispatchRequest {
	return &wire.DispatchRequest{
		QueryId:       b.QueryID,
		Service:       string(b.Service),
		Route:         string(b.Route),
		Caller:        string(b.Caller),
		Snapshot:      int64(b.Snapshot),
		TimeoutMicros: b.Deadline.Sub(now).Microseconds(),
		Priority:      uint32(b.Priority),
		Body:          b.Body,
		Order:         b.Order,
		Generation:    int64(b.Generation),
		SubRequests:   encodeSubRequests(b.SubRequests),
	}
}

func decodeBatch(r *wire.DispatchRequest, now time.Time) jujubegate.Batch {
	return jujubegate.Batch{
		QueryID:     r.GetQueryId(),
		Service:     jujubegate.Service(r.GetService()),
		Route:       jujubegate.Route(r.GetRoute()),
		Caller:      jujubegate.Caller(r.GetCaller()),
		Snapshot:    jujubegate.Snapshot(r.GetSnapshot()),
		Deadline:    now.Add(time.Duration(r.GetTimeoutMicros()) * time.Microsecond),
		Priority:    int(r.GetPriority()),
		Body:        r.GetBody(),
		Order:       r.GetOrder(),
		Generation:  jujubegate.Generation(r.GetGeneration()),
		SubRequests: decodeSubRequests(r.GetSubRequests()),
	}
}

func encodeSubRequests(subRequests []jujubegate.SubRequest) []*wire.SubRequest {
	encoded := make([]*wire.SubRequest, len(subRequests))
	for i, s := range subRequests {
		encoded[i] = &wire.SubRequest{Shard: uint32(s.Shard), Target: string(s.Target), Attempt: uint32(s.Attempt)}
	}
	return encoded
}

func decodeSubRequests(subRequests []*wire.SubRequest) []jujubegate.SubRequest {
	decoded := make([]jujubegate.SubRequest, len(subRequests))
	for i, s := range subRequests {
		decoded[i] = jujubegate.SubRequest{
			Shard:   int(s.GetShard()),
			Target:  jujubegate.Address(s.GetTarget()),
			Attempt: int(s.GetAttempt()),
		}
	}
	return decoded
}

func encodeResults(results []jujubegate.SubResult) []*wire.SubResult {
	encoded := make([]*wire.SubResult, len(results))
	for i := range results {
		encoded[i] = encodeResult(&results[i])
	}
	return encoded
}

func encodeResult(r *jujubegate.SubResult) *wire.SubResult {
	encoded := &wire.SubResult{
		Shard:         uint32(r.Shard),
		Attempt:       uint32(r.Attempt),
		Target:        string(r.Target),
		Ran:           wire.Ran_RAN_YES,
		Snapshot:      int64(r.Snapshot),
		RangeStart:    r.Range.Start,
		RangeEnd:      r.Range.End,
		Rows:          r.Rows,
		ServiceMicros: r.ServiceTime.Microseconds(),
	}
	if r.Refusal != nil {
		encoded.Reason = encodeReason(r.Refusal.Reason)
		encoded.Ran = outcomeToWire[r.Refusal.Outcome]
		encoded.RetryAfterMicros = r.Refusal.RetryAfter.Microseconds()
		encoded.Detail = r.Refusal.Detail
	}
	return encoded
}

func decodeResults(results []*wire.SubResult) []jujubegate.SubResult {
	decoded := make([]jujubegate.SubResult, len(results))
	for i, r := range results {
		decoded[i] = decodeResult(r)
	}
	return decoded
}

func decodeResult(r *wire.SubResult) jujubegate.SubResult {
	decoded := jujubegate.SubResult{
		Shard:       int(r.GetShard()),
		Attempt:     int(r.GetAttempt()),
		Target:      jujubegate.Address(r.GetTarget()),
		Snapshot:    jujubegate.Snapshot(r.GetSnapshot()),
		Range:       jujubegate.KeyRange{Start: r.GetRangeStart(), End: r.GetRangeEnd()},
		Rows:        r.GetRows(),
		ServiceTime: time.Duration(r.GetServiceMicros()) * time.Microsecond,
	}
	if r.GetReason() != wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED || r.GetRan() != wire.Ran_RAN_YES {
		decoded.Refusal = &jujubegate.Refusal{
			Reason:     decodeReason(r.GetReason()),
			Outcome:    outcomeFromWire[r.GetRan()],
			RetryAfter: time.Duration(r.GetRetryAfterMicros()) * time.Microsecond,
			Detail:     r.GetDetail(),
		}
	}
	return decoded
}

// encodeReason encodes a reason that has no wire value as a target error, so that
// the receiver never takes the result for a success.
func encodeReason(reason jujubegate.Reason) wire.RefusalReason {
	if encoded, ok := reasonToWire[reason]; ok {
		return encoded
	}
	return wire.RefusalReason_REFUSAL_REASON_TARGET_ERROR
}

func decodeReason(reason wire.RefusalReason) jujubegate.Reason {
	if decoded, ok := reasonFromWire[reason]; ok {
		return decoded
	}
	return jujubegate.TargetError
}

func encodeReports(reports []jujubegate.TargetReport) []*wire.TargetReport {
	encoded := make([]*wire.TargetReport, len(reports))
	for i, r := range reports {
		snapshots := make([]int64, len(r.Snapshots))
		for j, s := range r.Snapshots {
			snapshots[j] = int64(s)
		}
		encoded[i] = &wire.TargetReport{
			Target:        string(r.Target),
			State:         wire.TargetState(r.State),
			InFlight:      uint32(r.InFlight),
			Queued:        uint32(r.Queued),
			Limit:         uint32(r.Limit),
			LatencyMicros: uint32(r.Latency.Microseconds()),
			Snapshots:     snapshots,
		}
	}
	return encoded
}

func decodeReports(reports []*wire.TargetReport) []jujubegate.TargetReport {
	decoded := make([]jujubegate.TargetReport, len(reports))
	for i, r := range reports {
		snapshots := make([]jujubegate.Snapshot, len(r.GetSnapshots()))
		for j, s := range r.GetSnapshots() {
			snapshots[j] = jujubegate.Snapshot(s)
		}
		decoded[i] = jujubegate.TargetReport{
			Target:    jujubegate.Address(r.GetTarget()),
			State:     jujubegate.TargetState(r.GetState()),
			InFlight:  int(r.GetInFlight()),
			Queued:    int(r.GetQueued()),
			Limit:     int(r.GetLimit()),
			Latency:   time.Duration(r.GetLatencyMicros()) * time.Microsecond,
			Snapshots: snapshots,
		}
	}
	return decoded
}
