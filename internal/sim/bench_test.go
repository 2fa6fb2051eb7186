package sim

import (
	"testing"

	"lilacthread/wire"
)

// BenchmarkReport takes in a worker's report in which nothing is new, decoding
// and the answer's encoding included, on a leader of 500 machines.
func BenchmarkReport(b *testing.B) {
	w := NewWorld(1, []string{"a"}, 7)
	s := &script{w: w}
	s.team("core", 0, 0)
	w.Cloud.Types = []wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchRate: 1, Price: 1,
		SpotPrice: 0.3, Boot: 10, Zones: []string{"a"}}}
	w.Nodes[0].Start()
	w.At(sec, s.verb("submit", parseArgs([]string{"req-000001", "array", "tasks=4000", "cpus=2", "run=1000"})))
	w.Run(120 * sec)
	var workers []*Worker
	for _, id := range sortedKeys(w.Cloud.Machines) {
		workers = append(workers, w.Cloud.Machines[id])
	}
	if len(workers) < 450 {
		b.Fatalf("%d machines: not the case meant", len(workers))
	}
	i := 0
	for b.Loop() {
		b.StopTimer()
		body := wire.Encode(workers[i%len(workers)].snapshot())
		i++
		b.StartTimer()
		r, err := wire.DecodeReport(body)
		if err != nil {
			b.Fatal(err)
		}
		a := w.Nodes[0].core.OnReport(r)
		if a.Code != 200 {
			b.Fatal(a.Code)
		}
		wire.Encode(&a.Body)
	}
}
