package promoter

import (
	"slices"
	"time"
)

const (
	// bucketTime is the time for which attempts are counted together.
	bucketTime = 500 * time.Millisecond
	// settleAfter is the number of buckets after which one is judged: the next one is
	// then over.
	settleAfter = 2
	// priorAnswers is the weight of the rate that every version may have beside the
	// answers of the other versions.
	priorAnswers = 1
)

// counts are the attempts at some targets in one bucket.
type counts struct {
	// ended is the number of attempts that the target answered or broke off, and
	// failed those of them that failed.
	ended, failed int64
	// timed is the number of attempts of which it is known whether they were slow.
	timed, slow int64
}

func (c counts) add(other counts) counts {
	return counts{c.ended + other.ended, c.failed + other.failed, c.timed + other.timed, c.slow + other.slow}
}

// evidence returns the evidence of the hypotheses, compared with other attempts.
func (c counts) evidence(reference counts) (failureEvidence, slowEvidence float64) {
	return failing.evidence(c.ended, c.failed, reference.rate(failing)), slow.evidence(c.timed, c.slow, reference.rate(slow))
}

// rate returns the rate that a hypothesis is about.
func (c counts) rate(h hypothesis) float64 {
	n, hits := c.ended, c.failed
	if h == slow {
		n, hits = c.timed, c.slow
	}
	return (float64(hits) + priorAnswers*h.least) / (float64(n) + priorAnswers)
}

// side says which targets attempts went to.
type side int

// Sides of a move: the version of the move, its targets under the load that they will
// have once it is completed, and the other versions.
const (
	candidate side = iota
	candidateLoaded
	others
	sideCount
)

// bucket counts the attempts of one bucketTime by side.
type bucket struct {
	index   int64
	counts  [sideCount]counts
	settled bool
}

// series counts the attempts of this instance at the targets of a service on one
// route. Those at the version of the move are judged by what the other versions did in
// the same bucket and in the ones before and after it, so that a disturbance of all
// versions is no evidence, and one of another time hides none.
type series struct {
	tally   Tally
	buckets []bucket
	// uncounted is the number of attempts at the version that say nothing about it, and
	// others the number of those at other versions.
	uncounted, others int64
}

func bucketIndex(at time.Time) int64 { return at.UnixNano() / int64(bucketTime) }

// observe counts an attempt.
func (s *series) observe(now time.Time, o Observation, to side) {
	s.settle(bucketIndex(now) - settleAfter)
	var c counts
	if o.Ended {
		c.ended = 1
		if o.Failed {
			c.failed = 1
		}
	}
	if isSlow := o.slow(); o.Typical > 0 && !o.Cold && (o.Ended || isSlow) {
		c.timed = 1
		if isSlow {
			c.slow = 1
		}
	}
	b := s.bucket(bucketIndex(now))
	b.counts[to] = b.counts[to].add(c)
	switch {
	case to == others:
		s.others++
	case c == (counts{}):
		s.uncounted++
	}
}

// bucket returns an unsettled bucket with an index, which is not before the last one.
func (s *series) bucket(index int64) *bucket {
	if n := len(s.buckets); n == 0 || s.buckets[n-1].index < index || s.buckets[n-1].settled {
		s.buckets = append(s.buckets, bucket{index: index})
	}
	return &s.buckets[len(s.buckets)-1]
}

// settle judges the buckets up to an index, and removes those that are not needed any
// more.
func (s *series) settle(last int64) {
	for i := range s.buckets {
		b := &s.buckets[i]
		if b.settled || b.index > last {
			continue
		}
		b.settled = true
		s.judge(b, s.othersIn(b.index-1, b.index+1))
	}
	s.buckets = slices.DeleteFunc(s.buckets, func(b bucket) bool { return b.index+settleAfter < last })
}

// judge adds the evidence of the answers in a bucket, compared with those of the other
// versions.
func (s *series) judge(b *bucket, reference counts) {
	all := b.counts[candidate].add(b.counts[candidateLoaded])
	s.tally.Answers += max(all.ended, all.timed)
	s.tally.Failures += all.failed
	s.tally.Slow += all.slow
	failureEvidence, slowEvidence := all.evidence(reference)
	s.tally.FailureEvidence += failureEvidence
	s.tally.SlowEvidence += slowEvidence
	failureEvidence, slowEvidence = b.counts[candidateLoaded].evidence(reference)
	s.tally.LoadedFailureEvidence += failureEvidence
	s.tally.LoadedSlowEvidence += slowEvidence
}

// othersIn returns the attempts at the other versions in a range of buckets.
func (s *series) othersIn(from, to int64) counts {
	var sum counts
	for _, b := range s.buckets {
		if b.index >= from && b.index <= to {
			sum = sum.add(b.counts[others])
		}
	}
	return sum
}

// reference returns the latest attempts at the other versions.
func (s *series) reference(now time.Time) counts {
	current := bucketIndex(now)
	return s.othersIn(current-settleAfter, current)
}
