package scheduler

// The events that a Decision may have. docs/OPERATIONS.md has the same list.
const (
	// EventAdviceNone: the adviser allowed none of the VMs it was asked about.
	EventAdviceNone = "advice_none"
	// EventCrashNoted: a VM ended, or may have, while a run was new there.
	EventCrashNoted = "crash_noted"
	// EventEndDeferred: an end is kept unacknowledged, since its job is not known yet.
	EventEndDeferred = "end_deferred"
	// EventEndSuperseded: a run ended as done, and another run of the task counts.
	EventEndSuperseded = "end_superseded"
	// EventEndUntracked: an end of a task that is not kept: of a job or an
	// occurrence that has ended, or that does not exist.
	EventEndUntracked = "end_untracked"
	// EventEndWithheld: an end is never acknowledged, since its task was started again.
	EventEndWithheld = "end_withheld"
	// EventFleetLoad: what the VMs have and what is asked of them, now and then.
	EventFleetLoad = "fleet_load"
	// EventInterference: what was learned of interference, now and then.
	EventInterference = "interference"
	// EventJobEnded: a job got its final state.
	EventJobEnded = "job_ended"
	// EventJobHeld: nothing of a job is started, since its progress can't be read.
	EventJobHeld = "job_held"
	// EventJobTaken: the leader took a job up.
	EventJobTaken = "job_taken"
	// EventMachineClosed: a machine is being emptied for maintenance.
	EventMachineClosed = "machine_closed"
	// EventMachineMaintained: a machine's maintenance was ordered.
	EventMachineMaintained = "machine_maintained"
	// EventRunAdopted: a run that an earlier leader started was taken over.
	EventRunAdopted = "run_adopted"
	// EventRunCopied: a copy of a run was started elsewhere.
	EventRunCopied = "run_copied"
	// EventRunEnded: a VM told the end of a run.
	EventRunEnded = "run_ended"
	// EventRunLost: a run ended without its VM telling how.
	EventRunLost = "run_lost"
	// EventRunNotBegun: a start was not given any more, since it was overtaken by a stop.
	EventRunNotBegun = "run_not_begun"
	// EventRunPaced: a filler's pace was changed.
	EventRunPaced = "run_paced"
	// EventRunStarted: a start was ordered.
	EventRunStarted = "run_started"
	// EventRunStopped: a stop was ordered.
	EventRunStopped = "run_stopped"
	// EventRunUnwanted: a VM runs what it should not; it is stopped.
	EventRunUnwanted = "run_unwanted"
	// EventStartRefused: a VM refused a start.
	EventStartRefused = "start_refused"
	// EventStartUnknown: a VM left a start without an answer.
	EventStartUnknown = "start_unknown"
	// EventTaskStarved: a task that had nothing running of its job started beside others.
	EventTaskStarved = "task_starved"
	// EventTaskWaits: what keeps the first waiting task from being placed.
	EventTaskWaits = "task_waits"
	// EventVMDraining: a VM said that it leaves.
	EventVMDraining = "vm_draining"
	// EventVMGone: a VM's life has ended.
	EventVMGone = "vm_gone"
	// EventVMHeard: a VM told what it runs for the first time.
	EventVMHeard = "vm_heard"
	// EventVMListed: a VM came onto the store's list.
	EventVMListed = "vm_listed"
	// EventVMResized: a VM's capacity has changed.
	EventVMResized = "vm_resized"
	// EventVMRestarted: a VM has started again under its ID.
	EventVMRestarted = "vm_restarted"
	// EventVMSuspected: a VM gets no work for a while because of what ran there.
	EventVMSuspected = "vm_suspected"
	// EventVMUnlisted: a VM went off the store's list.
	EventVMUnlisted = "vm_unlisted"
	// EventVMWaitedOut: a VM that was never heard need not be waited for any more.
	EventVMWaitedOut = "vm_waited_out"
	// EventWaveBegun: a wave of maintenance was taken up.
	EventWaveBegun = "wave_begun"
)

// Events lists all of them.
var Events = []string{
	EventAdviceNone,
	EventCrashNoted,
	EventEndDeferred,
	EventEndSuperseded,
	EventEndUntracked,
	EventEndWithheld,
	EventFleetLoad,
	EventInterference,
	EventJobEnded,
	EventJobHeld,
	EventJobTaken,
	EventMachineClosed,
	EventMachineMaintained,
	EventRunAdopted,
	EventRunCopied,
	EventRunEnded,
	EventRunLost,
	EventRunNotBegun,
	EventRunPaced,
	EventRunStarted,
	EventRunStopped,
	EventRunUnwanted,
	EventStartRefused,
	EventStartUnknown,
	EventTaskStarved,
	EventTaskWaits,
	EventVMDraining,
	EventVMGone,
	EventVMHeard,
	EventVMListed,
	EventVMResized,
	EventVMRestarted,
	EventVMSuspected,
	EventVMUnlisted,
	EventVMWaitedOut,
	EventWaveBegun,
}
