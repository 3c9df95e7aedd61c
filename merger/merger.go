package merger

import (
	"bytes"
	"encoding/json"
	"fmt"

	"jujubegate.example/jujubegate"
)

// Verdict says whether a sub-result was accepted, or why it was dropped.
type Verdict int

// Verdicts on sub-results.
const (
	// Accepted results are part of the answer.
	Accepted Verdict = iota
	// Late results belong to a shard that already has an answer.
	Late
	// Repeated results belong to an attempt that already has a result.
	Repeated
	// Foreign results belong to another query, an unknown shard, or an attempt
	// that was not sent to that target.
	Foreign
	// OtherSnapshot results come from another snapshot than the query's.
	OtherSnapshot
	// Bad results have an invalid key range, a key range that overlaps that of
	// another shard, or rows that are not a JSON array. The shard stays open.
	Bad
	verdictCount
)

var verdictNames = [verdictCount]string{"Accepted", "Late", "Repeated", "Foreign", "OtherSnapshot", "Bad"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if v < 0 || v >= verdictCount {
		return "Invalid"
	}
	return verdictNames[v]
}

// Counts is the number of results by verdict.
type Counts [verdictCount]int

// Of returns the number of results with the verdict.
func (c Counts) Of(v Verdict) int { return c[v] }

// Dropped returns the number of results that were not accepted.
func (c Counts) Dropped() int {
	n := 0
	for v := Late; v < verdictCount; v++ {
		n += c[v]
	}
	return n
}

// Merger collects the results of one query at one snapshot. It is not safe for
// concurrent use. Reset prepares it for the next query.
type Merger struct {
	queryID    string
	snapshot   jujubegate.Snapshot
	openShards int
	shards     []shardState
	tree       rangeTree
	counts     Counts
}

type shardState struct {
	answered bool
	attempts []attempt
	rows     []byte
	keys     jujubegate.KeyRange
	// rejectedRange is the key range of a result that was dropped because it overlaps
	// the range of another shard.
	rejectedRange jujubegate.KeyRange
	// disputed is set for an answered shard whose range overlaps the rejected range
	// of an unanswered shard.
	disputed bool
}

type attempt struct {
	number int
	target jujubegate.Address
	ended  bool
}

// Reset starts a query over the given number of shards at the snapshot.
func (m *Merger) Reset(queryID string, snapshot jujubegate.Snapshot, shards int) {
	m.queryID, m.snapshot, m.openShards = queryID, snapshot, shards
	if cap(m.shards) < shards {
		m.shards = make([]shardState, shards)
	}
	m.shards = m.shards[:shards]
	for i := range m.shards {
		s := &m.shards[i]
		clear(s.attempts)
		*s = shardState{attempts: s.attempts[:0]}
	}
	m.tree.reset()
	m.counts = Counts{}
}

// AddAttempt adds an attempt. Only results of added attempts are accepted.
func (m *Merger) AddAttempt(sub jujubegate.SubRequest) {
	s := &m.shards[sub.Shard]
	s.attempts = append(s.attempts, attempt{number: sub.Attempt, target: sub.Target})
}

// Open reports whether the shard has no accepted result.
func (m *Merger) Open(shard int) bool { return !m.shards[shard].answered }

// OpenShards returns the number of shards without an accepted result.
func (m *Merger) OpenShards() int { return m.openShards }

// Counts returns the number of results by verdict since Reset.
func (m *Merger) Counts() Counts { return m.counts }

// Drop counts a result that the caller has dropped itself.
func (m *Merger) Drop(v Verdict) { m.counts[v]++ }

// AddRefusal ends an attempt that was refused. It returns Accepted if the attempt
// had no result before.
func (m *Merger) AddRefusal(queryID string, r *jujubegate.SubResult) Verdict {
	a, verdict := m.matchAttempt(queryID, r)
	if verdict != Accepted {
		m.counts[verdict]++
		return verdict
	}
	a.ended = true
	return Accepted
}

// matchAttempt returns the attempt that a result belongs to and Accepted, or the
// verdict on a result that must be dropped.
func (m *Merger) matchAttempt(queryID string, r *jujubegate.SubResult) (*attempt, Verdict) {
	if queryID != m.queryID || r.Shard < 0 || r.Shard >= len(m.shards) {
		return nil, Foreign
	}
	attempts := m.shards[r.Shard].attempts
	for i := range attempts {
		a := &attempts[i]
		if a.number != r.Attempt {
			continue
		}
		if r.Target != a.target {
			return nil, Foreign
		}
		if a.ended {
			return nil, Repeated
		}
		return a, Accepted
	}
	return nil, Foreign
}

// Add adds a result without a refusal. The error is set only if the verdict is Bad.
// The merger keeps a reference to the rows.
func (m *Merger) Add(queryID string, r *jujubegate.SubResult) (Verdict, error) {
	verdict, err := m.add(queryID, r)
	m.counts[verdict]++
	return verdict, err
}

func (m *Merger) add(queryID string, r *jujubegate.SubResult) (Verdict, error) {
	a, verdict := m.matchAttempt(queryID, r)
	if verdict != Accepted {
		return verdict, nil
	}
	a.ended = true
	s := &m.shards[r.Shard]
	if s.answered {
		return Late, nil
	}
	if r.Snapshot != m.snapshot {
		return OtherSnapshot, nil
	}
	if !r.Range.Valid() {
		return Bad, fmt.Errorf("shard %d answered for the invalid key range %v", r.Shard, r.Range)
	}
	if !validRows(r.Rows) {
		return Bad, fmt.Errorf("rows of shard %d are not a JSON array", r.Shard)
	}
	if other := m.tree.insert(r.Shard, r.Range); other >= 0 {
		s.rejectedRange = r.Range
		return Bad, fmt.Errorf("key range %v of shard %d overlaps %v of shard %d",
			r.Range, r.Shard, m.shards[other].keys, other)
	}
	s.answered, s.rows, s.keys = true, r.Rows, r.Range
	m.openShards--
	return Accepted, nil
}

// validRows reports whether the rows of a result are empty or a JSON array.
func validRows(rows []byte) bool {
	rows = bytes.TrimSpace(rows)
	return len(rows) == 0 || (rows[0] == '[' && json.Valid(rows))
}

// Merged is the union of the accepted results.
type Merged struct {
	Snapshot jujubegate.Snapshot
	Coverage jujubegate.Coverage
	// Rows is a JSON array with the rows of all shards in shard order.
	Rows []byte
	// Shards is the number of shards whose rows are included.
	Shards int
	// Keys is the number of keys in the ranges of those shards.
	Keys uint64
	// Disputed is the number of answered shards that are left out because their
	// ranges overlap a rejected range of an unanswered shard.
	Disputed int
}

// Merge merges the accepted results. If the result of an unanswered shard was
// dropped because of an overlap, either of the two shards may have reported a wrong
// range, so both are left out.
func (m *Merger) Merge() (Merged, error) {
	merged := Merged{Snapshot: m.snapshot}
	for i := range m.shards {
		m.shards[i].disputed = false
	}
	for i := range m.shards {
		if s := &m.shards[i]; !s.answered && s.rejectedRange.Valid() {
			m.tree.visitOverlapping(m.tree.root, s.rejectedRange, func(shard int) { m.shards[shard].disputed = true })
		}
	}
	size := len("[]")
	for i := range m.shards {
		if s := &m.shards[i]; s.disputed {
			merged.Disputed++
		} else if s.answered {
			merged.Shards++
			merged.Keys += s.keys.Len()
			size += len(s.rows) + 1
		}
	}
	var err error
	if merged.Coverage, err = m.buildCoverage(); err != nil {
		return Merged{}, err
	}
	merged.Rows = make([]byte, 1, size)
	merged.Rows[0] = '['
	for i := range m.shards {
		if s := &m.shards[i]; s.answered && !s.disputed {
			merged.Rows = appendRows(merged.Rows, s.rows)
		}
	}
	merged.Rows = append(merged.Rows, ']')
	return merged, nil
}

// buildCoverage returns the coverage of the shards that are not disputed. It joins
// adjacent ranges first, because Coverage.With copies all ranges on each call.
func (m *Merger) buildCoverage() (jujubegate.Coverage, error) {
	var coverage jujubegate.Coverage
	var joined jujubegate.KeyRange
	var firstErr error
	flush := func() {
		if joined.Valid() && firstErr == nil {
			coverage, firstErr = coverage.With(joined)
		}
	}
	m.tree.visitInOrder(m.tree.root, func(shard int, keys jujubegate.KeyRange) {
		if m.shards[shard].disputed {
			return
		}
		if joined.Valid() && joined.End == keys.Start {
			joined.End = keys.End
			return
		}
		flush()
		joined = keys
	})
	flush()
	return coverage, firstErr
}

// appendRows appends the elements of a JSON array to the unfinished array dst.
func appendRows(dst, rows []byte) []byte {
	rows = bytes.TrimSpace(rows)
	if len(rows) < len("[]") {
		return dst
	}
	rows = bytes.TrimSpace(rows[1 : len(rows)-1])
	if len(rows) == 0 {
		return dst
	}
	if len(dst) > 1 {
		dst = append(dst, ',')
	}
	return append(dst, rows...)
}
