package jujubegate

import "math"

const (
	// tellsPerDoubling is how often an instance tells a change to others for each
	// doubling of the fleet. Fewer instances learn each change if it is told less often.
	tellsPerDoubling = 1.5
	// HeardTells is how many of these tells are saved when another instance turns out to
	// know the change already.
	HeardTells = 2
)

// Tells returns how often an instance tells a change to others in a fleet of the given
// size.
func Tells(fleet int) int {
	return int(math.Ceil(tellsPerDoubling * math.Log2(float64(fleet+1))))
}
