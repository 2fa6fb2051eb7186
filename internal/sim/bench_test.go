package sim

import (
	"fmt"
	"testing"

	"lilacthread/internal/peer"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// newLoadedWorld returns an environment with the given number of controllers, one of them
// leading, and about n machines, each of which runs eight tasks.
func newLoadedWorld(tb testing.TB, nodes, n int) *World {
	w := NewWorld(nodes, []string{"a"}, 7)
	s := &script{world: w}
	s.addTeam("core", 0, 0)
	w.Cloud.Types = []wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchRate: 1, Price: 1,
		SpotPrice: 0.3, BootTime: 10, Zones: []string{"a"}}}
	w.Config.Params.Workers.Report, w.Config.Params.Workers.Lease = 5, 25
	w.Config.Params.Cloud.RPS = 20
	for _, node := range w.Nodes {
		node.Start()
	}
	for i := range n / 10 {
		w.At(second, s.compile("submit", parseArgs([]string{fmt.Sprintf("req-%06d", i), "array", "tasks=80", "cpus=2", "run=100000"})))
	}
	w.Run(150 * second)
	if machines := len(w.Cloud.Machines); machines < n*9/10 {
		tb.Fatalf("%d machines are rented, fewer than nine tenths of those wanted", machines)
	}
	return w
}

// forEachMachineCount runs a benchmark with several numbers of machines.
func forEachMachineCount(b *testing.B, f func(*testing.B, int)) {
	for _, n := range []int{250, 873, 1310, 1835, 2500, 3100, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

// BenchmarkReport measures how a leader handles a worker's report without changes,
// including the decoding of the report and the encoding of the answer.
func BenchmarkReport(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 1, n)
		ids := sortedKeys(w.Cloud.Machines)
		i := 0
		for b.Loop() {
			b.StopTimer()
			body := wire.Encode(w.Cloud.Machines[ids[i%len(ids)]].snapshot())
			i++
			b.StartTimer()
			r, err := wire.DecodeReport(body)
			if err != nil {
				b.Fatal(err)
			}
			a := w.Nodes[0].core.ProcessReport(r)
			if a.Code != 200 {
				b.Fatal(a.Code)
			}
			wire.Encode(&a.Body)
		}
	})
}

// BenchmarkRelayedReport measures how a leader handles one report of a batch of a hundred
// from a relaying controller, including decoding and encoding: reports with their tasks
// ("whole"), and reports without them since nothing has changed ("repeated").
func BenchmarkRelayedReport(b *testing.B) {
	const batch = 100
	for name, repeated := range map[string]bool{"whole": false, "repeated": true} {
		b.Run(name, func(b *testing.B) {
			forEachMachineCount(b, func(b *testing.B, n int) {
				w := newLoadedWorld(b, 1, n)
				ids := sortedKeys(w.Cloud.Machines)
				last := map[string]uint64{}
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					m := &peer.Msg{Kind: fb.KindReports, Node: "node-1"}
					for k := range batch {
						rep := w.Cloud.Machines[ids[(i*batch+k)%len(ids)]].snapshot()
						item := peer.RelayedReport{Machine: rep.Machine, Session: rep.Session, Seq: rep.Seq, Token: rep.Token, BaseSeq: last[rep.Machine]}
						if !repeated || item.BaseSeq == 0 {
							item.Body = wire.Encode(rep)
						}
						last[rep.Machine] = rep.Seq
						m.RelayedReports = append(m.RelayedReports, item)
					}
					frame := m.Encode()
					b.StartTimer()
					got, err := peer.Decode(frame)
					if err != nil {
						b.Fatal(err)
					}
					w.Nodes[0].core.HandlePeerMessage(got, func(a *peer.Msg) {
						if a.ReportAnswers[0].Code != 200 {
							b.Fatal(a.ReportAnswers[0].Code)
						}
						a.Encode()
					})
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/report")
			})
		})
	}
}

// BenchmarkSecond measures one second of virtual time of a leader without changes: its
// timers, the reports, and the cost of the simulated environment.
func BenchmarkSecond(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 1, n)
		for b.Loop() {
			w.Run(w.now + second)
		}
	})
}

// BenchmarkTakeover measures the start of a new leader until it has loaded all records.
func BenchmarkTakeover(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 1, n)
		for b.Loop() {
			w.Nodes[0].Kill()
			w.Nodes[0].Start()
			start := w.now
			for !w.Nodes[0].core.Serving() {
				w.Run(w.now + second/100)
			}
			b.ReportMetric((w.now - start).Seconds(), "virtual-s")
			b.StopTimer()
			w.Run(w.now + 30*second)
			b.StartTimer()
		}
	})
}

// BenchmarkStart measures the start of a follower until it is ready.
func BenchmarkStart(b *testing.B) {
	forEachMachineCount(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 3, n)
		follower := w.Nodes[0]
		if follower == w.Leader() {
			follower = w.Nodes[1]
		}
		for b.Loop() {
			follower.Kill()
			follower.Start()
			start := w.now
			for !follower.core.Ready() {
				w.Run(w.now + second/100)
			}
			b.ReportMetric((w.now - start).Seconds(), "virtual-s")
		}
	})
}
