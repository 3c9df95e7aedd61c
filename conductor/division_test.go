package conductor

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/gossiper"
)

// fleetOf returns n instances, the first strong of which have four times the
// capacity of the others.
func fleetOf(n, strong int) []gossiper.Peer {
	fleet := make([]gossiper.Peer, n)
	for i := range fleet {
		fleet[i] = gossiper.Peer{
			Instance:   jujubegate.Instance(fmt.Sprint("entry-", i)),
			DataCentre: jujubegate.DataCentre(fmt.Sprint("dc-", i%3)), Capacity: 200, Serving: true,
		}
		if i < strong {
			fleet[i].Capacity = 800
		}
	}
	return fleet
}

func TestDivision(t *testing.T) {
	// Guards against instances that together exceed a limit of a target. Fleets
	// with more instances than spare requests exceeded the cold limit, since each
	// instance could send one request at once.
	const factor, allowance = 1.5, 5
	Convey("The shares of all instances sum up to at most the limits", t, func() {
		for _, c := range []struct{ instances, strong, notLive int }{
			{1, 0, 0}, {3, 0, 0}, {7, 0, 2}, {8, 8, 0}, {24, 0, 0}, {24, 0, 9}, {82, 20, 0}, {82, 20, 30}, {30, 6, 0}, {1200, 300, 100},
		} {
			fleet := fleetOf(c.instances, c.strong)
			for _, rate := range []float64{1, 3, 8, 40} {
				spare := rate*(factor-1) + allowance
				share, sum, senders := 0.0, 0.0, 0
				for _, p := range fleet {
					d := newDivision(p.Instance, fleet, c.notLive)
					share += d.share
					if part := d.coldPart("target", spare); part > 0 {
						sum += rate*part + float64(max(int(spare*part), 1))
						senders++
					}
				}
				So(share, ShouldBeLessThanOrEqualTo, 1.0001)
				So(sum, ShouldBeLessThanOrEqualTo, rate*factor+allowance)
				So(senders, ShouldBeGreaterThan, 0)
			}
		}
	})
}
