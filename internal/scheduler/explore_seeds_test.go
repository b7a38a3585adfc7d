package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// knownSeeds are seeds that once caused a violation.
var knownSeeds = []struct {
	// failure describes the violation.
	failure string
	mix     string
	seeds   []uint64
}{
	{"a job fails for crashes although none of its tasks has crashed a VM", "restarts,alone,revoked", []uint64{1923, 2284, 3437, 4383, 5909}},
	{"a job fails for crashes although none of its tasks has crashed a VM", "restarts,alone,list,revoked,asks", []uint64{801, 8023}},
	{"the end of a VM is attributed to the last confirmed start although an unanswered start followed", "crashes,alone,revoked", []uint64{2519}},
	{"a job fails for crashes although none of its tasks has crashed a VM", "restarts,crashes", []uint64{3387}},
	{"a task is started three times after it crashed its third VM", "crashes", []uint64{1685}},
	{"a task is started three times after it crashed its third VM", "crashes,asks", []uint64{528}},
	{"a task is started three times after it crashed its third VM", "crashes,late", []uint64{2520, 2541, 5660, 6787, 7141}},
	{"a task is started three times after it crashed its third VM", "crashes,list,alone,asks", []uint64{216, 1182, 3155}},
	{"a task is started three times after it crashed its third VM", "crashes,resizes,list,alone,asks", []uint64{1531}},
	{"a task is started three times after it crashed its third VM", "restarts,crashes", []uint64{2260, 2632, 3069, 3558, 31887}},
	{"a task is started three times after it crashed its third VM", "restarts,crashes,list,alone,asks", []uint64{407, 517, 905, 2191, 3440, 6225}},
	{"a task is started three times after it crashed its third VM", "restarts,crashes,alone,revoked,late", []uint64{2478}},
	{"a task is started three times after it crashed its third VM", "crashes,restarts,attempts,timed", []uint64{1019, 1859}},
	{"a task is started three times after it crashed its third VM", "crashes,late,attempts,timed", []uint64{1274}},
	{"a task is started three times after it crashed its third VM", "crashes,successions,alone,asks", []uint64{31459, 32404, 33927}},
	{"a task is started three times after it crashed its third VM", "everything", []uint64{7787}},
	{"jobs wait in the fault-free phase while VMs are reserved for trials", "crashes,late", []uint64{134}},
	{"jobs wait in the fault-free phase while VMs are reserved for trials", "restarts,crashes", []uint64{90}},
	{"jobs wait in the fault-free phase while VMs are reserved for trials", "crashes,late,attempts,timed", []uint64{746, 757, 763, 884, 1014, 1193, 1201, 1482, 1492, 2151, 2407, 2507, 3078, 3850, 3970}},
	{"jobs wait in the fault-free phase while VMs are reserved for trials", "everything", []uint64{5465}},
	{"a VM carries out an order that its previous incarnation accepted", "restarts,carried", []uint64{20}},
	{"a leader removes its predecessors from the store while their leases last", "alone,asks,successions", []uint64{2436}},
	{"runs that never started count as crashes", "restarts,crashes", []uint64{1346}},
}

// Guards against failures that seeds of the explorer have shown.
func TestExploreKnownSeeds(t *testing.T) {
	for _, k := range knownSeeds {
		testKnownSeeds(t, k.failure, k.mix, k.seeds...)
	}
}

// testKnownSeeds runs seeds of a mix of faults, each as a subtest.
func testKnownSeeds(t *testing.T, failure, mix string, seeds ...uint64) {
	f, err := parseMix(mix)
	require.NoError(t, err)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("%s/%d", mix, seed), func(t *testing.T) {
			t.Parallel()
			if w := explore(seed, f, mutations{}, nil); w.violation != "" {
				t.Fatalf("%s: %s\n%s", failure, w.violation, failureTrace(seed, f, mutations{}))
			}
		})
	}
}

// Guards against a third start of a task after it crashed its third VM: the leaders of the earlier
// starts lose their crash counts with the lead, and can't be queried.
func TestThirdStartWhereLeadersLoseTheirCounts(t *testing.T) {
	const failure = "started three times after the third crash"
	testKnownSeeds(t, failure, "crashes", 3323)
	testKnownSeeds(t, failure, "crashes,alone,revoked", 3036, 3986)
	testKnownSeeds(t, failure, "restarts,crashes", 6799)
	testKnownSeeds(t, failure, "crashes,timed", 3535)
	testKnownSeeds(t, failure, "crashes,late", 1079)
	testKnownSeeds(t, failure, "crashes,late,attempts,timed", 17583, 18476, 22493)
	testKnownSeeds(t, failure, "crashes,attempts", 156, 1883, 2680, 3234, 3301)
}

// Guards against a third start of a task after it crashed its third VM: two or more of its first
// starts were ordered by leaders that can't write and can't be queried.
func TestThirdStartWhereFirstStartsCannotBeLogged(t *testing.T) {
	const failure = "started three times after the third crash"
	testKnownSeeds(t, failure, "crashes", 9569, 405101, 1103210)
	testKnownSeeds(t, failure, "crashes,timed", 4713, 503693, 504666)
	testKnownSeeds(t, failure, "crashes,alone,revoked", 1100197)
	testKnownSeeds(t, failure, "restarts,crashes", 7810, 1201974, 1203051)
	testKnownSeeds(t, failure, "restarts,crashes,wakes", 1301900)
	testKnownSeeds(t, failure, "crashes,lapses", 30320)
}

// Guards against the failure of a job that crashed no VM: successors attribute VM ends to its task
// that were unconfirmed crashes to their predecessors.
func TestInnocentJobIsKeptOverTakeOvers(t *testing.T) {
	const failure = "a job fails for crashes although none of its tasks has crashed a VM"
	testKnownSeeds(t, failure, "restarts,alone,list,revoked,asks", 4500)
	testKnownSeeds(t, failure, "crashes,lapses", 31822)
}

// Guards against a third start of a task after it crashed its third VM: during many VM ends, one of
// the crashes coincided with the start of another task on the VM and was not part of a trial.
func TestThirdStartAfterAnEndBesideAnother(t *testing.T) {
	const failure = "started three times after the third crash"
	testKnownSeeds(t, failure, "restarts,crashes", 1201038)
	testKnownSeeds(t, failure, "restarts,crashes,wakes", 1201038)
	testKnownSeeds(t, failure, "crashes,attempts", 500957)
	testKnownSeeds(t, failure, "crashes,alone,revoked", 400730)
}

// Guards against the failure of a job that crashed no VM: VMs end for other reasons just as its task
// starts there in a trial.
func TestInnocentJobWhoseTrialsLoseTheirVMsIsKept(t *testing.T) {
	testKnownSeeds(t, "a job fails for crashes although none of its tasks has crashed two VMs", "restarts,alone,revoked", 1102387)
}

// Guards against the failure of a job that crashed no VM: a VM reports that it never had a run to a
// leader that can't write, and successors count the unconfirmed crash as caused by the run.
func TestInnocentJobThatWasClearedWithoutTheStoreIsKept(t *testing.T) {
	testKnownSeeds(t, "a job fails for crashes although none of its tasks has crashed two VMs", "crashes,timed", 400806)
}

// Guards against jobs that have not ended 40 s after the last fault: crashing tasks leave few VMs
// for a long queue.
func TestBacklogBesideTasksThatEndVMsIsServed(t *testing.T) {
	const failure = "not ended after the fault-free phase"
	testKnownSeeds(t, failure, "crashes,late,attempts,timed", 198, 252, 433, 2421, 3973)
	testKnownSeeds(t, failure, "crashes", 6675, 401844)
	testKnownSeeds(t, failure, "crashes,late", 403007, 404612)
}

// Guards against unlimited starts of a task that crashes its VMs more than a second after its start.
func TestTaskThatEndsItsVMsAfterASecondIsGivenUp(t *testing.T) {
	testKnownSeeds(t, "started three times after the third crash", "crashes,slowcrashes", 1, 2, 4)
}

// Guards against the failure of a job that crashed no VM: another job's task crashes VMs more than a
// second after its start, while the job's trials run there.
func TestInnocentJobBesideLateEndsIsKept(t *testing.T) {
	testKnownSeeds(t, "a job fails for crashes although none of its tasks has crashed two VMs", "crashes,slowcrashes", 5, 19)
}

// Guards against a VM that carries out an order seconds late which its previous incarnation accepted:
// no leader has contacted the new incarnation yet, so it has not seen a higher fencing token.
func TestOrderOfTheStartBeforeIsCarriedOut(t *testing.T) {
	testKnownSeeds(t, "an order of the previous incarnation was carried out", "restarts,carried", 31, 0, 61)
}

// Guards against a task that is started again after its end was acknowledged: a deposed leader resumes
// just after a VM has restarted and has not seen a fencing token yet.
func TestLeaderThatWakesAtARestartStartsWhatIsDone(t *testing.T) {
	testKnownSeeds(t, "started after its end was acknowledged", "restarts,crashes,wakes", 35181)
}
