package sim

import (
	"fmt"
	"runtime"
	"testing"

	"lilacthread/internal/admit"
	"lilacthread/internal/peer"
	"lilacthread/wire/fb"
)

// TestBounds walks what the settings bound at half as many machines again as the largest
// deployment, and beyond: requests, changes and value sizes of the state service, memory
// of a controller, sockets, the peers' frames, in a calm time, through a takeover, and
// while every process is started again.
func TestBounds(t *testing.T) {
	for _, n := range []int{1850, 2500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if testing.Short() && n > 2000 {
				t.Skip("the smaller one stands for it")
			}
			w := newLoadedWorld(t, 3, n)
			p := &w.Config.Params
			reports := n // a worker has one connection, to the leader
			p.Resources.FDLimit, p.Resources.MemoryMB = 3666, 322
			if reports > w.Config.MaxClientConns()*9/10 {
				t.Errorf("%d workers, %d connections are served", reports, w.Config.MaxClientConns())
			}
			calm := w.State.PeakRequests
			for round := range 2 {
				if round == 0 {
					w.Leader().Kill()
				} else {
					for _, node := range w.Nodes {
						node.Kill()
					}
				}
				w.After(second/5, func() {
					for _, node := range w.Nodes {
						node.Start()
					}
				})
				from := w.now
				for w.Leader() == nil || !w.Leader().Up() || !w.Leader().core.Serving() {
					if w.Run(w.now + second/20); w.now > from+10*second {
						t.Fatalf("no leader serves after %v s", (w.now - from).Seconds())
					}
				}
				t.Logf("a leader serves %v s after round %d", (w.now - from).Seconds(), round)
				w.Run(w.now + 15*second)
				if have := len(w.Cloud.Machines); have < n*9/10 {
					t.Errorf("%d machines are left", have)
				}
			}
			t.Logf("requests in the busiest second: %d calm, %d in all; largest value %d bytes", calm, w.State.PeakRequests, w.State.LargestValue)
			if w.State.PeakRequests > int(p.State.RPS) || w.State.RefusedTxns > 0 || w.State.LargestValue > p.State.ValueBytes() {
				t.Errorf("%d requests in a second, %d transactions refused, a value of %d bytes", w.State.PeakRequests, w.State.RefusedTxns, w.State.LargestValue)
			}
			if len(w.Rules.Violations) > 0 {
				t.Errorf("rules broken: %v", w.Rules.Violations)
			}
			before := allocated()
			for _, node := range w.Nodes { // what the controllers alone hold
				node.Kill()
				node.core = nil
			}
			w.queue = nil
			held := before - allocated()
			t.Logf("three controllers hold %.1f MB", held/(1<<20))
			if held > 0.4*p.Resources.MemoryMB*(1<<20) {
				t.Errorf("%.1f MB of %v", held/(1<<20), p.Resources.MemoryMB)
			}
			runtime.KeepAlive(w)
		})
	}
}

func allocated() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestFrames: a greeting and its answer fit in a frame with more teams and classes than
// any deployment has, and as many refused jobs as a node names.
func TestFrames(t *testing.T) {
	const accounts = 50 * 20
	m := &peer.Msg{Kind: fb.KindHello, AdmissionNotice: &admit.Notice{Accounts: make([]admit.Arrivals, accounts), Refusals: make([]admit.Refusal, 512)},
		AdmissionTable: &admit.Table{Accounts: make([]admit.Entry, accounts)}}
	if n := len(m.Encode()); n > peer.MaxFrameBytes {
		t.Errorf("%d bytes of %d", n, peer.MaxFrameBytes)
	}
}

// TestNoticesGoToTheLeader: what each account's submissions ask for is told to the leader, who
// alone can use it, and to others only while nobody knows who leads.
func TestNoticesGoToTheLeader(t *testing.T) {
	w := NewWorld(5, []string{"a"}, 7)
	s := &script{w: w}
	s.addTeam("core", 0, 0)
	s.compile("admission", args{})()
	for _, n := range w.Nodes {
		n.Start()
	}
	w.Run(10 * second)
	clear(w.Notices)
	w.Run(40 * second)
	leader := w.Leader().name
	if w.Notices[leader] < 100 || len(w.Notices) != 1 {
		t.Errorf("%v with %s leading", w.Notices, leader)
	}
	w.Leader().Kill()
	w.Run(50 * second)
	clear(w.Notices)
	w.Run(70 * second)
	if next := w.Leader().name; next == leader || w.Notices[next] < 50 {
		t.Errorf("%v with %s leading", w.Notices, next)
	}
}
