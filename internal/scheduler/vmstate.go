package scheduler

import (
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/scheduler/runtimes"
)

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
