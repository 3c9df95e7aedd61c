package jujubegate

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestCoverageRejectsOverlap(t *testing.T) {
	// Guards against counting a key twice when the answers of two partition maps
	// are mixed.
	cases := []struct {
		name   string
		ranges []KeyRange
		fails  bool
	}{
		{"adjacent", []KeyRange{{0, 10}, {10, 20}}, false},
		{"reverse order", []KeyRange{{10, 20}, {0, 10}}, false},
		{"duplicate", []KeyRange{{0, 10}, {0, 10}}, true},
		{"overlaps the start of a range", []KeyRange{{5, 15}, {0, 6}}, true},
		{"overlaps the end of a range", []KeyRange{{5, 15}, {14, 16}}, true},
		{"enclosing", []KeyRange{{5, 15}, {0, 20}}, true},
		{"empty", []KeyRange{{5, 5}}, true},
		{"past the key space", []KeyRange{{5, KeySpace + 1}}, true},
	}
	Convey("Adding ranges to a coverage", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var coverage Coverage
				var err error
				for _, r := range c.ranges {
					if coverage, err = coverage.With(r); err != nil {
						break
					}
				}
				So(err != nil, ShouldEqual, c.fails)
			})
		}
	})
}

func TestCoverageMatchesBitmap(t *testing.T) {
	// Compares Coverage with a bitmap of equal slices of the key space.
	const sliceCount = 64
	rapid.Check(t, func(t *rapid.T) {
		var coverage Coverage
		var covered [sliceCount]bool
		for range rapid.IntRange(0, 20).Draw(t, "ranges") {
			start := rapid.IntRange(0, sliceCount-1).Draw(t, "start")
			end := rapid.IntRange(start+1, sliceCount).Draw(t, "end")
			overlaps := false
			for k := start; k < end; k++ {
				overlaps = overlaps || covered[k]
			}
			const width = KeySpace / sliceCount
			next, err := coverage.With(KeyRange{uint64(start) * width, uint64(end) * width})
			if (err != nil) != overlaps {
				t.Fatalf("overlap %v, error %v", overlaps, err)
			}
			coverage = next
			for k := start; k < end && !overlaps; k++ {
				covered[k] = true
			}
		}
		count := 0
		for _, c := range covered {
			if c {
				count++
			}
		}
		if got := coverage.Fraction(); got != float64(count)/sliceCount {
			t.Fatalf("fraction %v, want %v", got, float64(count)/sliceCount)
		}
		if coverage.Whole() != (count == sliceCount) {
			t.Fatalf("whole %v with %d of %d", coverage.Whole(), count, sliceCount)
		}
	})
}
