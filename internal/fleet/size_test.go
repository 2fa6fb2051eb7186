package fleet

import (
	"fmt"
	"slices"
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

var catalog = []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, BootTime: 50, Zones: []string{"a"}}}

// newWaitingJob makes a job without placed tasks.
func newWaitingJob(id, kind string, priority, tasks int, cpus float64) *sched.Job {
	return &sched.Job{ID: id, Priority: priority, Deadline: clock.Forever, Estimate: 60 * clock.Second,
		Spec:  &wire.Job{ID: id, Kind: kind, CPUs: cpus, MemoryGB: 2, Tasks: tasks, Spot: kind == wire.KindArray},
		Tasks: make([]sched.Task, tasks)}
}

// newRunningMachine makes a machine that runs the given number of tasks, which belong to
// one job that has no tasks elsewhere.
func newRunningMachine(i int, spot bool, tasks int, cpus float64, kind string) *sched.Machine {
	m := &sched.Machine{ID: fmt.Sprintf("m-%06d", i), Type: &catalog[0], Zone: "a", Spot: spot, Up: true, Token: 1,
		Placements: map[string]*sched.Placement{}, Images: map[string]sched.Micros{}, ImageSizes: map[string]float64{}}
	priority := wire.PriorityLow
	if kind == wire.KindService {
		priority = wire.PriorityProduction
	}
	j := newWaitingJob(fmt.Sprint("on-", i), kind, priority, max(tasks, 1), cpus)
	for k := range tasks {
		sched.Attach(&sched.Placement{Job: j, Index: k, Task: wire.TaskID(j.ID, k), Machine: m, Need: j.Need(),
			Priority: priority, RunningSince: sched.Micros(1 + i)}, nil)
	}
	return m
}

// newLargeInput makes a full fleet with one waiting job of 50 tasks for every five
// machines; one waiting job in five is a service.
func newLargeInput(machines int) *Input {
	in := &Input{Now: 100 * clock.Second, Catalog: catalog, RefusedUntil: map[MachineKind]sched.Micros{}, SpotWaitThreshold: 5 * clock.Second}
	for i := range machines {
		in.Machines = append(in.Machines, newRunningMachine(i, i%2 == 0, 4, 4, wire.KindArray))
	}
	for i := range machines / 5 {
		kind, priority := wire.KindArray, wire.PriorityNormal
		if i%5 == 0 {
			kind, priority = wire.KindService, wire.PriorityProduction
		}
		in.Unplaced = append(in.Unplaced, sched.Unplaced{Job: newWaitingJob(fmt.Sprint("w-", i), kind, priority, 50, 4), Count: 50})
	}
	return in
}

// TestPlansForAllWaitingJobs guards against batch work that gets no machines until
// hundreds of services are placed: with a bound on the number of tasks planned per pass
// it waited for more than a boot time. The cost must stay near the number of waiting
// tasks.
func TestPlansForAllWaitingJobs(t *testing.T) {
	in := newLargeInput(500)
	in.Machines = nil
	p := newRentalPlanner(in)
	counts := map[bool]int{}
	for _, request := range p.plan() {
		counts[request.Kind.Spot] = request.Count
	}
	if counts[true] == 0 || counts[false] == 0 {
		t.Errorf("rented by spot: %v, want spot machines for batch jobs and on-demand ones for services", counts)
	}
	in = newLargeInput(500)
	p = newRentalPlanner(in)
	p.plan()
	if limit := 10 * 100 * 50; p.entriesExamined() > limit {
		t.Errorf("examined %d incoming machines and releases, want at most %d", p.entriesExamined(), limit)
	}
}

// TestRetire checks which machines are picked to be emptied, if any.
func TestRetire(t *testing.T) {
	const batch, service = wire.KindArray, wire.KindService
	for name, c := range map[string]struct {
		machines []*sched.Machine
		headroom float64
		want     int // index in machines; -1 for none
	}{
		"the emptiest machine that fits":              {[]*sched.Machine{newRunningMachine(0, false, 3, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, 1},
		"none without capacity elsewhere":             {[]*sched.Machine{newRunningMachine(0, false, 4, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, -1},
		"none when the headroom needs the capacity":   {[]*sched.Machine{newRunningMachine(0, false, 3, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 16, -1},
		"replicas do not move to spot machines":       {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, false, 1, 4, service)}, 0, 0},
		"spot machines are retired too":               {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, true, 2, 4, batch)}, 0, 0},
		"on-demand machines before cheaper spot ones": {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, 1},
	} {
		in := &Input{Catalog: catalog, Machines: c.machines, Headroom: c.headroom, MaxReportAge: clock.Second}
		got := -1
		if list := in.MachinesToRetire(1); len(list) > 0 {
			got = slices.Index(c.machines, list[0])
		}
		if got != c.want {
			t.Errorf("%s: retires machine %d, want %d", name, got, c.want)
		}
	}
	// The tasks of machines that are retiring already need the capacity of the others too.
	in := &Input{Catalog: catalog, MaxReportAge: clock.Second}
	for i := range 3 {
		in.Machines = append(in.Machines, newRunningMachine(i, false, 2, 4, batch))
	}
	if list := in.MachinesToRetire(3); len(list) != 1 {
		t.Errorf("retires %d of three half-full machines at once, want 1: the others can't hold the tasks of two", len(list))
	}
	in.MachinesToRetire(1)[0].Retiring = true
	if list := in.MachinesToRetire(1); len(list) > 0 {
		t.Errorf("retires %s in addition to a retiring machine, but the third can't hold the tasks of both", list[0].ID)
	}
}

// BenchmarkRent measures Plan on a full fleet, by its number of machines.
func BenchmarkRent(b *testing.B) {
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := newLargeInput(n)
			for b.Loop() {
				Plan(in)
			}
		})
	}
}

// BenchmarkRetire measures MachinesToRetire on a fleet of which a third could be retired.
func BenchmarkRetire(b *testing.B) {
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := &Input{Catalog: catalog, Now: clock.Second, MaxReportAge: clock.Second}
			for i := range n {
				in.Machines = append(in.Machines, newRunningMachine(i, i%2 == 0, 1+i%3, 4, wire.KindArray))
			}
			for b.Loop() {
				if list := in.MachinesToRetire(2 + n/20); len(list) == 0 {
					b.Fatal("no machine was retired")
				}
			}
		})
	}
}
