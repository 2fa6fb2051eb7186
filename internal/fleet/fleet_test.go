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
func TestHeadroomCountsWhatYields(t *testing.T) {
	catalog := []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.2, Boot: 50, Zones: []string{"a"}}}
	service := &sched.Job{ID: "s", Priority: wire.PriorityProduction, Deadline: clock.Forever,
		Spec: &wire.Job{Kind: wire.KindService, CPUs: 2, MemoryGB: 2, Tasks: 1}}
	batch := &sched.Job{ID: "b", Priority: wire.PriorityLow, Deadline: clock.Forever, Estimate: 10 * clock.Second,
		Spec: &wire.Job{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4, Tasks: 4}, Tasks: make([]sched.Task, 4)}
	in := &Input{Catalog: catalog, Refused: map[Kind]sched.Micros{}, Headroom: 10, Service: service,
		Unplaced: []sched.Unplaced{{Job: batch, Count: 4}}, Ordered: []Rental{{Kind{"m", "a", false}, 1}}}
	if buys := Plan(in); len(buys) != 0 {
		t.Errorf("rents %v although a machine is on its way", buys)
	}
	in.Ordered = nil
	if buys := Plan(in); len(buys) != 1 || buys[0].Kind.Spot {
		t.Errorf("rents %v, want one ordinary machine", buys)
	}
}
