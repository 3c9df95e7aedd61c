package merger

import (
	"bytes"
	"encoding/json"
	"fmt"

	"jujubegate.example/jujubegate"
)

// Verdict says what became of one sub-result.
type Verdict int

// Verdicts on sub-results.
const (
	// Accepted results are part of the answer.
	Accepted Verdict = iota
	// Late results belong to a shard that is already answered.
	Late
	// Repeated results were already delivered for the same attempt.
	Repeated
	// Foreign results name another query, an unknown shard or an attempt that
	// was never sent to that target.
	Foreign
	// OtherSnapshot results come from another snapshot than the query's.
	OtherSnapshot
	// Bad results have an invalid or overlapping key range or rows that are
	// not a JSON array; the shard stays open.
	Bad
	// verdictCount is the number of verdicts.
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

// Dropped returns the number of results that are no part of an answer.
func (c Counts) Dropped() int {
	n := 0
	for v := Late; v < verdictCount; v++ {
		n += c[v]
	}
	return n
}

// Merger collects the results of one query from one snapshot. It is used from
// one goroutine, and reused with Reset.
type Merger struct {
	queryID  string
	snapshot jujubegate.Snapshot
	open     int
	shards   []shardState
	tree     rangeTree
	counts   Counts
}

type shardState struct {
	answered bool
	attempts []attempt
	rows     []byte
	keys     jujubegate.KeyRange
	// claim is a range that was refused because it overlaps another shard's.
	claim jujubegate.KeyRange
	// disputed marks an answered shard that another shard's claim overlaps.
	disputed bool
}

type attempt struct {
	number  int
	target  jujubegate.Address
	settled bool
}

// Reset starts a query over the number of shards at the snapshot.
func (m *Merger) Reset(queryID string, snapshot jujubegate.Snapshot, shards int) {
	m.queryID, m.snapshot, m.open = queryID, snapshot, shards
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

// AddAttempt notes an attempt. Only results of noted attempts are accepted.
func (m *Merger) AddAttempt(sub jujubegate.SubRequest) {
	s := &m.shards[sub.Shard]
	s.attempts = append(s.attempts, attempt{number: sub.Attempt, target: sub.Target})
}

// Open reports whether the shard has no answer yet.
func (m *Merger) Open(shard int) bool { return !m.shards[shard].answered }

// OpenShards returns the number of shards without an answer.
func (m *Merger) OpenShards() int { return m.open }

// Counts returns the number of results by verdict since Reset.
func (m *Merger) Counts() Counts { return m.counts }

// Drop counts a result that is known to be no part of the answer.
func (m *Merger) Drop(v Verdict) { m.counts[v]++ }

// AddRefusal ends an attempt that was refused. It returns Accepted if the refusal
// belongs to an attempt that had no end yet.
func (m *Merger) AddRefusal(queryID string, r *jujubegate.SubResult) Verdict {
	a, verdict := m.match(queryID, r)
	if verdict != Accepted {
		m.counts[verdict]++
		return verdict
	}
	a.settled = true
	return Accepted
}

func (m *Merger) match(queryID string, r *jujubegate.SubResult) (*attempt, Verdict) {
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
		if a.settled {
			return nil, Repeated
		}
		return a, Accepted
	}
	return nil, Foreign
}

// Add offers the successful result of a shard. The error describes a Bad
// result; other dropped results have none. The rows are kept without a copy.
func (m *Merger) Add(queryID string, r *jujubegate.SubResult) (Verdict, error) {
	verdict, err := m.add(queryID, r)
	m.counts[verdict]++
	return verdict, err
}

func (m *Merger) add(queryID string, r *jujubegate.SubResult) (Verdict, error) {
	a, verdict := m.match(queryID, r)
	if verdict != Accepted {
		return verdict, nil
	}
	a.settled = true
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
	if !isArray(r.Rows) {
		return Bad, fmt.Errorf("rows of shard %d are not a JSON array", r.Shard)
	}
	if other := m.tree.insert(r.Shard, r.Range); other >= 0 {
		s.claim = r.Range
		return Bad, fmt.Errorf("key range %v of shard %d overlaps %v of shard %d",
			r.Range, r.Shard, m.shards[other].keys, other)
	}
	s.answered, s.rows, s.keys = true, r.Rows, r.Range
	m.open--
	return Accepted, nil
}

func isArray(rows []byte) bool {
	rows = bytes.TrimSpace(rows)
	return len(rows) == 0 || (rows[0] == '[' && json.Valid(rows))
}

// Merged is the union of the accepted results.
type Merged struct {
	Snapshot jujubegate.Snapshot
	Coverage jujubegate.Coverage
	// Rows is a JSON array with the rows of all shards in shard order.
	Rows []byte
	// Shards is the number of shards that the rows come from.
	Shards int
	// Keys is the number of keys of those shards.
	Keys uint64
	// Disputed is the number of answered shards that are left out because an
	// unanswered shard claimed some of their keys.
	Disputed int
}

// Merge returns the answer from the results accepted so far. If an unanswered
// shard's last result was refused for an overlap, it is unknown which of the
// two shards reported a wrong range, so neither is part of the answer.
func (m *Merger) Merge() (Merged, error) {
	merged := Merged{Snapshot: m.snapshot}
	for i := range m.shards {
		m.shards[i].disputed = false
	}
	for i := range m.shards {
		if s := &m.shards[i]; !s.answered && s.claim.Valid() {
			m.tree.overlapping(m.tree.root, s.claim, func(shard int) { m.shards[shard].disputed = true })
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
	if merged.Coverage, err = m.coverage(); err != nil {
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

// coverage joins adjacent ranges before it builds the coverage, since
// Coverage.With copies all ranges on each call.
func (m *Merger) coverage() (jujubegate.Coverage, error) {
	var coverage jujubegate.Coverage
	var run jujubegate.KeyRange
	var failed error
	add := func() {
		if run.Valid() && failed == nil {
			coverage, failed = coverage.With(run)
		}
	}
	m.tree.each(m.tree.root, func(shard int, keys jujubegate.KeyRange) {
		if m.shards[shard].disputed {
			return
		}
		if run.Valid() && run.End == keys.Start {
			run.End = keys.End
			return
		}
		add()
		run = keys
	})
	add()
	return coverage, failed
}

func appendRows(to, rows []byte) []byte {
	rows = bytes.TrimSpace(rows)
	if len(rows) < len("[]") {
		return to
	}
	rows = bytes.TrimSpace(rows[1 : len(rows)-1])
	if len(rows) == 0 {
		return to
	}
	if len(to) > 1 {
		to = append(to, ',')
	}
	return append(to, rows...)
}
