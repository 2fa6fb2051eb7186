package fleet

import (
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestHeadroomCountsWhatYields guards against renting without end: booting
// machines whose room waiting batch work will fill still serve as headroom,
// since services may stop that work.
func TestHeadroomCountsReclaimableCPUs(t *testing.T) {
	catalog := []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, BootTime: 50, Zones: []string{"a"}}}
	service := &sched.Job{ID: "s", Priority: wire.PriorityProduction, Deadline: clock.Forever,
		Spec: &wire.Job{Kind: wire.KindService, CPUs: 2, MemoryGB: 2, Tasks: 1}}
	batch := &sched.Job{ID: "b", Priority: wire.PriorityLow, Deadline: clock.Forever, Estimate: 10 * clock.Second,
		Spec: &wire.Job{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4, Tasks: 4}, Tasks: make([]sched.Task, 4)}
	in := &Input{Catalog: catalog, RefusedUntil: map[MachineKind]sched.Micros{}, Headroom: 10, Service: service,
		Unplaced: []sched.Unplaced{{Job: batch, Count: 4}}, PendingRentals: []Rental{{MachineKind{"m", "a", false}, 1}}}
	if requests := Plan(in); len(requests) != 0 {
		t.Errorf("rents %v although a machine is on its way", requests)
	}
	in.PendingRentals = nil
	if requests := Plan(in); len(requests) != 1 || requests[0].Kind.Spot {
		t.Errorf("rents %v, want one ordinary machine", requests)
	}
}

// TestRentsAhead guards against an opening that is always a boot behind: while work waits
// that wants to start before a machine rented for it would come, what arriving work needs
// by Little's law is rented at once. Services that wait don't hide it.
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
		t.Errorf("rents %d machines, want 10 for the load", n)
	}
	if n := countRented(sched.Unplaced{Job: service, Count: 1}); n > 1 {
		t.Errorf("rents %d machines for a service alone", n)
	}
}
