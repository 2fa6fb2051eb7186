package sched

import (
	"fmt"
	"slices"
	"testing"

	"lilacthread/wire"
	"pgregory.net/rapid"
)

// TestWithoutAccelerators: on machines without accelerators all sums are CPUs, and where
// tasks take as much of the accelerators as of the CPUs, a pass decides the same as if there
// were none. Counted otherwise, the earlier platforms would be served differently.
func TestWithoutAccelerators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := wire.MachineType{Name: "g", CPUs: 16, MemoryGB: 1000, CacheGB: 100, Zones: []string{"a"}}
		n := Need{CPUs: rapid.Float64Range(0.5, 16).Draw(t, "cpus"), Memory: 4}
		if n.On(&plain) != n.CPUs || n.Left(&plain) != n.CPUs {
			t.Fatalf("%v counts as %v, room as %v", n, n.On(&plain), n.Left(&plain))
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 8), 1, 12).Draw(t, "sizes")
		place := func(gpus float64) []string {
			typ := plain
			typ.GPUs = gpus
			in := &Input{Now: 1, Fresh: 10, Teams: map[string]*Team{"t": {Name: "t"}}, Rates: map[string]float64{"g": 1}, MaxTasks: 100,
				Attempt: func() uint64 { return 1 }}
			for i := range 4 {
				m := onMachine(i)
				m.Type, m.Heard, m.Spot = &typ, in.Now, i%2 == 0
				in.Machines = append(in.Machines, m)
			}
			for i, size := range sizes {
				kind := []string{wire.KindArray, wire.KindService, wire.KindGang}[i%3]
				j := accelerate(fmt.Sprintf("j%02d", i), kind, 1+i%3, float64(size)/4*gpus/4, 0, 10)
				j.Spec.CPUs, j.Spec.Spot = float64(size), kind == wire.KindArray
				j.Spec.Priority = map[string]string{wire.KindService: "prod"}[kind]
				j.Init()
				j.Measure([]wire.MachineType{typ})
				if j.Size() != float64(size) {
					t.Fatalf("%v of 16 CPUs counts as %v", size, j.Size())
				}
				in.Jobs = append(in.Jobs, j)
			}
			var out []string
			for _, p := range Plan(in).Launch {
				out = append(out, p.Task+" on "+p.Machine.ID)
			}
			return out
		}
		if without, with := place(0), place(4); !slices.Equal(without, with) {
			t.Fatalf("without accelerators %v, with %v", without, with)
		}
	})
}
