package sched

import (
	"fmt"
	"testing"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// largeInput returns a fleet of the given number of machines, a third of them full, with
// waiting arrays and services.
func largeInput(machines, jobs, tasks int) *Input {
	typ := &wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 40, Price: 1, SpotPrice: 0.2}
	in := &Input{Now: 100 * clock.Second, MaxReportAge: 3 * clock.Second, Teams: map[string]*Team{"t": {}},
		FetchRates: map[string]float64{"m": 0.3}, MaxTasksPerMachine: 100, ImageLocalityWindow: clock.Forever}
	attempts := uint64(0)
	in.NextAttempt = func() uint64 { attempts++; return attempts }
	newJob := func(id, kind string, priority, tasks int, cpus float64) *Job {
		j := newJob(id, priority, 10, 50, 0)
		j.Spec.Kind, j.Spec.Tasks, j.Spec.CPUs, j.Spec.MemoryGB = kind, tasks, cpus, 2
		j.Spec.Image, j.Spec.ImageGB, j.Spec.Spot = "img-"+id[len(id)-1:], 2, kind == wire.KindArray
		j.Tasks, j.FailedOn = make([]Task, tasks), map[string]bool{}
		for i := range tasks {
			j.Queue = append(j.Queue, int32(i))
		}
		return j
	}
	old := newJob("old0", wire.KindArray, wire.PriorityLow, machines*4, 4)
	for i := range machines {
		m := &Machine{ID: fmt.Sprintf("m-%06d", i), Type: typ, Zone: "a", Spot: i%2 == 0, Up: true, Token: 1,
			LastReportAt: in.Now, Placements: map[string]*Placement{}, Images: map[string]Micros{}, ImageSizes: map[string]float64{}}
		in.Machines = append(in.Machines, m)
		for k := 0; i%3 == 0 && k < 4; k++ {
			index := 4*i + k
			Attach(&Placement{Job: old, Index: index, Task: wire.TaskID(old.ID, index), Machine: m, Need: old.Need(),
				Team: "t", Priority: old.Priority, Image: old.Spec.Image, RunningSince: 1}, in.Teams)
		}
	}
	for i := range jobs {
		kind, priority, cpus := wire.KindArray, wire.PriorityLow+i%2, 4.0
		if i%4 == 0 {
			kind, priority, cpus = wire.KindService, wire.PriorityProduction, 2
		}
		in.Jobs = append(in.Jobs, newJob(fmt.Sprintf("j%d", i), kind, priority, tasks, cpus))
	}
	return in
}

// TestPassCost bounds the cost of a pass at 500 machines by its number of evaluations: two
// for each pair of a job and a machine, and a few more for each task placed and for each
// machine on which tasks would have to be stopped. The number must not grow with the tasks of
// each job.
func TestPassCost(t *testing.T) {
	const machines, jobs, tasks = 500, 100, 50
	in := largeInput(machines, jobs, tasks)
	out := Plan(in)
	if limit := 2*machines*jobs + 3*len(out.Launch); out.Evaluations > limit {
		t.Errorf("%d evaluations, limit %d", out.Evaluations, limit)
	}
	if len(out.Launch) < 1000 || len(out.Unplaced) == 0 {
		t.Errorf("%d launches, %d jobs unplaced: the input does not exercise the limit", len(out.Launch), len(out.Unplaced))
	}
}

// BenchmarkPass increases machines and waiting jobs together. "room" is the fleet of
// largeInput, one third full; "full" is the pass after it, which finds hardly any room;
// "over" is the same under overload, with half of the jobs needed for a minimum served share.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{250, 873, 1310, 1835, 2500, 4000} {
		for _, kind := range []string{"room", "full", "over"} {
			b.Run(fmt.Sprintf("%d-%s", n, kind), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					in := largeInput(n, n/5, 50)
					if kind == "over" {
						fairShare := &FairShare{Share: 1e9}
						in.FairShare = func(*Job) *FairShare { return fairShare }
						for i, j := range in.Jobs {
							j.MinShareStatus = admit.MinShareStatus{Needed: i%2 == 0, ServedShare: float64(i) / float64(len(in.Jobs))}
						}
					}
					if kind != "room" {
						Plan(in)
					}
					b.StartTimer()
					Plan(in)
				}
			})
		}
	}
}

// TestImageLocality checks that free room goes to the job whose image is on the machine,
// unless the job before it has waited longer by more than the window, and that no room stays
// unused.
func TestImageLocality(t *testing.T) {
	for _, c := range []struct {
		window Micros
		slots  int
		want   []string
	}{
		{30 * clock.Second, 1, []string{"younger/0"}},
		{5 * clock.Second, 1, []string{"older/0"}},
		{30 * clock.Second, 2, []string{"younger/0", "older/0"}},
	} {
		in := largeInput(1, 0, 0)
		m := in.Machines[0]
		for _, p := range m.Placements {
			Detach(p, in.Teams)
		}
		m.Images["warm"] = 1
		m.Type.CPUs = 4 * float64(c.slots)
		in.ImageLocalityWindow = c.window
		for i, id := range []string{"older", "younger"} {
			j := newJob(id, wire.PriorityLow, Micros(10+20*i), 50, 0)
			j.Spec.CPUs, j.Spec.Tasks, j.Spec.ImageGB, j.Spec.Spot = 4, 1, 2, true
			j.Spec.Image = []string{"cold", "warm"}[i]
			j.Tasks, j.Queue = make([]Task, 1), []int32{0}
			in.Jobs = append(in.Jobs, j)
		}
		out := Plan(in)
		var got []string
		for _, p := range out.Launch {
			got = append(got, p.Task)
		}
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("window %v s, %d slots: placed %v, want %v", c.window.Seconds(), c.slots, got, c.want)
		}
	}
}

// TestChooseMachine covers the criteria for choosing between two machines. The second one is
// the expected choice.
func TestChooseMachine(t *testing.T) {
	localImage := func(m *Machine) { m.Images["img"] = 1 }
	spot := func(m *Machine) { m.Spot = true }
	fuller := func(m *Machine) {
		task := fmt.Sprint("x/", len(m.Placements))
		Attach(&Placement{Task: task, Machine: m, Need: Resources{CPUs: 8}, RunningSince: 1}, nil)
	}
	failing := func(m *Machine) { m.Errors = 1 }
	plain := func(*Machine) {}
	for name, c := range map[string]struct {
		first, second func(*Machine)
		dependsOn     []string
		spotLifetime  float64 // mean seconds until the cloud reclaims a spot machine; 0 for never
		checkpoint    float64
	}{
		"local image before fetch":                     {plain, localImage, nil, 0, 0},
		"spot before on-demand":                        {plain, spot, nil, 0, 0},
		"spot before on-demand if losses are rare":     {plain, spot, nil, 80, 0},
		"on-demand before spot if losses are frequent": {spot, plain, nil, 70, 0},
		"spot for checkpointed work in any case":       {plain, spot, nil, 70, 10},
		"on-demand before spot in a pipeline":          {spot, plain, []string{"a"}, 0, 0},
		"fuller before emptier":                        {plain, fuller, nil, 0, 0},
		"healthy before failing":                       {failing, plain, nil, 0, 0},
		"free before full with a local image":          {func(m *Machine) { localImage(m); fuller(m); fuller(m) }, plain, nil, 0, 0},
	} {
		in := largeInput(0, 0, 0)
		typ := &wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64}
		for i, set := range []func(*Machine){c.first, c.second} {
			m := &Machine{ID: fmt.Sprint("m-", i), Type: typ, Zone: "a", Up: true, Token: 1, LastReportAt: in.Now,
				Placements: map[string]*Placement{}, Images: map[string]Micros{}, ImageSizes: map[string]float64{}}
			in.Machines = append(in.Machines, m)
			set(m)
		}
		j := newJob("j", wire.PriorityNormal, 10, 50, 0)
		j.Spec.CPUs, j.Spec.Tasks, j.Spec.Image, j.Spec.ImageGB, j.Spec.Spot = 4, 1, "img", 2, true
		j.Tasks, j.Queue, j.Spec.DependsOn = make([]Task, 1), []int32{0}, c.dependsOn
		j.Spec.CheckpointInterval = c.checkpoint
		if c.spotLifetime > 0 {
			in.SpotLossRate = 1 / c.spotLifetime
		}
		in.Jobs = []*Job{j}
		out := Plan(in)
		if len(out.Launch) != 1 || out.Launch[0].Machine != in.Machines[1] {
			t.Errorf("%s: placed %v", name, out.Launch)
		}
	}
}
