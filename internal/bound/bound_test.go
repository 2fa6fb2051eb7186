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

// TestKnown: days of which the best is plain.
func TestKnown(t *testing.T) {
	day := func(rooms float64, works ...float64) *Recording {
		d := &Recording{Capacity: []CapacityStep{{0, rooms}}}
		for i, w := range works {
			d.Jobs = append(d.Jobs, Job{Account: fmt.Sprint("a", i%2), From: 0, To: 100 * sec, Work: w})
		}
		return d
	}
	for name, c := range map[string]struct {
		d           *Recording
		least, mean float64
	}{
		"all":      {day(10, 100, 100, 100, 100), 1, 1},
		"half":     {day(10, 500, 500, 500, 500), 0.5, 0.5},
		"the rest": {day(10, 1000, 1, 1000, 1), 0.5, 0.75},
		"none":     {day(10, 5000, 5000), 0, 0},
		"one":      {day(10, 5000, 500), 0, 0.5},
	} {
		r := ComputeBounds(c.d)
		if math.Abs(r.MinShareBound-c.least) > 0.03 || math.Abs(r.MeanShareBound-c.mean) > 0.03 {
			t.Errorf("%s: %+v, want %v and %v", name, r, c.least, c.mean)
		}
	}
	// What the machines have changes, and a window lies where there is nothing.
	d := &Recording{Capacity: []CapacityStep{{0, 10}, {100 * sec, 0}, {200 * sec, 10}}, Jobs: []Job{
		{"a", 110 * sec, 190 * sec, 1}, {"b", 50 * sec, 250 * sec, 900}}}
	if r := ComputeBounds(d); r.MinShareBound > 0.03 || r.GreedyShare["a"] != 0 || r.GreedyShare["b"] != 1 {
		t.Errorf("%+v", r)
	}
	if r := ComputeBounds(&Recording{}); r.MinShareBound != 0 || len(r.GreedyShare) != 0 {
		t.Errorf("%+v", r)
	}
}

// TestBoundHolds: no choice of jobs that fits their windows serves more than the bound,
// tried over all choices of small days; nor does what the greedy plan reaches.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Recording{Capacity: []CapacityStep{{0, float64(rapid.IntRange(1, 20).Draw(t, "room"))}, {60 * sec, float64(rapid.IntRange(0, 20).Draw(t, "later"))}}}
		n := rapid.IntRange(1, 9).Draw(t, "jobs")
		for range n {
			from := Micros(rapid.IntRange(0, 20).Draw(t, "from")) * slotLength
			d.Jobs = append(d.Jobs, Job{Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), From: from,
				To: from + Micros(rapid.IntRange(1, 20).Draw(t, "long"))*slotLength, Work: float64(rapid.IntRange(1, 900).Draw(t, "work"))})
		}
		r, g := ComputeBounds(d), newGrid(d)
		least, mean := 0.0, 0.0
		for set := range 1 << n {
			if !g.feasible(set) {
				continue
			}
			parts := make([]float64, len(g.names))
			for i := range n {
				if set>>i&1 == 1 {
					parts[g.account[i]] += 1 / g.count[g.account[i]]
				}
			}
			l, m := 1.0, 0.0
			for _, p := range parts {
				l, m = min(l, p), m+p/float64(len(parts))
			}
			least, mean = max(least, l), max(mean, m)
		}
		if least > r.MinShareBound+1e-9 || mean > r.MeanShareBound+1e-9 {
			t.Fatalf("%v and %v can be served, the bounds are %v and %v", least, mean, r.MinShareBound, r.MeanShareBound)
		}
		l := 1.0
		for _, part := range r.GreedyShare {
			l = min(l, part)
		}
		if l > least+1e-9 {
			t.Fatalf("the plan reaches %v, the best is %v", l, least)
		}
	})
}

// feasible reports whether a set of jobs fits into its windows, by earliest end first,
// which is optimal for work that can be split.
func (g *grid) feasible(set int) bool {
	need := make([]float64, len(g.work))
	for i := range need {
		if set>>i&1 == 1 {
			need[i] = g.work[i]
		}
	}
	for t, room := range g.slotCapacity {
		for room > 1e-9 {
			next := -1
			for i := range need {
				if need[i] > 1e-9 && g.from[i] <= t && t < g.to[i] && (next < 0 || g.to[i] < g.to[next]) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			take := min(room, need[next])
			need[next] -= take
			room -= take
		}
	}
	for _, n := range need {
		if n > 1e-6 {
			return false
		}
	}
	return true
}

// TestRead: a log with lines of others between gives the day, and bad ones are named.
func TestRead(t *testing.T) {
	const log = `    1.5000 node-1 time=2026-01-01T00:01:00.000Z level=DEBUG msg=fleet waiting=3 room=40
hello
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000001 team=core class=bulk kind=array phase=done tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000002 team=core class=bulk kind=array phase=aborted tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15
time=2026-01-01T00:02:00.000Z level=DEBUG msg="job over" job=req-000003 team=core class=other kind=array phase=done tasks=4 cpus=2 ready=10 began=30 over=50 estimate=15 deadline=39
`
	aims := ObjectiveWindows{StartWithin: map[string]Micros{"bulk": 15 * sec}, FinishWithin: map[string]Micros{"bulk": 60 * sec}}
	d, served, err := ReadLog(strings.NewReader(log), aims)
	if err != nil || len(d.Jobs) != 1 || len(d.Capacity) != 1 || d.Capacity[0].CPUs != 40 {
		t.Fatalf("%+v, %v", d, err)
	}
	j := d.Jobs[0]
	if j.Work != 120 || j.To-j.From != 30*sec || d.Capacity[0].At != j.From-20*sec || *served["core/bulk"] != (Observed{1, 0, 1}) {
		t.Errorf("%+v, %+v", j, served["core/bulk"])
	}
	d, served, err = ReadLog(strings.NewReader(log), ObjectiveWindows{DeadlineClasses: []string{"other"}})
	if err != nil || len(d.Jobs) != 1 || d.Jobs[0].To-d.Jobs[0].From != 39*sec || *served["core/other"] != (Observed{1, 0, 0}) {
		t.Errorf("by deadline: %+v, %v", d, err)
	}
	if _, _, err := ReadLog(strings.NewReader(strings.Replace(log, "tasks=4", "tasks=x", 1)), aims); err == nil || !strings.Contains(err.Error(), "line 3: tasks") {
		t.Error(err)
	}
}

// TestFigure: worth is by the logarithm of what is missed, within its bounds; malformed
// aims are named.
func TestFigure(t *testing.T) {
	a, err := ParseObjective("done:bulk:300:1:0.01:2")
	if err != nil || a.Windows.FinishWithin["bulk"] != 300*sec {
		t.Fatalf("%+v, %v", a, err)
	}
	for part, want := range map[float64]float64{0: 0, 0.9: 0.5, 0.99: 1, 1: 1} {
		if got := a.Score(part); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v in time is worth %v, not %v", part, got, want)
		}
	}
	b, err := ParseObjective("deadline:check::0.5:0.005:1")
	if err != nil || b.Windows.DeadlineClasses[0] != "check" {
		t.Fatalf("%+v, %v", b, err)
	}
	if got := MeanScore([]Objective{a, b}, []float64{0.9, 0.4}); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("figure %v", got)
	}
	for _, text := range []string{"done:bulk:300:1:0.01", "ended:bulk:300:1:0.01:1", "done:bulk::1:0.01:1", "done:bulk:300:0.01:1:1", "done:bulk:300:1:nan:1"} {
		if _, err := ParseObjective(text); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
