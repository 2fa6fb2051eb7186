package fleet

import (
	"fmt"
	"testing"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestHeadroomCountsReclaimableCPUs guards against renting without end: a booting
// machine whose capacity is assigned to waiting batch work must still count as headroom,
// since services may preempt that work. Otherwise every pass would rent for the headroom
// anew.
func TestHeadroomCountsReclaimableCPUs(t *testing.T) {
	catalog := []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, BootTime: 50, Zones: []string{"a"}}}
	service := &sched.Job{ID: "s", Priority: wire.PriorityProduction, Deadline: clock.Forever,
		Spec: &wire.Job{Kind: wire.KindService, CPUs: 2, MemoryGB: 2, Tasks: 1}}
	batch := &sched.Job{ID: "b", Priority: wire.PriorityLow, Deadline: clock.Forever, Estimate: 10 * clock.Second,
		Spec: &wire.Job{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4, Tasks: 4}, Tasks: make([]sched.Task, 4)}
	in := &Input{Catalog: catalog, RefusedUntil: map[MachineKind]sched.Micros{}, Headroom: 10, Service: service,
		Unplaced: []sched.Unplaced{{Job: batch, Count: 4}}, PendingRentals: []PendingRental{{MachineKind{"m", "a", false}, 1}}}
	if requests := Plan(in); len(requests) != 0 {
		t.Errorf("got requests %v while a machine that covers the headroom is pending, want none", requests)
	}
	in.PendingRentals = nil
	if requests := Plan(in); len(requests) != 1 || requests[0].Kind.Spot {
		t.Errorf("got requests %v, want one for an on-demand machine", requests)
	}
}

// TestRentsForExpectedLoad guards against capacity that stays one boot time behind the
// load when work starts to arrive: while a gang waits that should start sooner than a
// machine could boot, the machines that arriving work needs by Little's law must be
// rented at once, also if a waiting service precedes the gang.
func TestRentsForExpectedLoad(t *testing.T) {
	catalog := []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, BootTime: 50, Zones: []string{"a"}}}
	gang := &sched.Job{ID: "g", ReadyAt: clock.Second, StartTargets: []sched.Micros{26 * clock.Second}, LastStartTarget: 26 * clock.Second, Deadline: clock.Forever,
		Estimate: 60 * clock.Second, Spec: &wire.Job{Kind: wire.KindGang, CPUs: 8, MemoryGB: 4, Tasks: 2, Spot: true}, Tasks: make([]sched.Task, 2)}
	service := &sched.Job{ID: "s", Priority: wire.PriorityProduction, ReadyAt: clock.Second, StartTargets: []sched.Micros{5 * clock.Second}, LastStartTarget: 5 * clock.Second,
		Deadline: clock.Forever, Spec: &wire.Job{Kind: wire.KindService, CPUs: 2, MemoryGB: 2, Tasks: 1}, Tasks: make([]sched.Task, 1)}
	for _, j := range []*sched.Job{gang, service} {
		j.ComputeSize(catalog)
	}
	countRented := func(unplaced ...sched.Unplaced) int {
		n := 0
		for _, request := range Plan(&Input{Now: clock.Second, Catalog: catalog, RefusedUntil: map[MachineKind]sched.Micros{}, BatchLoad: 160, Unplaced: unplaced}) {
			n += request.Count
		}
		return n
	}
	if n := countRented(sched.Unplaced{Job: service, Count: 1}, sched.Unplaced{Job: gang, Count: 2}); n < 10 {
		t.Errorf("rented %d machines, want at least 10 for the expected load", n)
	}
	if n := countRented(sched.Unplaced{Job: service, Count: 1}); n > 1 {
		t.Errorf("rented %d machines for a service alone, want at most 1", n)
	}
}

// planTimeLimit is how long a plan may take: a leader that is busy for longer loses its lease.
const planTimeLimit = 3 * time.Second

// TestPlanTimeIsBounded guards against plans whose cost grows with the announced work: the leader
// makes one four times a second on the goroutine that also renews its lease, and users announce what
// they like.
func TestPlanTimeIsBounded(t *testing.T) {
	catalog := []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, BootTime: 50, Zones: []string{"a"}}}
	newArray := func(id string, tasks int) sched.Unplaced {
		j := &sched.Job{ID: id, ReadyAt: clock.Second, StartTargets: []sched.Micros{26 * clock.Second}, LastStartTarget: 26 * clock.Second, Deadline: clock.Forever,
			Estimate: 3600 * clock.Second, Spec: &wire.Job{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4, Tasks: tasks, Spot: true}, Tasks: make([]sched.Task, tasks)}
		j.ComputeSize(catalog)
		return sched.Unplaced{Job: j, Count: tasks}
	}
	var manyTasks []sched.Unplaced
	for i := range 40 {
		manyTasks = append(manyTasks, newArray(fmt.Sprint(i), 100_000))
	}
	service := &sched.Job{ID: "s", Priority: wire.PriorityProduction, Deadline: clock.Forever, Spec: &wire.Job{Kind: wire.KindService, CPUs: 2, MemoryGB: 2, Tasks: 1}}
	service.ComputeSize(catalog)
	refused := map[MachineKind]sched.Micros{{"m", "a", false}: clock.Forever, {"m", "a", true}: clock.Forever}
	for name, in := range map[string]*Input{
		"expected load":                  {BatchLoad: 1e12, Unplaced: []sched.Unplaced{newArray("a", 4)}},
		"expected load beyond rounding":  {BatchLoad: 1e300, Unplaced: []sched.Unplaced{newArray("a", 4)}},
		"headroom for services":          {Headroom: 1e12, Service: service},
		"four million waiting tasks":     {Unplaced: manyTasks},
		"four million that can't rent":   {Unplaced: manyTasks, RefusedUntil: refused},
		"four million before a service":  {Unplaced: append(manyTasks[:40:40], sched.Unplaced{Job: service, Count: 1}), RefusedUntil: refused},
		"a pending rental for all tasks": {Unplaced: manyTasks, PendingRentals: []PendingRental{{MachineKind{"m", "a", true}, 50}}},
	} {
		t.Run(name, func(t *testing.T) {
			in.Now, in.Catalog = clock.Second, catalog
			if in.RefusedUntil == nil {
				in.RefusedUntil = map[MachineKind]sched.Micros{}
			}
			done := make(chan []RentalRequest, 1)
			startedAt := time.Now()
			go func() { done <- Plan(in) }()
			select {
			case requests := <-done:
				t.Logf("%v for requests %v", time.Since(startedAt), requests)
				if len(requests) == 0 && in.RefusedUntil[MachineKind{"m", "a", true}] == 0 {
					t.Error("nothing is rented")
				}
			case <-time.After(planTimeLimit):
				t.Fatalf("the plan takes longer than %v", planTimeLimit)
			}
		})
	}
}
