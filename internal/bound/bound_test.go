package bound

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
)

const sec = clock.Second

// TestComputeBoundsKnownCases checks recordings whose optimum is known.
func TestComputeBoundsKnownCases(t *testing.T) {
	newRecording := func(cpus float64, work ...float64) *Recording {
		recording := &Recording{Capacity: []CapacityStep{{0, cpus}}}
		for i, w := range work {
			recording.Jobs = append(recording.Jobs, Job{Account: fmt.Sprint("a", i%2), From: 0, To: 100 * sec, Work: w})
		}
		return recording
	}
	for name, c := range map[string]struct {
		recording           *Recording
		minShare, meanShare float64
	}{
		"all":      {newRecording(10, 100, 100, 100, 100), 1, 1},
		"half":     {newRecording(10, 500, 500, 500, 500), 0.5, 0.5},
		"the rest": {newRecording(10, 1000, 1, 1000, 1), 0.5, 0.75},
		"none":     {newRecording(10, 5000, 5000), 0, 0},
		"one":      {newRecording(10, 5000, 500), 0, 0.5},
	} {
		r := ComputeBounds(c.recording)
		if math.Abs(r.MinShareBound-c.minShare) > 0.03 || math.Abs(r.MeanShareBound-c.meanShare) > 0.03 {
			t.Errorf("%s: %+v, want %v and %v", name, r, c.minShare, c.meanShare)
		}
	}
	// The capacity changes over time, and one window lies where there is none.
	recording := &Recording{Capacity: []CapacityStep{{0, 10}, {100 * sec, 0}, {200 * sec, 10}}, Jobs: []Job{
		{"a", 110 * sec, 190 * sec, 1}, {"b", 50 * sec, 250 * sec, 900}}}
	if r := ComputeBounds(recording); r.MinShareBound > 0.03 || r.GreedyShare["a"] != 0 || r.GreedyShare["b"] != 1 {
		t.Errorf("got %+v, want account a not served and b served", r)
	}
	if r := ComputeBounds(&Recording{}); r.MinShareBound != 0 || len(r.GreedyShare) != 0 {
		t.Errorf("got %+v for an empty recording, want no shares", r)
	}
}

// TestBoundsHoldForAllSubsets checks, over all subsets of the jobs of small random
// recordings, that no feasible subset serves more than the bounds, and that the greedy plan
// serves no more than the best subset.
func TestBoundsHoldForAllSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recording := &Recording{Capacity: []CapacityStep{{0, float64(rapid.IntRange(1, 20).Draw(t, "capacity"))}, {60 * sec, float64(rapid.IntRange(0, 20).Draw(t, "later capacity"))}}}
		n := rapid.IntRange(1, 9).Draw(t, "jobs")
		for range n {
			from := Micros(rapid.IntRange(0, 20).Draw(t, "from")) * slotLength
			recording.Jobs = append(recording.Jobs, Job{Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), From: from,
				To: from + Micros(rapid.IntRange(1, 20).Draw(t, "window"))*slotLength, Work: float64(rapid.IntRange(1, 900).Draw(t, "work"))})
		}
		r, g := ComputeBounds(recording), newGrid(recording)
		bestMinShare, bestMeanShare := 0.0, 0.0
		for subset := range 1 << n {
			if !g.feasible(subset) {
				continue
			}
			shares := make([]float64, len(g.accounts))
			for i := range n {
				if subset>>i&1 == 1 {
					shares[g.accountIndex[i]] += 1 / g.jobCount[g.accountIndex[i]]
				}
			}
			minShare, meanShare := 1.0, 0.0
			for _, share := range shares {
				minShare, meanShare = min(minShare, share), meanShare+share/float64(len(shares))
			}
			bestMinShare, bestMeanShare = max(bestMinShare, minShare), max(bestMeanShare, meanShare)
		}
		if bestMinShare > r.MinShareBound+1e-9 || bestMeanShare > r.MeanShareBound+1e-9 {
			t.Fatalf("shares %v (minimum) and %v (mean) can be served, but the bounds are %v and %v", bestMinShare, bestMeanShare, r.MinShareBound, r.MeanShareBound)
		}
		greedyMinShare := 1.0
		for _, share := range r.GreedyShare {
			greedyMinShare = min(greedyMinShare, share)
		}
		if greedyMinShare > bestMinShare+1e-9 {
			t.Fatalf("the greedy plan serves a minimum share of %v, but the best subset serves %v", greedyMinShare, bestMinShare)
		}
	})
}

// feasible reports whether all jobs of a subset fit into their windows. It schedules the
// earliest end of a window first, which is optimal for work that can be split.
func (g *grid) feasible(subset int) bool {
	need := make([]float64, len(g.work))
	for i := range need {
		if subset>>i&1 == 1 {
			need[i] = g.work[i]
		}
	}
	for t, remaining := range g.slotCapacity {
		for remaining > 1e-9 {
			next := -1
			for i := range need {
				if need[i] > 1e-9 && g.firstSlot[i] <= t && t < g.endSlot[i] && (next < 0 || g.endSlot[i] < g.endSlot[next]) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			taken := min(remaining, need[next])
			need[next] -= taken
			remaining -= taken
		}
	}
	for _, n := range need {
		if n > 1e-6 {
			return false
		}
	}
	return true
}

// TestReadLog checks that a log gives the recording although other lines are mixed in, and
// that the error for a malformed line names it.
func TestReadLog(t *testing.T) {
	const log = `    1.5000 node-1 time=2026-01-01T00:01:00.000Z level=DEBUG msg=fleet waiting=3 room=40
hello
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000001 team=core class=bulk kind=array phase=done tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000002 team=core class=bulk kind=array phase=aborted tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000003 team=core class=other kind=array phase=done tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15 deadline=39
`
	windows := ObjectiveWindows{StartWithin: map[string]Micros{"bulk": 15 * sec}, FinishWithin: map[string]Micros{"bulk": 60 * sec}}
	recording, observed, err := ReadLog(strings.NewReader(log), windows)
	if err != nil || len(recording.Jobs) != 1 || len(recording.Capacity) != 1 || recording.Capacity[0].CPUs != 40 {
		t.Fatalf("got %+v, error %v, want 1 job and 1 step of 40 CPUs", recording, err)
	}
	j := recording.Jobs[0]
	if j.Work != 120 || j.To-j.From != 30*sec || recording.Capacity[0].At != j.From-20*sec || *observed["core/bulk"] != (Observed{1, 0, 1}) {
		t.Errorf("got job %+v, observed %+v", j, observed["core/bulk"])
	}
	recording, observed, err = ReadLog(strings.NewReader(log), ObjectiveWindows{DeadlineClasses: []string{"other"}})
	if err != nil || len(recording.Jobs) != 1 || recording.Jobs[0].To-recording.Jobs[0].From != 39*sec || *observed["core/other"] != (Observed{1, 0, 0}) {
		t.Errorf("by deadline: %+v, %v", recording, err)
	}
	if _, _, err := ReadLog(strings.NewReader(strings.Replace(log, "tasks=4", "tasks=x", 1)), windows); err == nil || !strings.Contains(err.Error(), "line 3: tasks") {
		t.Error(err)
	}
}

// TestObjectiveScores checks that the score is logarithmic in the missed share between
// Worst and Best, the weighted mean, and that the error for a malformed objective names it.
func TestObjectiveScores(t *testing.T) {
	a, err := ParseObjective("done:bulk:300:1:0.01:2")
	if err != nil || a.Windows.FinishWithin["bulk"] != 300*sec {
		t.Fatalf("%+v, %v", a, err)
	}
	for share, want := range map[float64]float64{0: 0, 0.9: 0.5, 0.99: 1, 1: 1} {
		if got := a.Score(share); math.Abs(got-want) > 1e-9 {
			t.Errorf("share %v in time scores %v, want %v", share, got, want)
		}
	}
	b, err := ParseObjective("deadline:check::0.5:0.005:1")
	if err != nil || b.Windows.DeadlineClasses[0] != "check" {
		t.Fatalf("%+v, %v", b, err)
	}
	if got := MeanScore([]Objective{a, b}, []float64{0.9, 0.4}); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("got mean score %v, want 1/3", got)
	}
	for _, text := range []string{"done:bulk:300:1:0.01", "ended:bulk:300:1:0.01:1", "done:bulk::1:0.01:1", "done:bulk:300:0.01:1:1", "done:bulk:300:1:nan:1"} {
		if _, err := ParseObjective(text); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%s: got error %v, want one that quotes the text", text, err)
		}
	}
}
