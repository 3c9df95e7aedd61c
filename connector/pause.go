package connector

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds the pause that a target can ask for.
const maxPause = time.Hour

// Pause is the time for which a target that turned a request away wants nothing from
// this instance.
type Pause struct {
	// Asked is set if the answer asks for a pause, and Valid if that can be read.
	Asked, Valid bool
	For          time.Duration
}

// parsePause returns the pause that an answer asks for: seconds in Retry-After of a
// 503. If there are several valid ones, the longest counts. One that is negative, not a
// finite number or a date is not valid.
func parsePause(status int, h http.Header) Pause {
	var p Pause
	if status != http.StatusServiceUnavailable {
		return p
	}
	for _, text := range h.Values("Retry-After") {
		p.Asked = true
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || seconds < 0 || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
			continue
		}
		p.Valid = true
		p.For = max(p.For, time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)))
	}
	return p
}
