package scheduler

import (
	"encoding/binary"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// packRuns packs run numbers as varints of their differences. The runs of a step are
// mostly started together and numbered in a row: 1 byte each, after 6 for the first.
func packRuns(numbers []int64) []byte {
	var packed []byte
	previous := int64(0)
	for _, n := range numbers {
		packed = binary.AppendVarint(packed, n-previous)
		previous = n
	}
	return packed
}

// unpackRuns reads what packRuns wrote; what can't be read is left out.
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

// maxEndedOccurrences is how many ended occurrences of a job are kept with the runs that
// count: a run's end is told again until it is acknowledged, at the latest when its
// VM is heard again after a cut, and occurrences are seconds apart.
const maxEndedOccurrences = 16

// recordCountedRuns keeps which runs count of an occurrence that has ended.
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

// countedRuns are the runs that count of the tasks that are done, by index.
func (st *step) countedRuns() []int64 {
	var numbers []int64
	for k := range st.tasks {
		if st.tasks[k].done {
			numbers = append(numbers, st.tasks[k].doneRun)
		}
	}
	return numbers
}

// countedRun is the run that counts of a task of an ended occurrence, 0 when it is
// not known.
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
