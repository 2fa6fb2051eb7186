package sim

import (
	"fmt"
	"testing"

	"lilacthread/internal/peer"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// bigWorld is a leader, and its followers if there are to be more nodes, of n machines,
// each of which runs eight tasks.
func newLoadedWorld(b testing.TB, nodes, n int) *World {
	w := NewWorld(nodes, []string{"a"}, 7)
	s := &script{w: w}
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
	if have := len(w.Cloud.Machines); have < n*9/10 {
		b.Fatalf("%d machines: not the case meant", have)
	}
	return w
}

func sizes(b *testing.B, f func(*testing.B, int)) {
	for _, n := range []int{250, 873, 1310, 1835, 2500, 3100, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

// BenchmarkReport takes in a worker's report in which nothing is new, decoding
// and the answer's encoding included.
func BenchmarkReport(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
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

// BenchmarkRelayedReport takes in one report of a batch of a hundred that another controller
// relays, decoding and the answer's encoding included: with its tasks, and without since
// nothing is new.
func BenchmarkRelayedReport(b *testing.B) {
	const batch = 100
	for name, repeated := range map[string]bool{"whole": false, "repeated": true} {
		b.Run(name, func(b *testing.B) {
			sizes(b, func(b *testing.B, n int) {
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

// BenchmarkSecond is a second of a leader's life in which nothing is new: ticks,
// reports and what the stand-ins of everything else cost.
func BenchmarkSecond(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 1, n)
		for b.Loop() {
			w.Run(w.now + second)
		}
	})
}

// BenchmarkTakeover is the load of all records by a new leader.
func BenchmarkTakeover(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 1, n)
		for b.Loop() {
			w.Nodes[0].Kill()
			w.Nodes[0].Start()
			from := w.now
			for !w.Nodes[0].core.Serving() {
				w.Run(w.now + second/100)
			}
			b.ReportMetric((w.now - from).Seconds(), "virtual-s")
			b.StopTimer()
			w.Run(w.now + 30*second)
			b.StartTimer()
		}
	})
}

// BenchmarkStart is the start of a process that follows: what it reads and what it costs.
func BenchmarkStart(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		w := newLoadedWorld(b, 3, n)
		follower := w.Nodes[0]
		if follower == w.Leader() {
			follower = w.Nodes[1]
		}
		for b.Loop() {
			follower.Kill()
			follower.Start()
			from := w.now
			for !follower.core.Ready() {
				w.Run(w.now + second/100)
			}
			b.ReportMetric((w.now - from).Seconds(), "virtual-s")
		}
	})
}
