package leader

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/pause"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/internal/steady"
)

const (
	// wavesInterval is how often waves are processed. Without a wave that costs nothing.
	wavesInterval = 500 * time.Millisecond
	// machineTimeout bounds one call of the machine service.
	machineTimeout = 2 * time.Second
	// wavePrefix is the prefix of the status of waves: the machines whose maintenance has
	// begun.
	wavePrefix = "wave/"
	// machineHolderDelay is how long a new leader sends no orders to machines. Two holders
	// must not alternate within the platform's lease of 3 s.
	machineHolderDelay = 3500 * time.Millisecond
)

// Machines is the client of the machine service.
type Machines interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Maintain(ctx context.Context, o batch.MaintainOrder) error
}

// WaveReport returns the key and value that report a wave to the operator.
type WaveReport func(number int64, completed bool) (key string, value []byte, err error)

// wavesLoop processes the waves that the operator requests.
func (t *term) wavesLoop(ctx context.Context) {
	pause.For(ctx, machineHolderDelay)
	written := map[int64]scheduler.WaveStatus{}
	pause.Every(ctx, wavesInterval, func() {
		if waves := t.Waves(); len(waves) > 0 {
			t.followWaves(ctx, waves, written)
		}
	})
}

func (t *term) followWaves(ctx context.Context, waves []batch.Wave, written map[int64]scheduler.WaveStatus) {
	unfinished := false
	for _, w := range waves {
		if _, known := written[w.Number]; !known && !t.addWave(ctx, w, written) {
			return
		}
		unfinished = unfinished || !written[w.Number].Completed
	}
	t.mu.Lock()
	unfinished = unfinished || t.sched.HasUnsettledMaintenance()
	t.mu.Unlock()
	if !unfinished {
		return
	}
	askedAt := steady.Now()
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	list, err := t.Machines.List(callCtx)
	cancel()
	if err != nil {
		t.log.Warn("machines_not_read", err, nil)
		return
	}
	t.mu.Lock()
	t.sched.SetMachines(steady.Now(), askedAt, list)
	statuses := t.sched.WaveStatuses()
	t.mu.Unlock()
	t.requestPlan()
	for _, st := range statuses {
		slices.Sort(st.Begun)
		if previous := written[st.Number]; previous.Completed != st.Completed || !slices.Equal(previous.Begun, st.Begun) || previous.Number == 0 {
			if t.writeWave(ctx, st) {
				written[st.Number] = st
			}
		}
	}
}

// addWave reads the recorded status of a wave and adds the wave to the scheduler.
func (t *term) addWave(ctx context.Context, w batch.Wave, written map[int64]scheduler.WaveStatus) bool {
	callCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	item, err := t.Store.Get(callCtx, wavePrefix+strconv.FormatInt(w.Number, 10))
	var status scheduler.WaveStatus
	if err == nil && item != nil {
		err = json.Unmarshal(item.Value, &status)
	}
	if err != nil {
		t.log.Warn("wave_not_read", err, eventlog.Fields{"wave": w.Number})
		return false
	}
	written[w.Number] = status
	t.mu.Lock()
	t.sched.AddWave(steady.Now(), w, status.Begun)
	t.mu.Unlock()
	return true
}

// writeWave records a wave's status for a successor and for the operator.
func (t *term) writeWave(ctx context.Context, st scheduler.WaveStatus) bool {
	value, err := json.Marshal(st)
	if err != nil {
		t.log.Warn("wave_not_written", err, eventlog.Fields{"wave": st.Number})
		return false
	}
	key, report, err := t.ReportWave(st.Number, st.Completed)
	if err == nil {
		_, err = t.commit(ctx, durable.Txn{
			Conditions: []durable.Condition{t.leaderCondition()},
			Writes:     []durable.Write{{Key: wavePrefix + strconv.FormatInt(st.Number, 10), Value: value}, {Key: key, Value: report}},
		})
	}
	if err != nil {
		t.log.Warn("wave_not_written", err, eventlog.Fields{"wave": st.Number})
	}
	return err == nil
}

// maintain starts the maintenance of a machine.
func (t *term) maintain(ctx context.Context, o scheduler.Order) {
	if !t.tenure.Confirmed() {
		t.mu.Lock()
		t.sched.HandleMaintenanceResult(steady.Now(), o, false, batch.RefusedUnreached)
		t.mu.Unlock()
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	err := t.Machines.Maintain(callCtx, batch.MaintainOrder{Machine: o.Machine, Wave: o.Wave, Holder: t.Node, Fence: t.tenure.Fence})
	refusal := refusalOf(err)
	if refusal == batch.RefusedFence {
		t.endFenced(o.Machine)
		return
	}
	if err != nil && ctx.Err() == nil {
		t.log.Warn("maintenance_not_begun", err, eventlog.Fields{"machine": o.Machine, "wave": o.Wave})
	}
	t.mu.Lock()
	t.sched.HandleMaintenanceResult(steady.Now(), o, err == nil, refusal)
	t.mu.Unlock()
	t.requestPlan()
}
