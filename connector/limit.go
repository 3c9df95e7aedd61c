package connector

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Limit is the limit that a target names in an answer: the requests per second that
// it takes from all instances together.
type Limit struct {
	// Named is set if the answer names a limit, and Valid if that can be read.
	Named, Valid bool
	PerSecond    float64
}

// parseLimit returns the limit in the headers of an answer. If there are several
// valid ones, the lowest counts. One that is negative or not a finite number is not
// valid.
func parseLimit(h http.Header, name string) Limit {
	var l Limit
	for _, text := range h.Values(name) {
		l.Named = true
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		if !l.Valid || value < l.PerSecond {
			l.Valid, l.PerSecond = true, value
		}
	}
	return l
}
