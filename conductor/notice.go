package conductor

import (
	"google.golang.org/protobuf/proto"

	"jujubegate.example/jujubegate/wire"
)

// localNotices returns what this instance tells its peers of targets, versions and
// requests, or nil if there is nothing.
func (c *Conductor) localNotices(whole bool) *wire.Notices {
	n := &wire.Notices{
		Tallies: c.promoter.Tallies(whole), Verdicts: c.promoter.Verdicts(),
		Screenings: c.screener.News(whole), Departures: c.tracker.Departures(whole),
	}
	if proto.Size(n) == 0 {
		return nil
	}
	return n
}

// mergeNotices merges what a peer told.
func (c *Conductor) mergeNotices(n *wire.Notices) {
	c.promoter.MergeVerdicts(n.Verdicts)
	c.promoter.MergeTallies(n.Tallies)
	c.screener.Merge(n.Screenings)
	c.tracker.MergeDepartures(n.Departures)
}
