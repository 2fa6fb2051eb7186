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

func newWaitingJob(id, kind string, priority, tasks int, cpus float64) *sched.Job {
	return &sched.Job{ID: id, Priority: priority, Deadline: clock.Forever, Estimate: 60 * clock.Second,
		Spec:  &wire.Job{ID: id, Kind: kind, CPUs: cpus, MemoryGB: 2, Tasks: tasks, Spot: kind == wire.KindArray},
		Tasks: make([]sched.Task, tasks)}
}

// running makes a machine that runs tasks of a job of its own.
func newRunningMachine(i int, spot bool, tasks int, cpus float64, kind string) *sched.Machine {
	m := &sched.Machine{ID: fmt.Sprintf("m-%06d", i), Type: &catalog[0], Zone: "a", Spot: spot, Up: true, Acked: true,
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

// TestLooksAtAllThatWaits guards against batch work that gets no machines until
// hundreds of services are placed: a bound on the tasks looked at once left it
// waiting for a boot and more, found on the first grown days. The cost stays
// near the number of waiting tasks.
func TestPlansForAllWaitingJobs(t *testing.T) {
	in := newLargeInput(500)
	in.Machines = nil
	p := newRentalPlanner(in)
	counts := map[bool]int{}
	for _, request := range p.plan() {
		counts[request.Kind.Spot] = request.Count
	}
	if counts[true] == 0 || counts[false] == 0 {
		t.Errorf("rents %v, want spot machines for batch and ordinary ones for services", counts)
	}
	in = newLargeInput(500)
	p = newRentalPlanner(in)
	p.plan()
	if limit := 10 * 100 * 50; p.entriesExamined() > limit {
		t.Errorf("looked at %d bins and releases, limit %d", p.entriesExamined(), limit)
	}
}

// TestRetire covers which machine is emptied, if any.
func TestRetire(t *testing.T) {
	const batch, service = wire.KindArray, wire.KindService
	for name, c := range map[string]struct {
		machines []*sched.Machine
		headroom float64
		want     int // -1: none
	}{
		"what the others can take":             {[]*sched.Machine{newRunningMachine(0, false, 3, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, 1},
		"none without room elsewhere":          {[]*sched.Machine{newRunningMachine(0, false, 4, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, -1},
		"none when services need the room":     {[]*sched.Machine{newRunningMachine(0, false, 3, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 16, -1},
		"replicas do not go to spot":           {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, false, 1, 4, service)}, 0, 0},
		"spot machines empty too":              {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, true, 2, 4, batch)}, 0, 0},
		"ordinary before spot, which is cheap": {[]*sched.Machine{newRunningMachine(0, true, 1, 4, batch), newRunningMachine(1, false, 1, 4, batch)}, 0, 1},
	} {
		in := &Input{Catalog: catalog, Machines: c.machines, Headroom: c.headroom, MaxReportAge: clock.Second}
		got := -1
		if list := in.MachinesToRetire(1); len(list) > 0 {
			got = slices.Index(c.machines, list[0])
		}
		if got != c.want {
			t.Errorf("%s: empties %d, want %d", name, got, c.want)
		}
	}
	// What is being emptied needs the room of the others too.
	in := &Input{Catalog: catalog, MaxReportAge: clock.Second}
	for i := range 3 {
		in.Machines = append(in.Machines, newRunningMachine(i, false, 2, 4, batch))
	}
	if list := in.MachinesToRetire(3); len(list) != 1 {
		t.Errorf("empties %d at once, though the third has not the room for two", len(list))
	}
	in.MachinesToRetire(1)[0].Retiring = true
	if list := in.MachinesToRetire(1); len(list) > 0 {
		t.Errorf("empties %s as well, though the third has not the room for both", list[0].ID)
	}
}

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

// BenchmarkRetire is the choice of what to empty where a third could go.
func BenchmarkRetire(b *testing.B) {
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := &Input{Catalog: catalog, Now: clock.Second, MaxReportAge: clock.Second}
			for i := range n {
				in.Machines = append(in.Machines, newRunningMachine(i, i%2 == 0, 1+i%3, 4, wire.KindArray))
			}
			for b.Loop() {
				if list := in.MachinesToRetire(2 + n/20); len(list) == 0 {
					b.Fatal("empties none")
				}
			}
		})
	}
}
