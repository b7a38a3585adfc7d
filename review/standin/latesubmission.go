//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

const (
	// lossTime is how long the store loses answers, lossShare which share of the writes is lost,
	// lateTime how much later these are carried out.
	lossTime  = 2500 * time.Millisecond
	lossShare = 0.35
	lateTime  = 6 * time.Second
	// jobInterval is the time between two jobs. The last one is handed in early enough that all
	// writes for it are made while the store loses answers.
	jobInterval  = 38 * time.Millisecond
	lateJobs     = 36
	observeTime  = 14 * time.Second
	settleTime   = 4 * time.Second
	shortSteps   = `[{"count":2,"cpu":2000,"mem_mb":400,"estimate_ms":1000}]`
	lastingSteps = `[{"count":2,"cpu":2000,"mem_mb":400,"estimate_ms":500,"long_running":true}]`
	shortMillis  = 1000
)

// cancelledJob is a job that its client has cancelled.
type cancelledJob struct {
	id           string
	submitted    int
	acknowledged time.Time
}

// lateSubmission makes the store lose answers, while clients hand jobs in and cancel them.
func lateSubmission(r *record, trouble bool) (int, error) {
	s := &losingStore{r: r}
	d, err := start(r, options{workers: workerCount, store: func(p *platformtest.Deployment) (string, error) {
		s.store = p.Store
		return s.serve()
	}})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	leader := d.leader()
	if leader == nil {
		return exitNotRun, fmt.Errorf("no leader")
	}
	r.printf("%s leads", leader.name)
	began := time.Now()
	if trouble {
		r.printf("platform_lost late: for %s, a share of %g of the writes is not answered and done %s later", lossTime, lossShare, lateTime)
		s.lose(lossShare, lateTime)
		time.AfterFunc(lossTime, func() {
			s.lose(0, 0)
			r.printf("platform_lost ends")
		})
	}
	jobs := make([]cancelledJob, lateJobs)
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() { jobs[i] = d.submitAndCancel(leader, d.other(leader), i) })
		time.Sleep(jobInterval)
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(observeTime)))
	if e := d.leader(); e != nil {
		r.printf("%s leads; %d writes were lost", e.name, s.lost)
	}
	return d.judgeCancelled(jobs), nil
}

// submitAndCancel hands a job in at one process and, once that was answered, cancels it at another
// process.
func (d *deployment) submitAndCancel(at, elsewhere *edge, i int) cancelledJob {
	j := cancelledJob{id: fmt.Sprintf("00000000000000%02x", i+1)}
	t, steps := platformtest.Task{Millis: shortMillis}, shortSteps
	if i%2 == 1 {
		t, steps = platformtest.Task{}, lastingSteps
	}
	j.submitted = d.submit(at, j.id, t, steps)
	d.printf("client DELETE %s at %s", j.id, elsewhere.name)
	status, answer := d.call(elsewhere, http.MethodDelete, platformtest.QueuePrefix+j.id, nil)
	if status/100 == 2 || status == http.StatusGone {
		j.acknowledged = time.Now()
	}
	d.printf("client DELETE %s at %s: %d %s", j.id, elsewhere.name, status, answer)
	return j
}

// judgeCancelled checks UNASKED: no task starts later than cancel_ms after the acknowledgement of
// its job's cancelling.
func (d *deployment) judgeCancelled(jobs []cancelledJob) int {
	code := exitHeld
	for _, j := range jobs {
		times := d.Record.Times(j.id)
		_, state := d.call(d.other(nil), http.MethodGet, platformtest.QueuePrefix+j.id, nil)
		switch {
		case j.acknowledged.IsZero():
			d.printf("%s: submission answered %d, cancelling not acknowledged; %d runs, %d done; state %s", j.id, j.submitted, times.Runs, times.DoneTasks, state)
		case times.StartedAt.IsZero():
			d.printf("%s: submission answered %d, cancelled, never started; state %s", j.id, j.submitted, state)
		default:
			after := times.StartedAt.Sub(j.acknowledged)
			d.printf("%s: submission answered %d, first start %.3f s after the acknowledgement, %d runs, %d done; state %s", j.id, j.submitted, after.Seconds(), times.Runs, times.DoneTasks, state)
			if after > cancelBound {
				d.printf("UNASKED: a task of %s started %.3f s after the job's cancelling was acknowledged", j.id, after.Seconds())
				code = exitBroken
			}
		}
	}
	return code
}
