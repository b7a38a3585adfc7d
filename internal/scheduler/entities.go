package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// runState is the phase of a run as known to the leader.
type runState int

const (
	// starting: the start was ordered and its outcome is not known yet.
	starting runState = iota
	running
	// stopping: a stop was ordered; the run occupies its VM until its end is reported.
	stopping
)

// run is one attempt of a task on a VM.
type run struct {
	task   *task
	vm     *vm
	number int64
	state  runState
	// orderedAt is when the start was ordered.
	orderedAt Time
	// confirmedAt is when the VM first confirmed the run, listedAt when a report last
	// listed it; 0 if not yet.
	confirmedAt, listedAt Time
	// stopConfirmedAt is when the VM confirmed the stop; 0 if not yet.
	stopConfirmedAt Time
	checkpoint      string
	// progress is the completed share of the work in percent; for a lasting run, of
	// its startup.
	progress int
	usage    float64
	hasUsage bool
	// fullPaceUsage is the usage of a filler observed at full pace; 0 if not yet observed.
	fullPaceUsage float64
	// orderedPace is the last ordered pace in percent, paceOrderedAt when it was ordered.
	orderedPace   int
	paceOrderedAt Time
	// progressAt is when progress last changed; firstProgress is the progress first
	// reported, at firstProgressAt.
	progressAt, firstProgressAt Time
	firstProgress               int
	// checkpointProgress is the progress when the run's last checkpoint was first reported; 0 for
	// none.
	checkpointProgress int
	// loggedRemedy is the last logged remedy for the run's low rate; "" for none.
	loggedRemedy runtimes.Remedy
	// speedLearned is set once the run counts in the speed of its VM.
	speedLearned bool
	// startSent is set once the start is sent, most recently at startSentAt. Until then
	// the run has certainly not begun.
	startSent   bool
	startSentAt Time
	// resumed is set if the run was started from a checkpoint.
	resumed bool
	// isTrial is set if the VM had no other recent run when this run was started.
	isTrial bool
	// exclusive is set if nothing else is started on the VM while this run is recent.
	exclusive bool
	// previousEnd is the end of the VM's previous incarnation, which may have had the
	// run; nil for none.
	previousEnd *vmEndRecord
	// inStartLog is set once the run is in the start log.
	inStartLog bool
	// released is set once the run no longer occupies its VM.
	released bool
}

// task is one task of one occurrence.
type task struct {
	step  *step
	index int
	done  bool
	// doneRun is the number of the run that completed the task; 0 if unknown.
	doneRun int64
	// latestRun is the highest number of an ended run that may have been started.
	latestRun int64
	// failedRuns holds the numbers of the failed runs.
	failedRuns []int64
	// crashes are recent runs whose VM ended; crashVersion is the job version that
	// includes them, suspectSince when the task began to wait for a trial. intendedRun
	// is the run number of the next trial, recorded as an unconfirmed crash before the
	// trial is started; 0 for none.
	crashes      []crash
	crashVersion int64
	suspectSince Time
	intendedRun  int64
	// reservedVM is the VM reserved for the task's trial.
	reservedVM *vm
	// runs are the runs that have not ended. Only tasks of speculative steps have more than one.
	runs       []*run
	checkpoint string
	// notBefore delays the next start after a failure.
	notBefore Time
	// movedAt is when a run was last stopped in order to start it elsewhere.
	movedAt Time
	// lostAt is when a run was last declared lost without a reported end.
	lostAt Time
	// lastRunEnd is when a run last ended.
	lastRunEnd Time
	// lastFailedOn is the VM where a run last failed; placement avoids it.
	lastFailedOn string
	// slowOn is the VM where a run was last found slow and copied or stopped; "" for none.
	slowOn string
	// copyRun is the number of the task's latest copy, started at copiedAt for copyReason; 0 for
	// none.
	copyRun    int64
	copiedAt   Time
	copyReason string
}

func (t *task) id() batch.TaskID {
	return batch.TaskID{Job: t.step.occ.job.spec.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}
}

// step is one step of one occurrence.
type step struct {
	occ   *occurrence
	index int
	spec  *batch.Step
	tasks []task
	// tasksLeft counts the unfinished tasks.
	tasksLeft int
	// waiting counts the unfinished tasks without a run.
	waiting int
	// blockers counts the unfinished steps that this step depends on.
	blockers int
	// queued is set while the step is in Scheduler.readySteps.
	queued bool
	// runnableAt is when the last step that this step depends on was done.
	runnableAt Time
	// advice is set if the queue has an adviser and it was asked.
	advice *advice
	// doneRateSum is the sum of the progress rates, in percent per second, of the
	// doneRuns completed runs.
	doneRateSum float64
	doneRuns    int
	// longestRun is the longest of the measuredRuns completed runs whose duration is known.
	longestRun   time.Duration
	measuredRuns int
	// rank is the step's position in the queue at the last plan.
	rank rank
	// baseline estimates the tail latency of a serving step due to its own load.
	baseline baseline
	// tailSamples are the tails recently reported by the tasks of a serving step.
	tailSamples tailSamples
	// runsPerVM counts the runs on each VM if the step limits them.
	runsPerVM map[*vm]int
	// place is the step's wait for a place in the rack that it prefers.
	place placeWait
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	number    int
	steps     []step
	stepsLeft int
	// dueAt is when the occurrence was due on the leader's clock.
	dueAt Time
}

// job is one accepted job.
type job struct {
	spec  *batch.Job
	queue string
	pool  string
	// submittedAt is when the caller first submitted the job, as far as known.
	submittedAt Time
	// zone is the availability zone in which the job was accepted, "" if unknown.
	zone string
	// predictedWait is the wait that was predicted when the job arrived, until its first start;
	// it is set if hasPrediction is.
	predictedWait time.Duration
	hasPrediction bool
	// criticalPath is the longest chain of steps by their declared durations.
	criticalPath time.Duration
	// stretch and slack define the objective; see Scheduler.objective.
	stretch float64
	slack   time.Duration
	// work is the expected work of one occurrence at its submission, in processor seconds.
	work        float64
	maxAttempts int
	priority    int
	advice      *batch.Advice
	state       batch.State
	// durableState is the state in the store. Final states are reported to callers
	// only once they are durable.
	durableState batch.State
	started      bool
	// running counts the job's runs.
	running int
	// idleWait is how long tasks have waited for a rack while the job had nothing running, up to
	// idleMark; 0 if they do not.
	idleWait time.Duration
	idleMark Time
	// predatesLeader is set if the job existed before this leader took over: its tasks
	// may run on VMs that have not reported to this leader yet.
	predatesLeader bool
	occs           map[int]*occurrence
	// nextOcc is the first occurrence that has not been created.
	nextOcc int
	// doneOccs are the finished occurrences from doneLow on; all below doneLow are finished.
	doneOccs map[int]bool
	doneLow  int
	// version counts changes of the durable state; a write covers the version that it
	// was made from.
	version int64
	// writtenVersion is the version in the store.
	writtenVersion int64
	// recordRevision is the store revision of the job's progress record; 0 for none.
	recordRevision int64
	endedAt        Time
	// restoredProgress is the stored record from which occurrences opened later start.
	restoredProgress *Progress
	// recentOccurrences are recently ended occurrences with the runs that completed their tasks.
	recentOccurrences []OccurrenceProgress
	// held is set if the progress record of the job can't be read. It is then unknown
	// which tasks are done, so none may be started.
	held bool
}
