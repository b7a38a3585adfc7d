package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// knownSeeds broke a rule once.
var knownSeeds = []struct {
	// guards names the failure.
	guards string
	mix    string
	seeds  []uint64
}{
	{"a job is given up for crashes, and no task of it has ended a VM", "restarts,alone,revoked", []uint64{1923, 2284, 3437, 4383, 5909}},
	{"a job is given up for crashes, and no task of it has ended a VM", "restarts,alone,list,revoked,asks", []uint64{801, 8023}},
	{"the VM's end is blamed on the last that began there, and a start without an answer came later", "crashes,alone,revoked", []uint64{2519}},
	{"a job is given up for crashes, and no task of it has ended a VM", "restarts,crashes", []uint64{3387}},
	{"a task is started the third time after its third VM", "crashes", []uint64{1685}},
	{"a task is started the third time after its third VM", "crashes,asks", []uint64{528}},
	{"a task is started the third time after its third VM", "crashes,late", []uint64{2520, 2541, 5660, 6787, 7141}},
	{"a task is started the third time after its third VM", "crashes,list,alone,asks", []uint64{216, 1182, 3155}},
	{"a task is started the third time after its third VM", "crashes,resizes,list,alone,asks", []uint64{1531}},
	{"a task is started the third time after its third VM", "restarts,crashes", []uint64{2260, 2632, 3069, 3558, 31887}},
	{"a task is started the third time after its third VM", "restarts,crashes,list,alone,asks", []uint64{407, 517, 905, 2191, 3440, 6225}},
	{"a task is started the third time after its third VM", "restarts,crashes,alone,revoked,late", []uint64{2478}},
	{"a task is started the third time after its third VM", "crashes,restarts,attempts,timed", []uint64{1019, 1859}},
	{"a task is started the third time after its third VM", "crashes,late,attempts,timed", []uint64{1274}},
	{"a task is started the third time after its third VM", "crashes,successions,alone,asks", []uint64{31459, 32404, 33927}},
	{"a task is started the third time after its third VM", "everything", []uint64{7787}},
	{"work waits in calm beside VMs that are kept for trials", "crashes,late", []uint64{134}},
	{"work waits in calm beside VMs that are kept for trials", "restarts,crashes", []uint64{90}},
	{"work waits in calm beside VMs that are kept for trials", "crashes,late,attempts,timed", []uint64{746, 757, 763, 884, 1014, 1193, 1201, 1482, 1492, 2151, 2407, 2507, 3078, 3850, 3970}},
	{"work waits in calm beside VMs that are kept for trials", "everything", []uint64{5465}},
	{"a VM carries out an order which its start before had taken", "restarts,carried", []uint64{20}},
	{"a leader takes its predecessors off the record while leases of theirs last", "alone,asks,successions", []uint64{2436}},
	{"runs that never began count as crashes", "restarts,crashes", []uint64{1346}},
}

// Guards against each failure that a seed of the explorer has shown.
func TestExploreKnownSeeds(t *testing.T) {
	for _, k := range knownSeeds {
		testKnownSeeds(t, k.guards, k.mix, k.seeds...)
	}
}

// testKnownSeeds plays seeds of a mix, each as a test of its own.
func testKnownSeeds(t *testing.T, guards, mix string, seeds ...uint64) {
	f, err := parseMix(mix)
	require.NoError(t, err)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("%s/%d", mix, seed), func(t *testing.T) {
			t.Parallel()
			if w := explore(seed, f, mutations{}, nil); w.violation != "" {
				t.Fatalf("%s: %s\n%s", guards, w.violation, failureTrace(seed, f, mutations{}))
			}
		})
	}
}

// Guards against a task that is started a third time after its third VM had ended under it,
// since the leaders that had started it before lost their counts with the lead, and none of them
// can be asked.
func TestThirdStartWhereLeadersLoseTheirCounts(t *testing.T) {
	const guards = "started the third time after the third VM"
	testKnownSeeds(t, guards, "crashes", 3323)
	testKnownSeeds(t, guards, "crashes,alone,revoked", 3036, 3986)
	testKnownSeeds(t, guards, "restarts,crashes", 6799)
	testKnownSeeds(t, guards, "crashes,timed", 3535)
	testKnownSeeds(t, guards, "crashes,late", 1079)
	testKnownSeeds(t, guards, "crashes,late,attempts,timed", 17583, 18476, 22493)
	testKnownSeeds(t, guards, "crashes,attempts", 156, 1883, 2680, 3234, 3301)
}

// Guards against a task that is started a third time after its third VM had ended under it: two or
// more of its first starts were given by leaders that could not write, and nobody can ask these.
func TestThirdStartWhereFirstStartsCannotBeLogged(t *testing.T) {
	const guards = "started the third time after the third VM"
	testKnownSeeds(t, guards, "crashes", 9569, 405101, 1103210)
	testKnownSeeds(t, guards, "crashes,timed", 4713, 503693, 504666)
	testKnownSeeds(t, guards, "crashes,alone,revoked", 1100197)
	testKnownSeeds(t, guards, "restarts,crashes", 7810, 1201974, 1203051)
	testKnownSeeds(t, guards, "restarts,crashes,wakes", 1301900)
	testKnownSeeds(t, guards, "crashes,lapses", 30320)
}

// Guards against an innocent job that is given up, since successors take the ends that their
// predecessors had in doubt for those of its task.
func TestInnocentJobIsKeptOverTakeOvers(t *testing.T) {
	const guards = "a job is given up for crashes, and no task of it has ended a VM"
	testKnownSeeds(t, guards, "restarts,alone,list,revoked,asks", 4500)
	testKnownSeeds(t, guards, "crashes,lapses", 31822)
}

// Guards against a task that is started a third time after its third VM had ended under it: in a storm
// one of the ends came as another task began beside it, and was no trial.
func TestThirdStartAfterAnEndBesideAnother(t *testing.T) {
	const guards = "started the third time after the third VM"
	testKnownSeeds(t, guards, "restarts,crashes", 1201038)
	testKnownSeeds(t, guards, "restarts,crashes,wakes", 1201038)
	testKnownSeeds(t, guards, "crashes,attempts", 500957)
	testKnownSeeds(t, guards, "crashes,alone,revoked", 400730)
}

// Guards against an innocent job that is given up, since VMs end by themselves just as its task begins
// there in a trial.
func TestInnocentJobWhoseTrialsLoseTheirVMsIsKept(t *testing.T) {
	testKnownSeeds(t, "a job is given up for crashes, and no task of it has ended two VMs", "restarts,alone,revoked", 1102387)
}

// Guards against an innocent job that is given up: a VM told that it never had a run to a leader that
// could no longer write, and successors take the doubt about it for an end that the run brought about.
func TestInnocentJobThatWasClearedWithoutTheStoreIsKept(t *testing.T) {
	testKnownSeeds(t, "a job is given up for crashes, and no task of it has ended two VMs", "crashes,timed", 400806)
}

// Guards against work that has not come to its end 40 s after all faults, where tasks that end
// their VMs leave few of them to a long queue.
func TestBacklogBesideTasksThatEndVMsIsServed(t *testing.T) {
	const guards = "not ended after the calm"
	testKnownSeeds(t, guards, "crashes,late,attempts,timed", 198, 252, 433, 2421, 3973)
	testKnownSeeds(t, guards, "crashes", 6675, 401844)
	testKnownSeeds(t, guards, "crashes,late", 403007, 404612)
}

// Guards against a task that ends its VMs later than a second after it began, and is started
// again and again.
func TestTaskThatEndsItsVMsAfterASecondIsGivenUp(t *testing.T) {
	testKnownSeeds(t, "started the third time after the third VM", "crashes,slowcrashes", 1, 2, 4)
}

// Guards against a job that is given up since another's task ended its VMs later than a second
// after it began, beside its trials.
func TestInnocentJobBesideLateEndsIsKept(t *testing.T) {
	testKnownSeeds(t, "a job is given up for crashes, and no task of it has ended two VMs", "crashes,slowcrashes", 5, 19)
}

// Guards against a VM that carries out an order seconds late which its start before had taken:
// nobody has spoken to this one yet, so that it has seen no higher fencing token.
func TestOrderOfTheStartBeforeIsCarriedOut(t *testing.T) {
	testKnownSeeds(t, "an order of the start before", "restarts,carried", 31, 0, 61)
}

// Guards against a task that is started again after its end was acknowledged: a deposed leader wakes
// just after a VM has started again, which has seen no fencing token yet.
func TestLeaderThatWakesAtARestartStartsWhatIsDone(t *testing.T) {
	testKnownSeeds(t, "started after its end was acknowledged", "restarts,crashes,wakes", 35181)
}
