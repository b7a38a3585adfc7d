// Package scheduler decides where tasks run: from the known state of jobs and VMs
// and the current time it computes orders. It does no I/O and reads no clock. One
// leader at a time feeds it and carries out its orders.
package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/estimate"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

// Time is the leader's monotonic clock, measured from the start of the process.
type Time = time.Duration

// Settings are the limits set by the deployment.
type Settings struct {
	// MaxLease is the longest lease that a VM accepts.
	MaxLease time.Duration
	// StopTimeout is how long a VM may take to stop a run.
	StopTimeout time.Duration
	// UnavailableDuration is how long a lasting task counts as unavailable after a
	// stop notice. It limits the rate at which lasting tasks are moved.
	UnavailableDuration time.Duration
	// FarFactor is how many times as long tasks take in another rack than that of their data or
	// their group; 0 or 1 if the rack makes no difference.
	FarFactor float64
	// Policy tunes the scheduling decisions; nil means DefaultPolicy.
	Policy *Policy
}

// maxLeaseDuration limits the leases requested from VMs that accept longer ones. Eight
// seconds survive a network partition of about six seconds, and lasting tasks of a VM
// that dies run elsewhere within nine.
const maxLeaseDuration = 8 * time.Second

// Lease returns the duration of the leases that the leader requests.
func (s Settings) Lease() time.Duration { return min(s.MaxLease, maxLeaseDuration) }

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

// vm is one incarnation of a VM known to the leader; see restarts.go.
type vm struct {
	// inst is the entry on the list, possibly that of another incarnation. born identifies
	// the incarnation that reports (0 if unknown), firstReportAt is the time of its first report.
	inst          batch.Instance
	born          int64
	firstReportAt Time
	// listed is set while the instance is on the store's list.
	listed bool
	// token is the fencing token of messages to this incarnation: higher than that of
	// messages to the previous one, unless needsToken is set. lastHoldToken is that of the
	// last hold. fenced is set if there was no previous incarnation, or once this one has
	// responded to a hold with token: it then refuses messages sent to the previous one.
	token, lastHoldToken int64
	needsToken, fenced   bool
	// initiallyStale is set if the entry had not been updated for long when first seen.
	initiallyStale bool
	// unlistedAt is when the instance left the list.
	unlistedAt Time
	// hasReported is set once the instance has seen this leader's fencing token and
	// reported its runs.
	hasReported  bool
	lastReportAt Time
	clock        clock
	runs         map[batch.TaskID]*run
	// runList holds the runs in the order in which they were attached. Iterating over the
	// map instead would make plans for equal inputs differ. It is replaced, not modified,
	// when a run is detached, so that loops over it may end runs.
	runList []*run
	used    batch.Resources
	// fillerCPU is the CPU demand of the fillers here, in thousandths of a processor.
	fillerCPU int64
	// servingRuns counts the serving runs, servingCPU is their declared need in
	// thousandths of a processor.
	servingRuns int
	servingCPU  int64
	// shortCPU is the declared need of short tasks, in thousandths of a processor.
	shortCPU int64
	// processedSeq is the highest sequence number of a processed end, durableSeq the
	// highest whose effects are in the store, so that it may be acknowledged.
	processedSeq int64
	durableSeq   int64
	// deferredEnds are ends of unknown jobs by sequence number, unknownRuns the runs of
	// such jobs.
	deferredEnds map[int64]batch.RunEnd
	unknownRuns  map[batch.TaskID]int64
	// expirySeq is the highest end that reports an expired lease. Every run here with a
	// number up to maxExpiredRun began before a moment at which all leases here had expired.
	expirySeq, maxExpiredRun int64
	// expiredLeaseEnd is the leaseExpiry for which maxExpiredRun was determined.
	expiredLeaseEnd Time
	// missingSince is when the first machine service list without the instance was
	// requested; 0 if the last list had it.
	missingSince Time
	// ackLimit, if set, is the first end that is never acknowledged; see withhold.
	ackLimit int64
	// unwantedRuns are runs on the VM that belong to no open task and were ordered to stop.
	unwantedRuns []unwantedRun
	// health tracks recent failures; see health.go.
	health health
	// speed is learned from the runs that ended here; see unevenness.go.
	speed runtimes.Speed
	// otherIncarnation is set when a different incarnation than the one that reported
	// responds to an order; cleared by the next report.
	otherIncarnation bool
	// leaseUntil is the end of the lease on the instance's clock.
	leaseUntil time.Duration
	// holdWait is how long the VM waits for an end before it responds to the last hold.
	holdWait time.Duration
	// closed is set while the VM is emptied for maintenance and accepts no new tasks.
	closed bool
	// evacuated is set while the VM's availability zone is evacuated.
	evacuated bool
	// holdUnanswered is set while the last hold has failed. firstUnansweredAt is when the
	// first hold since the last report failed (0 for none), unansweredHolds counts them.
	holdUnanswered    bool
	firstUnansweredAt Time
	unansweredHolds   int
	// connectionClosed is set if the first of them failed because its connection was closed.
	connectionClosed bool
	// trialRun is the run of a suspect; nothing is started beside it while it is recent.
	// reservedTask is the suspect for which the VM is reserved until reservedUntil.
	trialRun      *run
	reservedTask  *task
	reservedUntil Time
	// leaseExpiry is when all runs on the VM have certainly ended unless the lease is renewed.
	leaseExpiry Time
	// paceChangedAt is when the pace of a filler here was last changed; overTargetSince is
	// since when a serving task has been over its target, 0 if none is.
	paceChangedAt   Time
	overTargetSince Time
	// fillerPaceCap limits the pace of all fillers, in percent, after a tail was over its
	// target for long without an identified cause; it was last changed at fillerPaceCapAt.
	fillerPaceCap   int
	fillerPaceCapAt Time
	// lastSample is the sample that the next report is compared with.
	lastSample reportSample
	// recentFillers are ended fillers whose usage still affects the reported metrics.
	recentFillers []endedFiller
	// tailExcess is the logarithm of the ratio of reported to predicted tails.
	tailExcess float64
	// tails is computed from runs; see predictedTails.
	tails []tail
	// fillerCapacity is the CPU that fillers may use, fillerFullUse what the running ones
	// use at full pace, in thousandths of a processor; computed together with tails.
	fillerCapacity, fillerFullUse float64
	tailsAt                       Time
	tailsStale                    bool
}

// clock relates an instance's clock to the leader's.
type clock struct {
	known bool
	// The instance's clock read value at some moment between sentAt and gotAt.
	sentAt, gotAt Time
	value         time.Duration
}

// minClockRate is the minimum rate of an instance's clock, which may be 2 % slow.
const minClockRate = 0.98

// Scheduler holds a leader's view of jobs and VMs. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	policy   Policy
	fence    int64
	// maxToken is the highest fencing token that this leader may use; see restarts.go.
	maxToken int64
	// nextRun is the next run number. Its upper bits are the fencing token, so that run
	// numbers increase across leaders without being stored.
	nextRun int64
	config  *batch.Config
	// evacuations are the evacuations in force; never nil.
	evacuations *batch.Evacuations
	vms         map[string]*vm
	vmList      []*vm
	jobs        map[string]*job
	readySteps  []*step
	// timedJobs are the jobs with future occurrences.
	timedJobs map[string]*job
	dirtyJobs map[string]*job
	waves     map[int64]*wave
	// hasUnguardedPools is set if the VMs of some pool do not enforce their capacity.
	hasUnguardedPools bool
	// listReadAt is when the VM list was last read.
	listReadAt Time
	// recentVMEnds are the incarnations that ended recently, unconfirmedCrashes the runs
	// that may have ended an incarnation. vmEndRecords are the VM ends that are being
	// classified or were recently.
	recentVMEnds       map[vmIncarnation]vmEnd
	unconfirmedCrashes map[vmIncarnation]map[*task]int64
	vmEndRecords       []*vmEndRecord
	startLog           startLog
	// endedUnreported is set once a VM that an earlier leader may have used ended before
	// its first report to this leader, or the wait for that report timed out.
	endedUnreported bool
	// trialCursor is the position in vmList where the next search for a trial VM begins.
	trialCursor int
	// machines is the machine service's list; nil until it is read.
	machines map[string]batch.Machine
	// awaitedVMs are instances that may run tasks of an earlier leader and have not
	// reported yet, with the time when the wait for each ends.
	awaitedVMs map[string]Time
	// expiredLeases holds the lease state of forgotten VMs, which may return.
	expiredLeases map[string]ExpiredLease
	// unknownJobsSince are the unknown jobs that VMs report, with the time of the first
	// such report; absentJobs those that are not in the store.
	unknownJobsSince map[string]Time
	absentJobs       map[string]Time
	// leadConfirmedAt is the latest moment before which no other leader can have been elected.
	leadConfirmedAt Time
	// newJobsRevision is the store revision after which created jobs cannot have been
	// accepted by an earlier leader; 0 until it is known.
	newJobsRevision int64
	orders          []Order
	// planNeeded is set when a new plan may differ from the last one.
	planNeeded bool
	// startBudget limits the starts that may still be decided; see SetStartBudget.
	startBudget StartBudget
	// startLimitHitAt is when the budget last prevented starts; 0 for never.
	startLimitHitAt Time
	// meanWork is the mean work of each queue's recent jobs, in processor seconds.
	meanWork map[string]float64
	// durationRatios relates declared durations to real ones.
	durationRatios durationRatios
	// estimates predicts the durations of each queue's steps; see EstimateRegression.
	estimates  map[string]*estimate.Model
	unevenness unevenness
	images     effectModel
	reserve    reserve
	// fairness and demand are nil unless the policy uses them.
	fairness *fairness
	demand   *demand
	// candidates is the candidate list of the step that is being placed.
	candidates candidates
	// unplacedAt is when a task last found no place in the whole fleet.
	unplacedAt Time
	// wantedRacks holds the racks that were full for tasks that prefer them, with the time at which
	// they last were.
	wantedRacks map[string]Time
	// crowded is set while lasting and short tasks declare most of all processors.
	crowded bool
	// reportedVMs counts the reachable VMs, nonServingVMs those of them without serving runs.
	reportedVMs, nonServingVMs int
	logf                       func(Decision)
	plannedAt                  Time
	waitLoggedAt               Time
	interferenceLoggedAt       Time
	// loadLoggedAt is when the fleet's load was last logged.
	loadLoggedAt Time
}

// runNumberBits allows one leader to number 2^24 runs.
const runNumberBits = 24

// New returns a scheduler for the leader with the given fencing token. log is
// called for each decision; it may be nil.
func New(settings Settings, fence int64, log func(Decision)) *Scheduler {
	if log == nil {
		log = func(Decision) {}
	}
	policy := DefaultPolicy()
	if settings.Policy != nil {
		policy = *settings.Policy
	}
	return &Scheduler{
		wantedRacks: map[string]Time{},
		fairness:    newFairness(&policy), demand: newDemand(&policy),
		startBudget: UnlimitedStarts, evacuations: &batch.Evacuations{},
		settings: settings, policy: policy, fence: fence, maxToken: fence, nextRun: fence << runNumberBits, vms: map[string]*vm{}, jobs: map[string]*job{},
		timedJobs: map[string]*job{}, dirtyJobs: map[string]*job{}, waves: map[int64]*wave{}, awaitedVMs: map[string]Time{}, recentVMEnds: map[vmIncarnation]vmEnd{}, unconfirmedCrashes: map[vmIncarnation]map[*task]int64{}, startLog: startLog{inherited: map[vmIncarnation][]*inheritedStart{}, lostVMs: map[string]bool{}}, expiredLeases: map[string]ExpiredLease{}, unknownJobsSince: map[string]Time{}, absentJobs: map[string]Time{}, images: newEffectModel(), meanWork: map[string]float64{}, durationRatios: durationRatios{}, estimates: map[string]*estimate.Model{}, unevenness: unevenness{spreads: map[string]*runtimes.Spread{}}, logf: log,
	}
}

// Decision is a log line: an event of the closed list in docs/OPERATIONS.md, its
// subject and its reason.
type Decision struct {
	Event string
	Job   string
	Task  batch.TaskID
	VM    string
	Run   int64
	// Reason names the input that led to the decision.
	Reason string
	// Age is the age of that input, or how long the subject has waited.
	Age time.Duration
	// Group is the queue group of the step whose task is started.
	Group string
	// Place is where a started run is, or how a wait for a place ended.
	Place Place
	// PredictedWait is the wait until the job's first start that was predicted when the job
	// arrived. It is set for that start if HasPrediction is.
	PredictedWait time.Duration
	HasPrediction bool
	// Value is a number that belongs to the reason.
	Value float64
	// Outcome tells which run of a copied task was first: CopyWon or CopyLost.
	Outcome string
	// MinLifetime is how long a lost run is known to have run, MaxLifetime the longest that
	// it can have run, which is until a hold to its VM first went unanswered. Runs that end
	// their VM as they begin live for a few milliseconds each time.
	MinLifetime, MaxLifetime time.Duration
	// RecentRuns counts the runs that had just begun on a VM that is gone.
	RecentRuns int
	// SinceReport is the time since the VM's last report, LeaseLeft how long a lease of
	// this leader may still be valid there (negative if expired). Both are set where the
	// end of a VM or of its runs is inferred.
	SinceReport, LeaseLeft time.Duration
	// Born identifies the VM's incarnation, Acked the highest end acknowledged to it. They
	// are set where a VM first reports or restarts, or a run is not listed.
	Born, Acked int64
	// Zone is the availability zone whose evacuation begins or ends, Revision the store
	// revision of the request.
	Zone     string
	Revision int64
}

// OrderKind is the type of an order.
type OrderKind int

// The kinds of order.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
	// OrderAdvise asks the adviser which of Candidates may run the task's step; the
	// leader passes the outcome to Advised.
	OrderAdvise
	// OrderMaintain begins the maintenance of Machine; the leader passes the outcome to
	// HandleMaintenanceResult.
	OrderMaintain
)

// Order is an instruction for an instance. The leader carries it out and passes the
// outcome to Started or Stopped.
type Order struct {
	Kind     OrderKind
	Instance batch.Instance
	Start    batch.StartOrder
	Task     batch.TaskID
	Run      int64
	Percent  int
	// Candidates are the IDs of the instances that OrderAdvise names.
	Candidates []string
	// Machine and Wave name a maintenance.
	Machine string
	Wave    int64
}
