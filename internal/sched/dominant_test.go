package sched

import (
	"fmt"
	"slices"
	"testing"

	"lilacthread/wire"
	"pgregory.net/rapid"
)

// TestWithoutAccelerators checks that sizes on machines without accelerators equal the CPUs,
// and that a pass decides the same on machines with accelerators if tasks take equal shares
// of accelerators and CPUs. Otherwise accounting by the dominant resource would change the
// scheduling of platforms without accelerators.
func TestWithoutAccelerators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := wire.MachineType{Name: "g", CPUs: 16, MemoryGB: 1000, CacheGB: 100, Zones: []string{"a"}}
		n := Resources{CPUs: rapid.Float64Range(0.5, 16).Draw(t, "cpus"), Memory: 4}
		if n.DominantCPUs(&plain) != n.CPUs || n.RemainingCPUs(&plain) != n.CPUs {
			t.Fatalf("%v counts as %v CPUs, as free room %v", n, n.DominantCPUs(&plain), n.RemainingCPUs(&plain))
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 8), 1, 12).Draw(t, "sizes")
		placements := func(gpus float64) []string {
			typ := plain
			typ.GPUs = gpus
			in := &Input{Now: 1, MaxReportAge: 10, Teams: map[string]*Team{"t": {Name: "t"}}, FetchRates: map[string]float64{"g": 1}, MaxTasksPerMachine: 100,
				NextAttempt: func() uint64 { return 1 }}
			for i := range 4 {
				m := newAcceleratorMachine(i)
				m.Type, m.LastReportAt, m.Spot = &typ, in.Now, i%2 == 0
				in.Machines = append(in.Machines, m)
			}
			for i, size := range sizes {
				kind := []string{wire.KindArray, wire.KindService, wire.KindGang}[i%3]
				j := newAcceleratorJob(fmt.Sprintf("j%02d", i), kind, 1+i%3, float64(size)/4*gpus/4, 0, 10)
				j.Spec.CPUs, j.Spec.Spot = float64(size), kind == wire.KindArray
				j.Spec.Priority = map[string]string{wire.KindService: "prod"}[kind]
				j.Init()
				j.ComputeSize([]wire.MachineType{typ})
				if j.TaskCPUs() != float64(size) {
					t.Fatalf("a task of %v of 16 CPUs counts as %v CPUs", size, j.TaskCPUs())
				}
				in.Jobs = append(in.Jobs, j)
			}
			var out []string
			for _, p := range Plan(in).Launch {
				out = append(out, p.Task+" on "+p.Machine.ID)
			}
			return out
		}
		if without, with := placements(0), placements(4); !slices.Equal(without, with) {
			t.Fatalf("placements without accelerators %v, with %v", without, with)
		}
	})
}
