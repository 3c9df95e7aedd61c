package conductor

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/screener"
)

// blockedName is the name of the object that holds the blocked requests.
const blockedName = "all"

// loadBlocked reads the blocked requests from the store.
func (c *Conductor) loadBlocked(ctx context.Context) ([]screener.Saved, error) {
	l, err := c.adapter.Source.List(ctx, c.adapter.Kinds.Blocked)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", c.adapter.Kinds.Blocked, err)
	}
	for _, o := range l.Objects {
		if o.Name != blockedName {
			continue
		}
		list, err := c.adapter.DecodeBlocked(o)
		if err != nil {
			// What can be read counts, and the next change replaces the rest.
			c.log.Warn("conductor: blocked requests cannot be read", zap.Int("Read", len(list)), zap.Error(err))
		}
		return list, nil
	}
	return nil, nil
}

// saveBlocked writes the blocked requests to the store.
func (c *Conductor) saveBlocked(ctx context.Context, list []screener.Saved) error {
	value, err := c.adapter.EncodeBlocked(list)
	if err != nil {
		return fmt.Errorf("encode the blocked requests: %w", err)
	}
	if err := c.adapter.Source.Put(ctx, c.adapter.Kinds.Blocked, blockedName, value, -1); err != nil {
		return fmt.Errorf("put %s: %w", c.adapter.Kinds.Blocked, err)
	}
	return nil
}
