package scheduler

import (
	"maps"
	"slices"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Progress is the durable part of a job's progress: everything that a leader may have
// acknowledged to a VM or reported to a caller. Starts are not part of it, since VMs
// report their runs.
type Progress struct {
	// State is set only if it is final.
	State batch.State `json:"state,omitempty"`
	// DoneLow is the lowest occurrence that is not done.
	DoneLow int `json:"done_low,omitempty"`
	// Done lists the finished occurrences above DoneLow.
	Done []int `json:"done,omitempty"`
	// Open holds the progress of the open occurrences.
	Open []OccurrenceProgress `json:"open,omitempty"`
	// Ended holds recently ended occurrences with only the runs that completed their tasks.
	Ended []OccurrenceProgress `json:"ended,omitempty"`
}

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Number int            `json:"n"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	// Done is a bitmap of the tasks that are done.
	Done []byte `json:"d,omitempty"`
	// Runs are the packed numbers of the runs that completed the tasks in Done. The end
	// of another run may be reported later and must not count as well.
	Runs []byte `json:"r,omitempty"`
	// Failures lists failed runs as pairs of task index and run number, so that a
	// repeated end does not count twice.
	Failures [][2]int64 `json:"f,omitempty"`
	// Crashes lists recent runs whose VM ended or may have ended.
	Crashes []CrashProgress `json:"c,omitempty"`
}

// CrashProgress records that a VM ended, or may have ended, with a recent run.
type CrashProgress struct {
	Task int   `json:"t"`
	Run  int64 `json:"r"`
	// Kind is a crashKind.
	Kind int64 `json:"k,omitempty"`
	// VM is the instance, "" for a run that was not placed yet; Born identifies its incarnation.
	VM   string `json:"v,omitempty"`
	Born int64  `json:"b,omitempty"`
	// Lived is set if the run was some tenths of a second old at its VM's last report.
	Lived bool `json:"l,omitempty"`
}

// progress returns the job's record to be stored.
func (j *job) progress() *Progress {
	p := &Progress{DoneLow: j.doneLow, Ended: j.recentOccurrences}
	if j.state.Final() {
		p.State = j.state
		return p
	}
	p.Done = slices.Sorted(maps.Keys(j.doneOccs))
	for _, number := range slices.Sorted(maps.Keys(j.occs)) {
		p.Open = append(p.Open, j.occs[number].progress())
	}
	p.Open = append(p.Open, j.unopenedProgress()...)
	return p
}

// unopenedProgress returns the restored progress of occurrences that are not open yet.
// A record without it would lose acknowledged ends.
func (j *job) unopenedProgress() []OccurrenceProgress {
	if j.restoredProgress == nil {
		return nil
	}
	var open []OccurrenceProgress
	for i := range j.restoredProgress.Open {
		if j.unopened(j.restoredProgress.Open[i].Number) {
			open = append(open, j.restoredProgress.Open[i])
		}
	}
	return open
}

func (o *occurrence) progress() OccurrenceProgress {
	p := OccurrenceProgress{Number: o.number, Steps: make([]StepProgress, len(o.steps))}
	for i := range o.steps {
		st := &o.steps[i]
		sp := &p.Steps[i]
		if st.tasksLeft < len(st.tasks) {
			sp.Done = make([]byte, (len(st.tasks)+7)/8)
			sp.Runs = packRuns(st.countedRuns())
		}
		for k := range st.tasks {
			t := &st.tasks[k]
			if t.done {
				sp.Done[k/8] |= 1 << (k % 8)
			}
			if t.done {
				continue
			}
			for _, number := range t.failedRuns {
				sp.Failures = append(sp.Failures, [2]int64{int64(k), number})
			}
			for _, c := range t.crashes {
				sp.Crashes = append(sp.Crashes, CrashProgress{Task: k, Run: c.run, Kind: int64(c.kind), VM: c.vm.id, Born: c.vm.born, Lived: c.lived})
			}
		}
	}
	return p
}

// restore applies the record of an earlier leader.
func (j *job) restore(p *Progress) {
	j.doneLow = p.DoneLow
	for _, n := range p.Done {
		j.doneOccs[n] = true
	}
	if p.State.Final() {
		j.state = p.State
		j.durableState = p.State
		j.started = true
	}
	if len(p.Open) > 0 || p.DoneLow > 0 {
		j.started = true
	}
	j.restoredProgress = p
	j.recentOccurrences = p.Ended
}

// apply copies the recorded progress of an occurrence to it.
func (p *Progress) apply(o *occurrence) {
	for i := range p.Open {
		if p.Open[i].Number != o.number || len(p.Open[i].Steps) != len(o.steps) {
			continue
		}
		for k := range o.steps {
			p.Open[i].Steps[k].apply(&o.steps[k])
		}
	}
}

func (p *StepProgress) apply(st *step) {
	counted := unpackRuns(p.Runs)
	for k := range st.tasks {
		if k/8 >= len(p.Done) || p.Done[k/8]&(1<<(k%8)) == 0 {
			continue
		}
		t := &st.tasks[k]
		t.done = true
		if len(counted) > 0 {
			t.doneRun, counted = counted[0], counted[1:]
		}
		st.tasksLeft--
		st.waiting--
	}
	for _, f := range p.Failures {
		if f[0] >= 0 && f[0] < int64(len(st.tasks)) {
			t := &st.tasks[f[0]]
			t.failedRuns = append(t.failedRuns, f[1])
		}
	}
	for _, c := range p.Crashes {
		if c.Task >= 0 && c.Task < len(st.tasks) && !st.tasks[c.Task].done {
			st.tasks[c.Task].setCrash(crash{run: c.Run, kind: crashKind(c.Kind), vm: vmIncarnation{c.VM, c.Born}, lived: c.Lived})
		}
	}
}

// Record is a job's progress to be written to the store.
type Record struct {
	Job      string
	Progress *Progress
	// Revision is the revision of the record in the store; 0 for none.
	Revision int64
	// Spec is the job; Queue and Pool are those that it was submitted to.
	Spec        *batch.Job
	Queue, Pool string
	version     int64
}

// Flush is a set of records to write, with the ends that become durable once all of
// them are written.
type Flush struct {
	Records []Record
	ends    map[*vm]int64
}

// PendingWrites returns what has to be written, or nil if there is nothing.
func (s *Scheduler) PendingWrites() *Flush {
	f := &Flush{ends: map[*vm]int64{}}
	for _, id := range slices.Sorted(maps.Keys(s.dirtyJobs)) {
		j := s.dirtyJobs[id]
		f.Records = append(f.Records, Record{Job: id, Progress: j.progress(), Revision: j.recordRevision, Spec: j.spec, Queue: j.queue, Pool: j.pool, version: j.version})
	}
	for _, v := range s.vms {
		if seq := v.accountedSeq(); seq > v.durableSeq {
			f.ends[v] = seq
		}
	}
	if len(f.Records) == 0 && len(f.ends) == 0 {
		return nil
	}
	return f
}

// RecordWritten marks a record as written at the given revision.
func (s *Scheduler) RecordWritten(r Record, revision int64) {
	j := s.jobs[r.Job]
	if j == nil {
		return
	}
	j.recordRevision = revision
	j.writtenVersion = max(j.writtenVersion, r.version)
	if r.Progress.State.Final() {
		j.durableState = r.Progress.State
	}
	if j.version == r.version {
		delete(s.dirtyJobs, r.Job)
	}
}

// RecordRevision returns the revision of a job's record in the store, 0 for none.
func (s *Scheduler) RecordRevision(id string) int64 {
	if j := s.jobs[id]; j != nil {
		return j.recordRevision
	}
	return 0
}

// RecordFound sets the revision found in the store after a write conflict.
func (s *Scheduler) RecordFound(id string, revision int64) {
	if j := s.jobs[id]; j != nil {
		j.recordRevision = revision
	}
}

// Flushed marks all records of f as written, so that the ends they include may be
// acknowledged.
func (s *Scheduler) Flushed(f *Flush) {
	for v, seq := range f.ends {
		v.durableSeq = max(v.durableSeq, seq)
	}
}
