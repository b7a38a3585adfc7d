package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against run numbers that change when they are packed and unpacked.
func TestPackRuns(t *testing.T) {
	for name, numbers := range map[string][]int64{
		"none": nil, "one": {4246<<runNumberBits + 140}, "falling": {1 << 50, 7, 1 << 40, 0, 3},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, numbers, unpackRuns(packRuns(numbers))) })
	}
}

// Guards against records that grow by more than a byte for each task if the runs are numbered
// consecutively.
func TestPackedRunsAreSmall(t *testing.T) {
	var numbers []int64
	for i := range int64(40) {
		numbers = append(numbers, 4246<<runNumberBits+i)
	}
	require.LessOrEqual(t, len(packRuns(numbers)), 46)
}

// Guards against losing all runs of a truncated record: those before the cut are decoded.
func TestUnpackTruncatedRuns(t *testing.T) {
	packed := packRuns([]int64{5, 9, 1 << 40})
	require.Equal(t, []int64{5, 9}, unpackRuns(packed[:len(packed)-1]))
}

// Guards against records that grow with a job's occurrences: only the latest are kept.
func TestEndedOccurrencesAreBounded(t *testing.T) {
	j := &job{}
	for n := range 3 * maxEndedOccurrences {
		o := &occurrence{job: j, number: n, steps: make([]step, 1)}
		o.steps[0].tasks = []task{{done: true, doneRun: int64(100 + n)}}
		j.recordCountedRuns(o)
	}
	require.Len(t, j.recentOccurrences, maxEndedOccurrences)
	last := 3*maxEndedOccurrences - 1
	require.EqualValues(t, 100+last, j.countedRun(batch.TaskID{Occurrence: last}))
	require.Zero(t, j.countedRun(batch.TaskID{Occurrence: 0}))
}
