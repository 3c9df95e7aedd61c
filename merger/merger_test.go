package merger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// caseCount returns the number of random cases: JUJUBEGATE_CASES, or the default if
// that is not set.
func caseCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("JUJUBEGATE_CASES")); err == nil && n > 0 {
		return n
	}
	return defaultCount
}

func TestChooserMatchesNaive(t *testing.T) {
	// Guards against the choice of a snapshot that some shard lacks although all
	// shards hold another one, also with more than maxScannedSnapshots snapshots.
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		highest := rapid.SampledFrom([]int64{3, 6, 60}).Draw(t, "highest")
		held := make([][][]jujubegate.Snapshot, shards)
		var c SnapshotChooser
		c.Reset(3)
		c.Add(0, []jujubegate.Snapshot{99})
		c.Reset(shards)
		for i := range held {
			for range rapid.IntRange(0, 3).Draw(t, "replicas") {
				list := rapid.SliceOfN(rapid.Int64Range(1, highest), 0, 12).Draw(t, "held")
				snapshots := make([]jujubegate.Snapshot, len(list))
				for j, s := range list {
					snapshots[j] = jujubegate.Snapshot(s)
				}
				held[i] = append(held[i], snapshots)
				c.Add(i, snapshots)
			}
		}
		after := jujubegate.Snapshot(rapid.Int64Range(0, 3).Draw(t, "after"))
		got, ok := c.Newest(after)
		want, found := naiveChoice(held, after, jujubegate.Snapshot(highest))
		if ok != found || got != want {
			t.Fatalf("chose %+v (%v), want %+v (%v)", got, ok, want, found)
		}
	})
}

// naiveChoice checks every snapshot number on every shard.
func naiveChoice(held [][][]jujubegate.Snapshot, after, highest jujubegate.Snapshot) (SnapshotChoice, bool) {
	var best SnapshotChoice
	found := false
	for s := after + 1; s <= highest; s++ {
		n := 0
		for _, replicas := range held {
			if slices.ContainsFunc(replicas, func(r []jujubegate.Snapshot) bool { return slices.Contains(r, s) }) {
				n++
			}
		}
		if n > 0 && n >= best.Shards {
			best, found = SnapshotChoice{Snapshot: s, Shards: n, Complete: n == len(held)}, true
		}
	}
	return best, found
}

func TestVerdicts(t *testing.T) {
	// Guards against an invalid result that is accepted or counted under another
	// verdict.
	whole := jujubegate.KeyRange{Start: 0, End: jujubegate.KeySpace}
	good := jujubegate.SubResult{Shard: 0, Attempt: 1, Target: "a", Snapshot: 7, Range: whole, Rows: []byte(`[1]`)}
	with := func(change func(r *jujubegate.SubResult)) jujubegate.SubResult {
		r := good
		change(&r)
		return r
	}
	cases := []struct {
		name    string
		query   string
		before  []jujubegate.SubResult
		result  jujubegate.SubResult
		verdict Verdict
	}{
		{"fits", "q", nil, good, Accepted},
		{"another query", "other", nil, good, Foreign},
		{"unknown shard", "q", nil, with(func(r *jujubegate.SubResult) { r.Shard = 2 }), Foreign},
		{"negative shard", "q", nil, with(func(r *jujubegate.SubResult) { r.Shard = -1 }), Foreign},
		{"attempt not sent", "q", nil, with(func(r *jujubegate.SubResult) { r.Attempt = 3 }), Foreign},
		{"another target", "q", nil, with(func(r *jujubegate.SubResult) { r.Target = "z" }), Foreign},
		{"another snapshot", "q", nil, with(func(r *jujubegate.SubResult) { r.Snapshot = 6 }), OtherSnapshot},
		{"same twice", "q", []jujubegate.SubResult{good}, good, Repeated},
		{"slower attempt", "q", []jujubegate.SubResult{good}, with(func(r *jujubegate.SubResult) { r.Attempt, r.Target = 2, "b" }), Late},
		{"empty range", "q", nil, with(func(r *jujubegate.SubResult) { r.Range.End = 0 }), Bad},
		{"range beyond the key space", "q", nil, with(func(r *jujubegate.SubResult) { r.Range.End++ }), Bad},
		{"overlap", "q", []jujubegate.SubResult{good}, with(func(r *jujubegate.SubResult) { r.Shard = 1 }), Bad},
		{"rows are an object", "q", nil, with(func(r *jujubegate.SubResult) { r.Rows = []byte(`{}`) }), Bad},
		{"rows are cut off", "q", nil, with(func(r *jujubegate.SubResult) { r.Rows = []byte(`[1,`) }), Bad},
		{"rows hold two arrays", "q", nil, with(func(r *jujubegate.SubResult) { r.Rows = []byte(`[1][2]`) }), Bad},
	}
	Convey("A result", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var m Merger
				m.Reset("q", 7, 2)
				for shard := range 2 {
					m.AddAttempt(jujubegate.SubRequest{Shard: shard, Attempt: 1, Target: "a"})
					m.AddAttempt(jujubegate.SubRequest{Shard: shard, Attempt: 2, Target: "b"})
				}
				for _, r := range c.before {
					m.Add("q", &r)
				}
				verdict, err := m.Add(c.query, &c.result)
				So(verdict, ShouldEqual, c.verdict)
				So(err != nil, ShouldEqual, c.verdict == Bad)
				So(m.Counts().Of(c.verdict), ShouldBeGreaterThan, 0)
			})
		}
	})
}

func TestDisputedRangeIsNotCovered(t *testing.T) {
	// Guards against wrong coverage when two shards report overlapping ranges and it
	// is unknown which of them is right.
	Convey("A shard whose range overlaps that of an answered shard", t, func() {
		var m Merger
		m.Reset("q", 1, 3)
		quarter := jujubegate.KeySpace / 4
		ranges := []jujubegate.KeyRange{{Start: 0, End: 2 * quarter}, {Start: quarter, End: 3 * quarter}, {Start: 3 * quarter, End: jujubegate.KeySpace}}
		verdicts := make([]Verdict, len(ranges))
		for i, keys := range ranges {
			m.AddAttempt(jujubegate.SubRequest{Shard: i, Attempt: 1})
			verdicts[i], _ = m.Add("q", &jujubegate.SubResult{Shard: i, Attempt: 1, Snapshot: 1, Range: keys, Rows: fmt.Appendf(nil, " [ %d ] ", i)})
		}
		So(verdicts, ShouldResemble, []Verdict{Accepted, Bad, Accepted})
		merged, err := m.Merge()
		So(err, ShouldBeNil)
		So(string(merged.Rows), ShouldEqual, `[2]`)
		So(merged.Disputed, ShouldEqual, 1)
		So(merged.Coverage.Missing(), ShouldResemble, []jujubegate.KeyRange{{Start: 0, End: 3 * quarter}})
	})
}

// slots is the number of equal parts of the key space. Random ranges consist of whole
// parts.
const slots = 32

// model is a simple reference implementation of Merger. It keeps unsorted lists.
type model struct {
	snapshot       jujubegate.Snapshot
	sent           []jujubegate.SubRequest
	ended          []jujubegate.SubRequest
	accepted       []jujubegate.SubResult
	rejectedRanges map[int]jujubegate.KeyRange
}

func (m *model) add(query string, r *jujubegate.SubResult) Verdict {
	sub := jujubegate.SubRequest{Shard: r.Shard, Attempt: r.Attempt, Target: r.Target}
	switch {
	case query != "q" || !slices.Contains(m.sent, sub):
		return Foreign
	case slices.Contains(m.ended, sub):
		return Repeated
	}
	m.ended = append(m.ended, sub)
	for _, a := range m.accepted {
		if a.Shard == r.Shard {
			return Late
		}
	}
	if r.Snapshot != m.snapshot {
		return OtherSnapshot
	}
	if !r.Range.Valid() || !json.Valid(r.Rows) {
		return Bad
	}
	for _, a := range m.accepted {
		if a.Range.Start < r.Range.End && r.Range.Start < a.Range.End {
			m.rejectedRanges[r.Shard] = r.Range
			return Bad
		}
	}
	m.accepted = append(m.accepted, *r)
	return Accepted
}

// answer returns the merged rows in shard order and the covered slots.
func (m *model) answer(shards int) (rows []int, covered [slots]bool) {
	rows = []int{}
	for shard := range shards {
		for _, a := range m.accepted {
			if a.Shard != shard || m.disputed(a.Range) {
				continue
			}
			var own []int
			_ = json.Unmarshal(a.Rows, &own)
			rows = append(rows, own...)
			for k := a.Range.Start / (jujubegate.KeySpace / slots); k < a.Range.End/(jujubegate.KeySpace/slots); k++ {
				covered[k] = true
			}
		}
	}
	return rows, covered
}

// disputed reports whether a rejected range of an unanswered shard overlaps the keys.
func (m *model) disputed(keys jujubegate.KeyRange) bool {
	for shard, rejected := range m.rejectedRanges {
		open := !slices.ContainsFunc(m.accepted, func(a jujubegate.SubResult) bool { return a.Shard == shard })
		if open && rejected.Start < keys.End && keys.Start < rejected.End {
			return true
		}
	}
	return false
}

// randomCase adds random results to a merger and to the model, and returns the first
// difference. corrupt changes each result before it is added to the merger.
func randomCase(random *rand.Rand, m *Merger, corrupt func(query *string, r *jujubegate.SubResult)) error {
	shards := 1 + random.IntN(6)
	ref := &model{snapshot: jujubegate.Snapshot(random.IntN(3)), rejectedRanges: make(map[int]jujubegate.KeyRange)}
	m.Reset("q", ref.snapshot, shards)
	for range random.IntN(14) {
		sub := jujubegate.SubRequest{
			Shard: random.IntN(shards), Attempt: 1 + len(ref.sent),
			Target: jujubegate.Address([]string{"a", "b"}[random.IntN(2)]),
		}
		ref.sent = append(ref.sent, sub)
		m.AddAttempt(sub)
	}
	for range random.IntN(24) {
		query, r := randomResult(random, ref, shards)
		want := ref.add(query, &r)
		corrupt(&query, &r)
		if got, _ := m.Add(query, &r); got != want {
			return fmt.Errorf("result %+v: verdict %v, want %v", r, got, want)
		}
	}
	return compare(m, ref, shards)
}

// randomResult returns a query ID and a result, usually of an attempt that was sent and
// sometimes with a fault.
func randomResult(random *rand.Rand, ref *model, shards int) (string, jujubegate.SubResult) {
	start := random.IntN(slots)
	end := start + 1 + random.IntN(slots-start)
	if random.IntN(2) == 0 {
		end = start + 1
	}
	const width = jujubegate.KeySpace / slots
	r := jujubegate.SubResult{
		Shard: random.IntN(shards+1) - random.IntN(2), Attempt: 1 + random.IntN(16), Target: "a",
		Snapshot: ref.snapshot, Range: jujubegate.KeyRange{Start: uint64(start) * width, End: uint64(end) * width},
		Rows: fmt.Appendf(nil, "[%d, %d]", random.IntN(1000), random.IntN(1000)),
	}
	if len(ref.sent) > 0 && random.IntN(8) > 0 {
		sub := ref.sent[random.IntN(len(ref.sent))]
		r.Shard, r.Attempt, r.Target = sub.Shard, sub.Attempt, sub.Target
	}
	switch random.IntN(16) {
	case 0:
		r.Snapshot++
	case 1:
		r.Range.End = r.Range.Start
	case 2:
		r.Rows = r.Rows[:len(r.Rows)-1]
	case 3:
		r.Rows = []byte("[]")
	case 4:
		return "other", r
	}
	return "q", r
}

// compare returns an error if the merged answer differs from that of the model.
func compare(m *Merger, ref *model, shards int) error {
	merged, err := m.Merge()
	if err != nil {
		return err
	}
	var rows []int
	if err := json.Unmarshal(merged.Rows, &rows); err != nil {
		return fmt.Errorf("rows %s: %w", merged.Rows, err)
	}
	want, covered := ref.answer(shards)
	if !slices.Equal(rows, want) {
		return fmt.Errorf("rows %v, want %v", rows, want)
	}
	if m.OpenShards() != shards-len(ref.accepted) {
		return fmt.Errorf("%d shards open, want %d", m.OpenShards(), shards-len(ref.accepted))
	}
	missing := [slots]bool{}
	for _, keys := range merged.Coverage.Missing() {
		for k := keys.Start / (jujubegate.KeySpace / slots); k < keys.End/(jujubegate.KeySpace/slots); k++ {
			missing[k] = true
		}
	}
	for k := range covered {
		if covered[k] == missing[k] {
			return errors.New("coverage differs from the accepted ranges")
		}
	}
	return nil
}

func TestMergerMatchesModel(t *testing.T) {
	// Guards against mixed snapshots, wrong coverage and rows of other queries, with
	// late, repeated, foreign and overlapping results in random order.
	var m Merger
	for i := range caseCount(20_000) {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		if err := randomCase(random, &m, func(*string, *jujubegate.SubResult) {}); err != nil {
			t.Fatalf("case %d: %v", i, err)
		}
	}
}

func TestModelCatchesBrokenMergers(t *testing.T) {
	// Negative control: a merger must differ from the model if a fault is hidden
	// from it.
	cases := []struct {
		name    string
		corrupt func(query *string, r *jujubegate.SubResult)
	}{
		{"ignores the query", func(query *string, _ *jujubegate.SubResult) { *query = "q" }},
		{"ignores the snapshot", func(_ *string, r *jujubegate.SubResult) { r.Snapshot = 0 }},
		{"ignores the target", func(_ *string, r *jujubegate.SubResult) { r.Target = "a" }},
		{"ignores overlaps", func(_ *string, r *jujubegate.SubResult) {
			r.Range = jujubegate.KeyRange{Start: uint64(r.Shard+1) << 20, End: uint64(r.Shard+1)<<20 + 1}
		}},
	}
	Convey("A merger that", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var m Merger
				var err error
				for i := 0; i < 2000 && err == nil; i++ {
					err = randomCase(rand.New(rand.NewPCG(1, uint64(i))), &m, c.corrupt)
				}
				So(err, ShouldNotBeNil)
			})
		}
	})
}
