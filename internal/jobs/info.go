package jobs

import (
	"sort"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Info describes a job in API responses.
type Info struct {
	Spec        model.JobSpec  `json:"spec"`
	SubmittedMS int64          `json:"submitted_unix_ms"`
	EndedMS     int64          `json:"ended_unix_ms,omitempty"`
	Cancelled   bool           `json:"cancelled,omitempty"`
	Counts      map[string]int `json:"counts"`
	Evictions   int            `json:"evictions"`
	// Tasks is set only when a single job is requested.
	Tasks []TaskInfo `json:"tasks,omitempty"`
}

// TaskInfo describes one task of a job in API responses.
type TaskInfo struct {
	Index      int    `json:"index"`
	State      string `json:"state"`
	Attempt    int64  `json:"attempt"`
	VM         string `json:"vm,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Failures   int    `json:"failures,omitempty"`
	Evictions  int    `json:"evictions,omitempty"`
}

// Listing describes a team's jobs. Totals covers all teams of the shard.
type Listing struct {
	Jobs   []Info `json:"jobs"`
	Totals Totals `json:"shard_totals"`
}

// InfoOf describes j, with its tasks if withTasks is set.
func InfoOf(j *Job, withTasks bool) Info {
	info := Info{
		Spec: j.Spec, SubmittedMS: j.SubmittedMS, EndedMS: j.EndedMS, Cancelled: j.Cancelled, Counts: map[string]int{},
	}
	for i, t := range j.Tasks {
		info.Counts[t.State.String()]++
		info.Evictions += t.Evictions
		if withTasks {
			info.Tasks = append(info.Tasks, TaskInfo{
				Index: i, State: t.State.String(), Attempt: t.Attempt, VM: t.VM,
				Checkpoint: t.Checkpoint, Failures: t.Failures, Evictions: t.Evictions,
			})
		}
	}
	return info
}

// SortInfos sorts by submission time, oldest first, and then by job ID.
func SortInfos(infos []Info) {
	sort.Slice(infos, func(i, j int) bool {
		if infos[i].SubmittedMS != infos[j].SubmittedMS {
			return infos[i].SubmittedMS < infos[j].SubmittedMS
		}
		return infos[i].Spec.ID < infos[j].Spec.ID
	})
}

// Usage holds what a team's jobs currently use.
type Usage struct {
	OpenJobs  int             `json:"open_jobs"`
	Placed    int             `json:"placed"`
	Queued    int             `json:"queued"`
	Resources model.Resources `json:"resources"`
}

// UsageOf sums the usage of the jobs in a listing.
func UsageOf(l Listing) Usage {
	var u Usage
	for _, j := range l.Jobs {
		if j.EndedMS == 0 {
			u.OpenJobs++
		}
		placed := j.Counts[Placed.String()]
		u.Placed += placed
		u.Queued += j.Counts[Queued.String()]
		for range placed {
			u.Resources = u.Resources.Add(j.Spec.PerTask)
		}
	}
	return u
}
