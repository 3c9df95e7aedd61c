package measurer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	// Guards against a wrong slope: figures at the future size are extrapolated from it.
	cases := []struct {
		name             string
		samples          []Sample
		slope, intercept float64
		bad              bool
	}{
		{"no sample", nil, 0, 0, false},
		{"one size", []Sample{{8, []float64{3}}}, 0, 3, false},
		{"a line", []Sample{{8, []float64{17}}, {64, []float64{129}}, {256, []float64{513}}}, 2, 1, false},
		{"medians of three", []Sample{{1, []float64{9, 1, 2}}, {2, []float64{4, 3, 99}}, {3, []float64{6, 6, 0}}}, 2, 0, false},
		{"a square", []Sample{{1, []float64{1}}, {2, []float64{4}}, {3, []float64{9}}, {10, []float64{100}}}, 11.6, -17.9, true},
	}
	Convey("The line is the least-squares fit", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				l := Fit(c.samples)
				So(l.Slope, ShouldAlmostEqual, c.slope, 0.1)
				So(l.Intercept, ShouldAlmostEqual, c.intercept, 0.1)
				So(l.Error > 0.05, ShouldEqual, c.bad)
			})
		}
	})
}

func TestCapacityValue(t *testing.T) {
	// Guards against extrapolation where the future size itself was measured, and
	// against an inverted comparison with the budget.
	curve := []Sample{{1, []float64{1}}, {2, []float64{4}}, {10, []float64{100}}}
	cases := []struct {
		name    string
		c       CapacityFigure
		value   float64
		verdict string
	}{
		{"measured", CapacityFigure{Samples: curve, Future: 10, Budget: 99}, 100, "Red"},
		{"extrapolated", CapacityFigure{Samples: []Sample{{1, []float64{2}}, {2, []float64{4}}}, Future: 10, Budget: 20}, 20, "Pass"},
		{"no budget", CapacityFigure{Samples: curve, Future: 2}, 4, "-"},
	}
	Convey("The value at the future size", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(c.c.Value(), ShouldAlmostEqual, c.value)
				So(c.c.Verdict(), ShouldEqual, c.verdict)
			})
		}
	})
}
