// Package scheduler decides what runs where: it takes what is known of jobs and
// VMs, and the time, and returns orders. It is pure: no clocks, sockets or
// store. One leader at a time feeds it and carries its orders out.
package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Time is the leader's steady clock, since the start of the process.
type Time = time.Duration

// Settings are the deployment's bounds.
type Settings struct {
	// MaxLease is the longest lease that a VM grants.
	MaxLease time.Duration
	// StopTimeout is how long a stop may take at a VM.
	StopTimeout time.Duration
	// UnavailableDuration is how long a lasting task counts as unavailable after a
	// notice; it limits how fast lasting tasks may be moved.
	UnavailableDuration time.Duration
	// Policy is how the scheduler decides; nil is DefaultPolicy.
	Policy *Policy
}

// maxLeaseDuration is the lease taken where the VMs grant a longer one. It outlives a
// network partition of some six seconds; and when a VM dies, what lasts there is
// at work elsewhere within nine.
const maxLeaseDuration = 8 * time.Second

// Lease is how long a lease is taken for.
func (s Settings) Lease() time.Duration { return min(s.MaxLease, maxLeaseDuration) }

// runState is where a run is in its life, as the leader knows it.
type runState int

const (
	// starting: the order was given; it is not known to have been carried out.
	starting runState = iota
	running
	// stopping: a stop was ordered; the run counts until its end is listed.
	stopping
)

// run is one start of a task on a VM.
type run struct {
	task   *task
	vm     *vm
	number int64
	state  runState
	// orderedAt is when the start was ordered.
	orderedAt Time
	// confirmedAt is when the VM was known to have the run, listReadAt when it last told
	// that it still has it; 0 before.
	confirmedAt, listedAt Time
	// stopConfirmedAt is when the VM confirmed the stop; 0 before.
	stopConfirmedAt Time
	checkpoint      string
	// progress is the share of its work that is done, in percent; for a lasting
	// run, of its startup.
	progress int
	usage    float64
	hasUsage bool
	// fullPaceUsage is what a filler was seen to use at full pace, 0 before.
	fullPaceUsage float64
	// orderedPace is the pace last ordered, in percent, at paceOrderedAt.
	orderedPace   int
	paceOrderedAt Time
	// progressAt is when progress last changed; firstProgress is what it was at
	// firstProgressAt, when it was first told.
	progressAt, firstProgressAt Time
	firstProgress               int
	// startSent is set once the start is given, the last time at startSentAt: before, the run has
	// certainly not begun.
	startSent   bool
	startSentAt Time
	// isTrial is set where nothing else was new on the VM when the run was started.
	isTrial bool
	// exclusive is set where nothing else is started on the VM while the run is new.
	exclusive bool
	// previousEnd is the end of its VM's start before, which may have had the run; nil for none.
	previousEnd *vmEndRecord
	// inStartLog is set once the run is in the log of starts.
	inStartLog bool
	// released is set when the run no longer counts on its VM.
	released bool
}

// task is one task of one occurrence.
type task struct {
	step  *step
	index int
	done  bool
	// doneRun is the number of the run that ended as done, 0 when it is not known.
	doneRun int64
	// latestRun is the highest number of a run that may have been started and has ended.
	latestRun int64
	// failedRuns are the numbers of the runs that failed.
	failedRuns []int64
	// crashes are runs whose VM ended while they were new; crashVersion is the version
	// of the job that has them, suspectSince when the task began to wait for a trial.
	// intended is the number of the run that the next trial is to have, which is recorded
	// as doubted before it is started; 0 for none.
	crashes      []crash
	crashVersion int64
	suspectSince Time
	intendedRun  int64
	// reservedVM is the VM that is kept for its trial.
	reservedVM *vm
	// runs are the runs that have not ended; more than one only of a speculative step.
	runs       []*run
	checkpoint string
	// notBefore delays the next start after a failure.
	notBefore Time
	// movedAt is when a run was last stopped to be started elsewhere.
	movedAt Time
	// lostAt is when a run was last given up whose end nobody has told.
	lostAt Time
	// lastRunEnd is when a run last ended.
	lastRunEnd Time
	// lastFailedOn is the VM where a run last failed; it is avoided.
	lastFailedOn string
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
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// waiting counts the tasks that are neither done nor have a run.
	waiting int
	// blockers counts the steps before it that are not done.
	blockers int
	// queued is set while the step is in the scheduler's ready list.
	queued bool
	// runnableAt is when the steps before it were done.
	runnableAt Time
	// advice is set where the queue has an adviser and was asked.
	advice *advice
	// doneRateSum sums the progress rates, in percent a second, of the doneRuns
	// runs that are done.
	doneRateSum float64
	doneRuns    int
	// rank is the step's place in the queue at the last plan.
	rank rank
	// baseline is what the step's load alone does to its tails, where it serves.
	baseline baseline
	// tailSamples are the tails that its tasks have told of late, where it serves.
	tailSamples tailSamples
	// runsPerVM counts the runs on each VM, where the step bounds them.
	runsPerVM map[*vm]int
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	number    int
	steps     []step
	stepsLeft int
	// dueAt is when the occurrence was due, on the leader's clock.
	dueAt Time
}

// job is one accepted job.
type job struct {
	spec  *batch.Job
	queue string
	pool  string
	// submittedAt is when the caller first asked, as far as it is known.
	submittedAt Time
	// objective is the time from submittedAt in which the job should be done.
	objective    time.Duration
	criticalPath time.Duration
	work         float64
	maxAttempts  int
	priority     int
	advice       *batch.Advice
	state        batch.State
	// durableState is the state that the store has; callers are told final
	// states only from it.
	durableState batch.State
	started      bool
	// running counts the job's runs.
	running int
	// predatesLeader is set when the job was there before this leader took over: its
	// tasks may run where this leader has not heard yet.
	predatesLeader bool
	occs           map[int]*occurrence
	// nextOcc is the first occurrence that has not been created.
	nextOcc int
	// doneOccs counts finished occurrences; all below doneLow are finished.
	doneOccs map[int]bool
	doneLow  int
	// version counts changes of the durable part; a write covers the version that it was made from.
	version int64
	// writtenVersion is the version that the store has.
	writtenVersion int64
	// recordRevision is the store revision of the job's progress record, 0 for none.
	recordRevision int64
	endedAt        Time
	// restoredProgress is the record that occurrences opened later start from.
	restoredProgress *Progress
	// recentOccurrences are the occurrences that ended of late, with the runs that count.
	recentOccurrences []OccurrenceProgress
	// held is set when the record of the job's progress can't be read: what is done
	// is not known, so that nothing of it may be started.
	held bool
}

// vm is one start of a VM that the leader knows; see restarts.go.
type vm struct {
	// inst is the entry on the list. It may be that of another start: born is the birth of
	// the one that reports, 0 before it is told, and firstReportAt when it was first heard.
	inst          batch.Instance
	born          int64
	firstReportAt Time
	// listed is set while the store's list has the instance.
	listed bool
	// token is the fencing token of what is sent to this start: higher than that of what this
	// leader sent to the one before, unless needsToken is set. lastHoldToken is that of the last
	// hold. guarded is set where there was none before, or once the start has answered a hold
	// with token: from then on it refuses what was sent to the one before.
	token, lastHoldToken int64
	needsToken, fenced   bool
	// initiallyStale is set where its entry had not been written for long when it was first seen.
	initiallyStale bool
	// unlistedAt is when it left the list.
	unlistedAt Time
	// hasReported is set once the instance has seen this leader's fencing token and
	// told what it runs.
	hasReported  bool
	lastReportAt Time
	clock        clock
	runs         map[batch.TaskID]*run
	// runList holds runs in the order in which they were taken on: what is decided for
	// one after the other must not follow the order of a map, or equal inputs would give
	// other plans. It is replaced, not changed, when a run goes, so that loops may end runs.
	runList []*run
	used    batch.Resources
	// fillerCPU is what the fillers here would like to use, in thousandths of a processor.
	fillerCPU int64
	// servingRuns counts the serving runs, servingCPU what they declared, in
	// thousandths of a processor.
	servingRuns int
	servingCPU  int64
	// shortCPU is what tasks that hold processors for a while only declared.
	shortCPU int64
	// processedSeq is the highest end sequence that was processed, durable the highest
	// whose effects are written, to be acknowledged.
	processedSeq int64
	durableSeq   int64
	// deferredEnds are ends of jobs that are not known, by their number; strangers the
	// runs of such jobs.
	deferredEnds map[int64]batch.RunEnd
	unknownRuns  map[batch.TaskID]int64
	// expirySeq is the highest end that says that a lease lapsed. Every run here up to
	// the number maxExpiredRun began before a moment at which all leases here were over.
	expirySeq, maxExpiredRun int64
	// expiredLeaseEnd is the leaseExpiry that maxExpiredRun was taken at.
	expiredLeaseEnd Time
	// missingSince is when the machine service's list was asked for that first lacked the
	// instance; 0 when the last one had it.
	missingSince Time
	// ackLimit, where set, is the first end that is never acknowledged; see withhold.
	ackLimit int64
	// unwantedRuns are runs that do not count and were ordered to stop.
	unwantedRuns []unwantedRun
	// health rates failures of late; see health.go.
	health health
	// otherIncarnation is set when an order was answered by another start than the one that reported,
	// until the next report.
	otherIncarnation bool
	// leaseUntil is the end of the lease on the instance's clock.
	leaseUntil time.Duration
	// holdWait is how long the last hold waits for an end.
	holdWait time.Duration
	// closed VMs are being emptied for maintenance and take no new tasks.
	closed bool
	// holdUnanswered is set while a hold has no answer, firstUnansweredAt when the first hold
	// failed since it was last heard, 0 for none; unansweredHolds counts them.
	holdUnanswered    bool
	firstUnansweredAt Time
	unansweredHolds   int
	// connectionClosed is set where the first of them found its connection closed.
	connectionClosed bool
	// trialRun is a suspect's run, beside which nothing is started while it is new; reservedTask is the suspect
	// that the VM is kept for until reservedUntil.
	trialRun      *run
	reservedTask  *task
	reservedUntil Time
	// leaseExpiry is when everything there has certainly ended, unless the lease is renewed.
	leaseExpiry Time
	// paceOrderedAt is when the pace of a filler here was last changed; overTargetSince when
	// a serving task was first seen over its target, 0 when none is.
	paceChangedAt   Time
	overTargetSince Time
	// fillerPaceCap bounds the pace of all fillers, in percent, after a tail was over
	// its target for long with nobody to blame; changed at fillerPaceCapAt.
	fillerPaceCap   int
	fillerPaceCapAt Time
	// lastSample is the report that the next one is compared with.
	lastSample reportSample
	// recentFillers are the fillers that ended so recently that the figures show them.
	recentFillers []endedFiller
	// tailExcess is how much longer the tails here are than predicted, as a logarithm.
	tailExcess float64
	// tails is worked out from runs; see predictedTails.
	tails []tail
	// fillerCapacity is what fillers may use, fillerFullUse what those that run use at full pace,
	// in thousandths of a processor; worked out with the tails.
	fillerCapacity, fillerFullUse float64
	tailsAt                       Time
	tailsStale                    bool
}

// clock relates an instance's clock to the leader's.
type clock struct {
	known bool
	// at and value are a reading: the instance's clock was value at some moment
	// between sentAt and gotAt.
	sentAt, gotAt Time
	value         time.Duration
}

// minClockRate is the least rate of an instance's clock: it may be 2 % slow.
const minClockRate = 0.98

// Scheduler is the leader's state.
type Scheduler struct {
	settings Settings
	policy   Policy
	fence    int64
	// maxToken is the highest fencing token that this leader may use; see restarts.go.
	maxToken int64
	// nextRun numbers runs. The fencing token is in the upper bits, so that run
	// numbers rise over all leaders without being stored.
	nextRun    int64
	config     *batch.Config
	vms        map[string]*vm
	vmList     []*vm
	jobs       map[string]*job
	readySteps []*step
	// timedJobs are the jobs with occurrences still to come.
	timedJobs map[string]*job
	dirtyJobs map[string]*job
	waves     map[int64]*wave
	// hasUnguardedPools is set where a pool has VMs that do not guard their capacity.
	hasUnguardedPools bool
	// listReadAt is when the list of VMs was last read.
	listReadAt Time
	// recentVMEnds are the VMs that ended of late, doubts the runs that may have ended a VM.
	// classifiedVMEnds are the ends of VMs that are being judged, or were of late.
	recentVMEnds       map[vmIncarnation]vmEnd
	unconfirmedCrashes map[vmIncarnation]map[*task]int64
	classifiedVMEnds   []*vmEndRecord
	startLog           startLog
	// endedUnreported is set once a VM that an earlier leader may have used has ended, or was
	// waited out, before it was heard.
	endedUnreported bool
	// trialCursor is where the next look for a VM for a trial begins.
	trialCursor int
	// machines is the machine service's list; nil before it was read.
	machines map[string]batch.Machine
	// awaitedVMs are instances that an earlier leader may have given work to and
	// that have not been heard, with the moment when they need not be waited for.
	awaitedVMs map[string]Time
	// expiredLeases is what was known of the leases of VMs that were forgotten and may come back.
	expiredLeases map[string]ExpiredLease
	// unknownJobsSince are the jobs that VMs tell of and that are not known, with the moment
	// when they were first told of; absent those that the store does not have.
	unknownJobsSince map[string]Time
	absentJobs       map[string]Time
	// leadConfirmedAt is the last moment before which no other leader can have been elected.
	leadConfirmedAt Time
	// newJobsRevision is the store's revision after which jobs were created that no earlier
	// leader has taken up; 0 before it is known.
	newJobsRevision int64
	orders          []Order
	// planNeeded is set when a plan may find something new to do.
	planNeeded bool
	// startBudget is how many more starts may be decided; see Throttle.
	startBudget StartBudget
	// startLimitHitAt is when it last left some out, 0 for never.
	startLimitHitAt Time
	// meanWork is the mean work of each queue's jobs of late, in processor seconds.
	meanWork map[string]float64
	images   effectModel
	reserve  reserve
	// candidates is the list in use for the step that is being placed.
	candidates candidates
	// crowded is set while lasting and short tasks declare most of all processors.
	crowded bool
	// reportedVMs counts the VMs that are heard, nonServingVMs those of them that serve nothing.
	reportedVMs, nonServingVMs int
	logf                       func(Decision)
	plannedAt                  Time
	waitLoggedAt               Time
	interferenceLoggedAt       Time
	// loadLoggedAt is when the fleet's load was last logged.
	loadLoggedAt Time
}

// runNumberBits is how many runs one leader may number: 2^24.
const runNumberBits = 24

// New returns a scheduler for the leader with the given fencing token. log
// receives a line for each decision.
func New(settings Settings, fence int64, log func(Decision)) *Scheduler {
	if log == nil {
		log = func(Decision) {}
	}
	policy := DefaultPolicy()
	if settings.Policy != nil {
		policy = *settings.Policy
	}
	return &Scheduler{
		startBudget: UnlimitedStarts,
		settings:    settings, policy: policy, fence: fence, maxToken: fence, nextRun: fence << runNumberBits, vms: map[string]*vm{}, jobs: map[string]*job{},
		timedJobs: map[string]*job{}, dirtyJobs: map[string]*job{}, waves: map[int64]*wave{}, awaitedVMs: map[string]Time{}, recentVMEnds: map[vmIncarnation]vmEnd{}, unconfirmedCrashes: map[vmIncarnation]map[*task]int64{}, startLog: startLog{inherited: map[vmIncarnation][]*inheritedStart{}, lostVMs: map[string]bool{}}, expiredLeases: map[string]ExpiredLease{}, unknownJobsSince: map[string]Time{}, absentJobs: map[string]Time{}, images: newEffectModel(), meanWork: map[string]float64{}, logf: log,
	}
}

// Decision is a line for the log: an event of the closed list in docs/OPERATIONS.md
// with what it is about and what decided it.
type Decision struct {
	Event string
	Job   string
	Task  batch.TaskID
	VM    string
	Run   int64
	// Reason names the input that decided.
	Reason string
	// Age is the age of that input, or how long the subject waited.
	Age time.Duration
	// Group is that of the queue which a start's step stood in.
	Group string
	// Value is a figure that goes with the reason.
	Value float64
	// MinLifetime is how long a run that was lost is known to have run, MaxLifetime the longest
	// that it can have: until its VM first left a hold without an answer. A run that ends
	// its VM as it begins has lived for some milliseconds each time.
	MinLifetime, MaxLifetime time.Duration
	// RecentRuns counts the runs on a VM that is gone that had just begun there.
	RecentRuns int
	// SinceReport is how long the VM has not been heard, LeaseLeft how long a lease that
	// this leader took may still last there; negative when it is over. Both are told
	// where the end of a VM, or of what it runs, is concluded.
	SinceReport, LeaseLeft time.Duration
	// Born is which start of the VM it is about, Acked the highest end that was
	// acknowledged to it. Told where a VM is heard or started again, or a run is not listed.
	Born, Acked int64
}

// OrderKind is what an order asks of an instance.
type OrderKind int

// The kinds of order.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
	// OrderAdvise asks the adviser which of Candidates may run the task's step;
	// the outcome is reported with Advised.
	OrderAdvise
	// OrderMaintain begins the maintenance of Machine; the outcome is reported
	// with Maintained.
	OrderMaintain
)

// Order is for an instance. The leader carries it out and reports the outcome
// with Started or Stopped.
type Order struct {
	Kind     OrderKind
	Instance batch.Instance
	Start    batch.StartOrder
	Task     batch.TaskID
	Run      int64
	Percent  int
	// Candidates are instance IDs.
	Candidates []string
	// Machine and Wave name a maintenance.
	Machine string
	Wave    int64
}
