// Package leader elects the one process that schedules, and executes the decisions of package
// scheduler while it leads.
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
	// instancesKey lists the instances that leaders may have given work.
	instancesKey = "lead/instances"
	// expiredLeasesKey lists the instances whose leases had all expired at some time, with the
	// highest run number until then.
	expiredLeasesKey = "lead/lapsed"
	// tenuresKey lists the tenures whose leases may last, the current one first.
	tenuresKey = "lead/tenures"
	// tokenKey is written by a leader that needs a higher fencing token than its own, which is
	// the revision of that write.
	tokenKey = "lead/token"
	// modelKey holds the learned interference model.
	modelKey = "lead/model"
	// startsPrefix is the prefix of the start logs, by leader and segment.
	startsPrefix = "lead/starts/"
	// jobsPrefix is the prefix of accepted jobs, with a second key for each cancelled one.
	jobsPrefix = "job/"
	// cancelSuffix is the suffix of the key that marks a job as cancelled.
	cancelSuffix = "/cancelled"
	// refusalsPrefix is the prefix of the records of refused jobs.
	refusalsPrefix = "refused/"
	// tombstonesPrefix is the prefix of the records of jobs that were cancelled and not stored.
	tombstonesPrefix = "tombstone/"
	// progressPrefix is the prefix of the recorded progress of jobs.
	progressPrefix = "progress/"
)

// JobKey returns the key of an accepted job. Creating it accepts the job: the first creation
// wins, and every later submission of the ID finds it.
func JobKey(id string) string { return jobsPrefix + id }

// CancelKey returns the key that marks a job as cancelled.
func CancelKey(id string) string { return jobsPrefix + id + cancelSuffix }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// RefusalKey returns the key of a job's refusal. Each refusal raises its revision.
func RefusalKey(id string) string { return refusalsPrefix + id }

// TombstoneKey returns the key that marks a job as cancelled before it was stored. A job is stored
// only while its tombstone does not exist.
func TombstoneKey(id string) string { return tombstonesPrefix + id }

// JobRecord is the stored value of an accepted job.
type JobRecord struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// SubmittedMS is the wall clock time of the first submission known to the accepting
	// process, in milliseconds since 1970.
	SubmittedMS int64      `json:"submitted_ms"`
	Job         *batch.Job `json:"job"`
	// Terms is the queue's configuration at acceptance. It applies while a leader has no
	// configuration, or one without the queue; otherwise the first failure of a task would end
	// its job.
	Terms *batch.Queue `json:"terms,omitempty"`
	// Zone is the availability zone of the accepting process, "" if unknown.
	Zone string `json:"zone,omitempty"`
	// Ended is set once the job's final state is recorded. The key stays, so that the ID is
	// not accepted again, but without the payload, which is not needed any more.
	Ended bool `json:"ended,omitempty"`
}

// encodeEndedJob returns the stored value of an ended job. It is a tenth of the full value,
// 0.4 KB instead of 4, which limits what a new leader reads of the jobs of the last ten
// minutes.
func encodeEndedJob(r *scheduler.Record) ([]byte, error) {
	spec := *r.Spec
	spec.Payload = ""
	return json.Marshal(JobRecord{Queue: r.Queue, Pool: r.Pool, Job: &spec, Ended: true})
}

// NewJobRecord returns the record of a job that a queue accepts.
func NewJobRecord(queue *batch.Queue, job *batch.Job, submittedMS int64) JobRecord {
	return JobRecord{Queue: queue.Name, Pool: queue.Pool, SubmittedMS: submittedMS, Job: job, Terms: queue}
}

// submission converts the record for the scheduler.
func (r *JobRecord) submission(age time.Duration) scheduler.Submission {
	return scheduler.Submission{Job: r.Job, Queue: r.Queue, Pool: r.Pool, AcceptedQueue: r.Terms, Zone: r.Zone, Age: age}
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

// Record is the value of leaderKey and identifies the leader.
type Record struct {
	Node string `json:"node"`
	// Address is where the leader serves its peers.
	Address string `json:"address"`
}
