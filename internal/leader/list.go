package leader

import (
	"context"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/eventlog"
)

// readList returns the listed instances without those of pools that the configuration does not
// name: their entries may be another writer's. Recorded as a VM, such an entry would make a
// successor wait in vain for its report. A VM that has reported stays, since it may have runs.
// Without a configuration all instances are returned.
func (t *term) readList(ctx context.Context) ([]batch.Instance, error) {
	list, err := t.Instances(ctx)
	config := t.Config()
	if err != nil || config == nil {
		return list, err
	}
	unknown := map[string]bool{}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make([]batch.Instance, 0, len(list))
	for i := range list {
		inst := &list[i]
		if _, named := config.Pools[inst.Pool]; named || t.hasReported(inst.ID) {
			known = append(known, *inst)
			continue
		}
		unknown[inst.ID] = true
		if !t.unknownPools[inst.ID] {
			t.log.Event("vm_pool_unknown", eventlog.Fields{"vm": inst.ID, "pool": inst.Pool, "config_version": config.Version})
		}
	}
	t.unknownPools = unknown
	return known, nil
}

// hasReported reports whether an instance has reported to this leader. t.mu is held.
func (t *term) hasReported(id string) bool {
	status, known := t.sched.VMStatus(0, id)
	return known && status.Reported
}
