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

// startsKeyFormat sorts segments by leader and number.
const startsKeyFormat = startsPrefix + "%016x/%08x"

// startsKey returns the key of a segment of the start log.
func startsKey(id scheduler.SegmentID) string {
	return fmt.Sprintf(startsKeyFormat, id.Fence, id.Number)
}

func decodeStarts(key string, value []byte) (scheduler.StartSegment, error) {
	var segment scheduler.StartSegment
	if _, err := fmt.Sscanf(key, startsKeyFormat, &segment.ID.Fence, &segment.ID.Number); err != nil {
		return segment, errors.Wrapf(err, "key %s", key)
	}
	return segment, errors.Wrapf(json.Unmarshal(value, &segment), "log of starts %s", key)
}

// readStarts returns the start logs of earlier leaders. An unreadable segment is returned
// without starts, so that it is removed.
func (t *term) readStarts(ctx context.Context) ([]scheduler.StartSegment, error) {
	items, _, err := t.Store.Range(ctx, startsPrefix)
	if err != nil {
		return nil, err
	}
	var segments []scheduler.StartSegment
	for i := range items {
		segment, err := decodeStarts(items[i].Key, items[i].Value)
		if err != nil {
			t.log.Warn("starts_unreadable", err, eventlog.Fields{"key": items[i].Key})
			segment = scheduler.StartSegment{ID: segment.ID}
		}
		if segment.ID.Fence != t.tenure.Fence {
			segments = append(segments, segment)
		}
	}
	slices.SortFunc(segments, func(a, b scheduler.StartSegment) int { return a.ID.Compare(b.ID) })
	return segments, nil
}
