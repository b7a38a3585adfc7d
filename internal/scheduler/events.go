package scheduler

// Events of a Decision. docs/OPERATIONS.md has the same list.
const (
	// EventAdviceNone: the adviser allowed none of the VMs in its request.
	EventAdviceNone = "advice_none"
	// EventCopyEnded: a copied task is done.
	EventCopyEnded = "copy_ended"
	// EventCrashNoted: a VM ended, or may have ended, with a recent run.
	EventCrashNoted = "crash_noted"
	// EventEndDeferred: an end is kept unacknowledged because its job is not known yet.
	EventEndDeferred = "end_deferred"
	// EventEndSuperseded: a run ended as done after another run completed the task.
	EventEndSuperseded = "end_superseded"
	// EventEndUntracked: an end belongs to no open task: its job or occurrence has
	// ended or does not exist.
	EventEndUntracked = "end_untracked"
	// EventEndWithheld: an end is never acknowledged because its task was started again.
	EventEndWithheld = "end_withheld"
	// EventFairShare: who was given more than its part of the room, periodically.
	EventFairShare = "fair_share"
	// EventFleetLoad: periodic summary of the VMs' capacity and the demand for it.
	EventFleetLoad = "fleet_load"
	// EventForecast: the predicted waits of a queue's new jobs, periodically.
	EventForecast = "forecast"
	// EventInterference: periodic summary of the interference model.
	EventInterference = "interference"
	// EventJobEnded: a job reached its final state.
	EventJobEnded = "job_ended"
	// EventJobHeld: no task of a job is started because its progress can't be read.
	EventJobHeld = "job_held"
	// EventJobTaken: the leader accepted a job.
	EventJobTaken = "job_taken"
	// EventMachineClosed: a machine is being emptied for maintenance.
	EventMachineClosed = "machine_closed"
	// EventMachineMaintained: a machine's maintenance was ordered.
	EventMachineMaintained = "machine_maintained"
	// EventPlaceWaitBegun: tasks began to wait for a place in the rack that they prefer.
	EventPlaceWaitBegun = "place_wait_begun"
	// EventPlaceWaitEnded: a wait for a place in a rack ended.
	EventPlaceWaitEnded = "place_wait_ended"
	// EventRunAdopted: a run started by an earlier leader was adopted.
	EventRunAdopted = "run_adopted"
	// EventRunAway: a run was started outside the rack that its task prefers.
	EventRunAway = "run_away"
	// EventRunCopied: a copy of a run was started on another VM.
	EventRunCopied = "run_copied"
	// EventRunEnded: a VM reported the end of a run.
	EventRunEnded = "run_ended"
	// EventRunLost: a run ended without a report of its end.
	EventRunLost = "run_lost"
	// EventRunNotBegun: a start was dropped before it was sent, for instance because of a stop.
	EventRunNotBegun = "run_not_begun"
	// EventRunPaced: a filler's pace was changed.
	EventRunPaced = "run_paced"
	// EventRunSlow: a remedy for a run that is slower than its siblings was considered.
	EventRunSlow = "run_slow"
	// EventRunStarted: a start was ordered.
	EventRunStarted = "run_started"
	// EventRunStopped: a stop was ordered.
	EventRunStopped = "run_stopped"
	// EventRunUnwanted: a VM has a run that belongs to no open task; it is stopped.
	EventRunUnwanted = "run_unwanted"
	// EventStartRefused: a VM refused a start.
	EventStartRefused = "start_refused"
	// EventStartUnknown: a start got no response from its VM.
	EventStartUnknown = "start_unknown"
	// EventTaskOverdue: a task was started before others since its job had waited for too long.
	EventTaskOverdue = "task_overdue"
	// EventTaskStarved: a task of a job without runs was started despite interference with others.
	EventTaskStarved = "task_starved"
	// EventTaskWaits: the obstacles that keep the first waiting task from being placed.
	EventTaskWaits = "task_waits"
	// EventVMDraining: a VM announced that it will leave.
	EventVMDraining = "vm_draining"
	// EventVMGone: a VM was declared ended.
	EventVMGone = "vm_gone"
	// EventVMHeard: a VM reported its runs for the first time.
	EventVMHeard = "vm_heard"
	// EventVMListed: a VM was added to the store's list.
	EventVMListed = "vm_listed"
	// EventVMResized: a VM's capacity changed.
	EventVMResized = "vm_resized"
	// EventVMRestarted: a VM restarted under the same ID.
	EventVMRestarted = "vm_restarted"
	// EventVMSpeeds: periodic summary of the learned speeds.
	EventVMSpeeds = "vm_speeds"
	// EventVMSuspected: a VM gets no work for a while because runs failed or stalled there.
	EventVMSuspected = "vm_suspected"
	// EventVMUnlisted: a VM was removed from the store's list.
	EventVMUnlisted = "vm_unlisted"
	// EventVMWaitedOut: the wait for a VM that never reported is over.
	EventVMWaitedOut = "vm_waited_out"
	// EventWaveBegun: a wave of maintenance was accepted.
	EventWaveBegun = "wave_begun"
	// EventZoneEvacuated: an availability zone gets no new work.
	EventZoneEvacuated = "zone_evacuated"
	// EventZoneReopened: an availability zone's evacuation was withdrawn.
	EventZoneReopened = "zone_reopened"
)

// Events lists all events of decisions.
var Events = []string{
	EventAdviceNone,
	EventCopyEnded,
	EventCrashNoted,
	EventEndDeferred,
	EventEndSuperseded,
	EventEndUntracked,
	EventEndWithheld,
	EventFairShare,
	EventFleetLoad,
	EventForecast,
	EventInterference,
	EventJobEnded,
	EventJobHeld,
	EventJobTaken,
	EventMachineClosed,
	EventMachineMaintained,
	EventPlaceWaitBegun,
	EventPlaceWaitEnded,
	EventRunAdopted,
	EventRunAway,
	EventRunCopied,
	EventRunEnded,
	EventRunLost,
	EventRunNotBegun,
	EventRunPaced,
	EventRunSlow,
	EventRunStarted,
	EventRunStopped,
	EventRunUnwanted,
	EventStartRefused,
	EventStartUnknown,
	EventTaskOverdue,
	EventTaskStarved,
	EventTaskWaits,
	EventVMDraining,
	EventVMGone,
	EventVMHeard,
	EventVMListed,
	EventVMResized,
	EventVMRestarted,
	EventVMSpeeds,
	EventVMSuspected,
	EventVMUnlisted,
	EventVMWaitedOut,
	EventWaveBegun,
	EventZoneEvacuated,
	EventZoneReopened,
}
