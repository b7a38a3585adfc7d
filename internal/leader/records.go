// Package leader elects the one process that schedules, and carries out what
// package scheduler decides while it leads.
package leader

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// Keys of the durable store.
const (
	// leaderKey exists while there is a leader; its revision is the fencing token.
	leaderKey = "lead/leader"
	// instancesKey lists the instances that leaders may have given work to.
	instancesKey = "lead/instances"
	// expiredLeasesKey holds the instances whose leases were all over once, with the highest
	// number that a run had by then.
	expiredLeasesKey = "lead/lapsed"
	// tenuresKey lists the tenures of which leases may last, the current one first.
	tenuresKey = "lead/tenures"
	// tokenKey is written by a leader that needs a higher fencing token than its own: the
	// revision of the write.
	tokenKey = "lead/token"
	// modelKey holds what leaders have learned of interference.
	modelKey = "lead/model"
	// startsPrefix holds the logs of starts, by leader and segment.
	startsPrefix = "lead/starts/"
	// jobsPrefix holds accepted jobs, and a second key for each cancelled one.
	jobsPrefix = "job/"
	// cancelSuffix ends the key that marks a job as cancelled.
	cancelSuffix = "/cancelled"
	// progressPrefix holds what leaders record of jobs.
	progressPrefix = "progress/"
)

// JobKey is the key of an accepted job. Its creation is the acceptance: whoever
// creates it first decides, and every later submission of the ID finds it.
func JobKey(id string) string { return jobsPrefix + id }

// CancelKey is the key that marks a job as cancelled.
func CancelKey(id string) string { return jobsPrefix + id + cancelSuffix }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// JobRecord is the value of an accepted job.
type JobRecord struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// SubmittedMS is the time of day of the first submission that this process
	// knows of, in milliseconds since 1970.
	SubmittedMS int64      `json:"submitted_ms"`
	Job         *batch.Job `json:"job"`
	// Terms is the queue as it was at the acceptance. A leader that has no
	// configuration yet, or one without the queue, goes by it: without it the first
	// failure of a task would end its job.
	Terms *batch.Queue `json:"terms,omitempty"`
	// Ended is set once the job's final state is recorded. The key stays, so that the ID
	// is not accepted again, without the payload, which nobody needs any more.
	Ended bool `json:"ended,omitempty"`
}

// encodeEndedJob is the value of an ended job's key. What a leader that takes over has to read
// of the jobs of the last ten minutes is a tenth with it: 0.4 KB each instead of 4.
func encodeEndedJob(r *scheduler.Record) ([]byte, error) {
	spec := *r.Spec
	spec.Payload = ""
	return json.Marshal(JobRecord{Queue: r.Queue, Pool: r.Pool, Job: &spec, Ended: true})
}

// NewJobRecord returns the record of a job that a queue accepts.
func NewJobRecord(queue *batch.Queue, job *batch.Job, submittedMS int64) JobRecord {
	return JobRecord{Queue: queue.Name, Pool: queue.Pool, SubmittedMS: submittedMS, Job: job, Terms: queue}
}

// submission is the record as the scheduler takes it.
func (r *JobRecord) submission(age time.Duration) scheduler.Submission {
	return scheduler.Submission{Job: r.Job, Queue: r.Queue, Pool: r.Pool, AcceptedQueue: r.Terms, Age: age}
}

// parseJobKey splits a key under jobsPrefix.
func parseJobKey(key string) (id string, cancelled bool) {
	id = strings.TrimPrefix(key, jobsPrefix)
	return strings.CutSuffix(id, cancelSuffix)
}

func decodeJob(id string, value []byte) (*JobRecord, error) {
	var r JobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrapf(err, "job record %s", id)
	}
	if r.Job == nil {
		return nil, errors.Newf("job record %s has no job", id)
	}
	r.Job.ID = id
	if err := r.Job.Validate(); err != nil {
		return nil, errors.Wrapf(err, "job record %s", id)
	}
	return &r, nil
}

func decodeProgress(id string, value []byte) (*scheduler.Progress, error) {
	var p scheduler.Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, errors.Wrapf(err, "progress record %s", id)
	}
	return &p, nil
}

// DecodeFinalState returns the final state in a progress record, or "".
func DecodeFinalState(id string, value []byte) (batch.State, error) {
	p, err := decodeProgress(id, value)
	if err != nil {
		return "", err
	}
	return p.State, nil
}

// Record is the value of leaderKey: who leads.
type Record struct {
	Node string `json:"node"`
	// Address is where the leader serves its peers.
	Address string `json:"address"`
}
