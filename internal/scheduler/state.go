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
