package sim

import (
	"fmt"
	"runtime"
	"testing"

	"lilacthread/internal/admit"
	"lilacthread/internal/peer"
	"lilacthread/wire/fb"
)

// TestBounds checks that the system stays within the limits of the settings with half as
// many machines again as in the largest deployment, and with more: requests, changes and
// value sizes of the state service, a controller's memory and sockets, and the peers'
// frames. It covers steady operation, a takeover, and a restart of all controllers.
func TestBounds(t *testing.T) {
	for _, n := range []int{1850, 2500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if testing.Short() && n > 2000 {
				t.Skip("short mode runs the smaller size only")
			}
			w := newLoadedWorld(t, 3, n)
			p := &w.Config.Params
			workerConns := n // each worker has one connection, to the leader
			p.Resources.FDLimit, p.Resources.MemoryMB = 3666, 322
			if workerConns > w.Config.MaxClientConns()*9/10 {
				t.Errorf("%d worker connections exceed nine tenths of the %d client connections allowed", workerConns, w.Config.MaxClientConns())
			}
			steadyPeak := w.State.PeakRequests
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
				start := w.now
				for w.Leader() == nil || !w.Leader().Up() || !w.Leader().core.Serving() {
					if w.Run(w.now + second/20); w.now > start+10*second {
						t.Fatalf("no leader serves %v s after the kill", (w.now - start).Seconds())
					}
				}
				t.Logf("a leader serves %v s after the kill in round %d", (w.now - start).Seconds(), round)
				w.Run(w.now + 15*second)
				if machines := len(w.Cloud.Machines); machines < n*9/10 {
					t.Errorf("only %d machines are left", machines)
				}
			}
			t.Logf("requests in the busiest second: %d in steady operation, %d in the whole run; largest value %d bytes", steadyPeak, w.State.PeakRequests, w.State.LargestValue)
			if w.State.PeakRequests > int(p.State.RPS) || w.State.RefusedTxns > 0 || w.State.LargestValue > p.State.ValueBytes() {
				t.Errorf("limit exceeded: %d requests in a second, %d transactions refused, a value of %d bytes", w.State.PeakRequests, w.State.RefusedTxns, w.State.LargestValue)
			}
			if len(w.Checker.Violations) > 0 {
				t.Errorf("rules broken: %v", w.Checker.Violations)
			}
			before := allocatedBytes()
			for _, node := range w.Nodes { // so that only their memory is missing afterwards
				node.Kill()
				node.core = nil
			}
			w.queue = nil
			held := before - allocatedBytes()
			t.Logf("three controllers hold %.1f MB", held/(1<<20))
			if held > 0.4*p.Resources.MemoryMB*(1<<20) {
				t.Errorf("three controllers hold %.1f MB, more than 0.4 of the limit of %v MB for one", held/(1<<20), p.Resources.MemoryMB)
			}
			runtime.KeepAlive(w)
		})
	}
}

// allocatedBytes returns the size of the live heap.
func allocatedBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestFrames checks that a Hello message that also has the contents of its answer fits in
// a frame, with more teams and classes than any deployment has and as many refused jobs as
// a node reports.
func TestFrames(t *testing.T) {
	const accounts = 50 * 20
	m := &peer.Msg{Kind: fb.KindHello, AdmissionNotice: &admit.Notice{Accounts: make([]admit.Arrivals, accounts), Refusals: make([]admit.Refusal, 512)},
		AdmissionTable: &admit.Table{Accounts: make([]admit.Entry, accounts)}}
	if n := len(m.Encode()); n > peer.MaxFrameBytes {
		t.Errorf("frame has %d bytes, limit %d", n, peer.MaxFrameBytes)
	}
}

// TestNoticesGoToTheLeader checks that controllers send admission notices only to the
// leader, the only one that can use them, while they know who leads.
func TestNoticesGoToTheLeader(t *testing.T) {
	w := NewWorld(5, []string{"a"}, 7)
	s := &script{world: w}
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
		t.Errorf("notices by node: %v; leader %s", w.Notices, leader)
	}
	w.Leader().Kill()
	w.Run(50 * second)
	clear(w.Notices)
	w.Run(70 * second)
	if next := w.Leader().name; next == leader || w.Notices[next] < 50 {
		t.Errorf("notices by node: %v; leader %s", w.Notices, next)
	}
}
