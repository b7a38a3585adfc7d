package scheduler

import (
	"encoding/binary"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// packRuns packs run numbers as varints of their differences. The runs of a step are mostly
// started together with consecutive numbers: 1 byte each, after 6 for the first.
func packRuns(numbers []int64) []byte {
	var packed []byte
	previous := int64(0)
	for _, n := range numbers {
		packed = binary.AppendVarint(packed, n-previous)
		previous = n
	}
	return packed
}

// unpackRuns decodes the output of packRuns up to the first invalid byte.
func unpackRuns(packed []byte) []int64 {
	var numbers []int64
	previous := int64(0)
	for len(packed) > 0 {
		difference, n := binary.Varint(packed)
		if n <= 0 {
			break
		}
		previous += difference
		numbers = append(numbers, previous)
		packed = packed[n:]
	}
	return numbers
}

// maxEndedOccurrences bounds the ended occurrences of a job that are kept with their counted
// runs. The end of a run is reported until it is acknowledged, at the latest when its VM reports
// again after a network cut, and occurrences are seconds apart.
const maxEndedOccurrences = 16

// recordCountedRuns keeps the counted runs of an occurrence that has ended.
func (j *job) recordCountedRuns(o *occurrence) {
	steps := make([]StepProgress, len(o.steps))
	for i := range o.steps {
		steps[i].Runs = packRuns(o.steps[i].countedRuns())
	}
	j.recentOccurrences = append(j.recentOccurrences, OccurrenceProgress{Number: o.number, Steps: steps})
	if extra := len(j.recentOccurrences) - maxEndedOccurrences; extra > 0 {
		j.recentOccurrences = j.recentOccurrences[extra:]
	}
}

// countedRuns returns the counted runs of the completed tasks, by index.
func (st *step) countedRuns() []int64 {
	var numbers []int64
	for k := range st.tasks {
		if st.tasks[k].done {
			numbers = append(numbers, st.tasks[k].doneRun)
		}
	}
	return numbers
}

// countedRun returns the counted run of a task of an ended occurrence, or 0 if unknown.
func (j *job) countedRun(id batch.TaskID) int64 {
	for i := range j.recentOccurrences {
		o := &j.recentOccurrences[i]
		if o.Number != id.Occurrence || id.Step >= len(o.Steps) {
			continue
		}
		if numbers := unpackRuns(o.Steps[id.Step].Runs); id.Index < len(numbers) {
			return numbers[id.Index]
		}
	}
	return 0
}
