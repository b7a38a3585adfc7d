package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// startsKeyFormat orders segments by leader and number.
const startsKeyFormat = startsPrefix + "%016x/%08x"

// startsKey is the key of a segment of the log of starts.
func startsKey(id scheduler.SegmentID) string {
	return fmt.Sprintf(startsKeyFormat, id.Fence, id.Number)
}

func decodeStarts(key string, value []byte) (scheduler.StartSegment, error) {
	var g scheduler.StartSegment
	if _, err := fmt.Sscanf(key, startsKeyFormat, &g.ID.Fence, &g.ID.Number); err != nil {
		return g, errors.Wrapf(err, "key %s", key)
	}
	return g, errors.Wrapf(json.Unmarshal(value, &g), "log of starts %s", key)
}

// readStarts returns what earlier leaders have logged of their starts. A segment that can't be
// read is returned as one without starts, so that it is removed.
func (t *term) readStarts(ctx context.Context) ([]scheduler.StartSegment, error) {
	items, _, err := t.Store.Range(ctx, startsPrefix)
	if err != nil {
		return nil, err
	}
	var log []scheduler.StartSegment
	for i := range items {
		g, err := decodeStarts(items[i].Key, items[i].Value)
		if err != nil {
			t.log.Warn("starts_unreadable", err, eventlog.Fields{"key": items[i].Key})
			g = scheduler.StartSegment{ID: g.ID}
		}
		if g.ID.Fence != t.tenure.Fence {
			log = append(log, g)
		}
	}
	slices.SortFunc(log, func(a, b scheduler.StartSegment) int { return a.ID.Compare(b.ID) })
	return log, nil
}
