package measurer

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Sample holds the values measured at one size, one per repetition.
type Sample struct {
	Size   float64
	Values []float64
}

// Median returns the middle value, or the lower of the two middle values.
func (s Sample) Median() float64 {
	sorted := slices.Sorted(slices.Values(s.Values))
	return sorted[(len(sorted)-1)/2]
}

// Min returns the smallest value.
func (s Sample) Min() float64 { return slices.Min(s.Values) }

// Max returns the largest value.
func (s Sample) Max() float64 { return slices.Max(s.Values) }

// String returns the size and the range of the values.
func (s Sample) String() string {
	low, high := round3(s.Min()), round3(s.Max())
	if low == high {
		return fmt.Sprintf("%s: %s", number(s.Size), low)
	}
	return fmt.Sprintf("%s: %s to %s", number(s.Size), low, high)
}

// Line is a straight line fitted to the medians of samples.
type Line struct {
	Slope, Intercept float64
	// Error is the largest distance of a median from the line, as a fraction of
	// the largest median. A line with a large error must not be extrapolated.
	Error float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through the medians. With fewer than two
// different sizes its slope is 0.
func Fit(samples []Sample) Line {
	var n, meanX, meanY float64
	for _, s := range samples {
		n++
		meanX += s.Size
		meanY += s.Median()
	}
	if n == 0 {
		return Line{}
	}
	meanX, meanY = meanX/n, meanY/n
	var covariance, variance, largest float64
	for _, s := range samples {
		covariance += (s.Size - meanX) * (s.Median() - meanY)
		variance += (s.Size - meanX) * (s.Size - meanX)
		largest = max(largest, math.Abs(s.Median()))
	}
	l := Line{Intercept: meanY}
	if variance > 0 {
		l.Slope = covariance / variance
		l.Intercept = meanY - l.Slope*meanX
	}
	if largest > 0 {
		for _, s := range samples {
			l.Error = max(l.Error, math.Abs(s.Median()-l.At(s.Size))/largest)
		}
	}
	return l
}

// CapacityFigure is a figure measured at several sizes and extrapolated to the
// future one.
type CapacityFigure struct {
	Role string
	Name string
	Unit string
	// Per names the unit of the sizes, such as members or targets.
	Per     string
	Samples []Sample
	// Future is the size for which the value is computed. If a sample has this
	// size, its median is used instead of the line.
	Future float64
	// Budget is in the unit of the samples; 0 if there is none.
	Budget float64
}

// Value returns the value at the future size.
func (c CapacityFigure) Value() float64 {
	for _, s := range c.Samples {
		if s.Size == c.Future {
			return s.Median()
		}
	}
	return Fit(c.Samples).At(c.Future)
}

// Verdict returns Pass or Red, or "-" if there is no budget.
func (c CapacityFigure) Verdict() string {
	switch {
	case c.Budget == 0:
		return "-"
	case c.Value() <= c.Budget:
		return string(Pass)
	}
	return string(Red)
}

// Row returns the figure as a row of a Markdown table.
func (c CapacityFigure) Row() string {
	measured := make([]string, len(c.Samples))
	for i, s := range c.Samples {
		measured[i] = s.String()
	}
	line := Fit(c.Samples)
	budget := "-"
	if c.Budget > 0 {
		budget = round3(c.Budget)
	}
	return fmt.Sprintf("| %s | %s, %s | %s; %s | %s + %s (%.0f%%) | %s: %s | %s | %s |",
		c.Role, c.Name, c.Unit, c.Per, strings.Join(measured, ", "), round3(line.Intercept), round3(line.Slope),
		100*line.Error, number(c.Future), round3(c.Value()), budget, c.Verdict())
}

// round3 returns a number with three significant digits, or without decimals from
// 100 on.
func round3(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
