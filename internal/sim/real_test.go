//go:build real

// Tests with real processes and real time, and so not part of the usual ones:
// go test -tags real -run Real ./internal/sim

package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/rpc"
	"lilacthread/wire"
)

// deployment is three real processes of this program on loopback.
type deployment struct {
	t     *testing.T
	bin   string
	live  *RealTimeServer
	dir   string
	nodes []config.Config
	procs []*exec.Cmd
	keep  []*rpc.Client // users who go on using their connections
	args  []string      // of the program, beside its settings
}

func deploy(t *testing.T, args []string) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), procs: make([]*exec.Cmd, 3), args: args}
	d.bin = filepath.Join(d.dir, "lilacthread")
	if out, err := exec.Command("go", "build", "-o", d.bin, "lilacthread/cmd/lilacthread").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var err error
	if d.live, d.nodes, err = StartLoopback(len(d.procs)); err != nil {
		t.Fatal(err)
	}
	for i := range d.nodes {
		raw, err := json.Marshal(&d.nodes[i])
		if err == nil {
			err = os.WriteFile(d.settings(i), raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		d.start(i)
		d.keep = append(d.keep, rpc.New(d.nodes[i].Listen))
	}
	t.Cleanup(func() {
		for i := range d.nodes {
			d.kill(i)
		}
		if err := d.live.Close(); err != nil {
			t.Error(err)
		}
	})
	return d
}

func (d *deployment) settings(i int) string { return filepath.Join(d.dir, d.nodes[i].Name+".json") }

func (d *deployment) start(i int) {
	cmd := exec.Command(d.bin, append([]string{"--with", "admission", "--config", d.settings(i)}, d.args...)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.procs[i] = cmd
}

// kill ends a process without a word.
func (d *deployment) kill(i int) {
	if cmd := d.procs[i]; cmd != nil {
		cmd.Process.Kill()
		cmd.Wait() // says that it was killed
	}
}

// ask makes one request of a node, every other one on a connection that was used before
// and may be half open; it gives the status, 0 without an answer.
func (d *deployment) ask(at int, method, path string, in any) (int, wire.JobStatus) {
	var st wire.JobStatus
	node := at % len(d.nodes)
	c := d.keep[node]
	if at/len(d.nodes)%2 == 0 {
		c = rpc.NewSingleUse(d.nodes[node].Listen)
	}
	status, _, _, err := c.Call(method, path, in, &st, 2*time.Second)
	if err != nil {
		return 0, st
	}
	return status, st
}

// TestRealProcesses kills real processes again and again while jobs run, and starts them
// within 50 ms on the same addresses, with connections of users, peers and workers half
// open: all that was accepted is done, under the rules.
func TestRealProcesses(t *testing.T) {
	playReal(t, func(*deployment, int) {})
}

// TestRealTroubles does the same while machines are deaf for longer than a lease, copies of
// reports come seconds later at any controller, and machines start anew.
func TestRealTroubles(t *testing.T) {
	playReal(t, func(d *deployment, turn int) {
		d.live.WithWorld(func(w *World) {
			ids := sortedKeys(w.Cloud.Machines)
			if turn == 1 {
				w.reportCopies = &reportCopier{share: 0.7, delay: 7 * second, rng: rand.New(rand.NewPCG(5, 5))}
			}
			if len(ids) == 0 {
				return
			}
			id := ids[turn%len(ids)]
			switch turn % 120 {
			case 40:
				w.inboundLost[id] = true
				w.After(8*second, func() { delete(w.inboundLost, id) })
			case 90:
				w.Cloud.Machines[id].Restart()
			}
		})
	})
}

// TestRealRelaying does the first while the controllers relay the workers' reports and orders.
func TestRealRelaying(t *testing.T) {
	playReal(t, func(d *deployment, _ int) {
		d.live.WithWorld(func(w *World) { w.ReportChanges = true })
	}, "--policy", "../scale/testdata/relay.star")
}

// playReal runs jobs to their end while processes are killed and the given trouble is made
// some thirty times a second.
func playReal(t *testing.T, trouble func(d *deployment, turn int), args ...string) {
	d := deploy(t, args)
	jobs := make([]*wire.Job, 40)
	accepted, over := map[string]bool{}, map[string]bool{}
	for i := range jobs {
		jobs[i] = &wire.Job{ID: fmt.Sprintf("req-%06d", 100+i), Class: "c", Team: "core", Kind: wire.KindArray, Priority: "normal",
			Tasks: 4, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, Estimate: 0.6}
		d.live.WithWorld(func(w *World) { w.Rules.AddJob(jobs[i]) })
	}
	begin, kills, turn := time.Now(), 0, 0
	for time.Since(begin) < 60*time.Second && len(over) < len(jobs) {
		turn++
		trouble(d, turn)
		if turn%8 == 0 && time.Since(begin) < 15*time.Second {
			victim := turn / 8 % len(d.nodes)
			if turn%16 == 0 { // the leader
				d.live.WithWorld(func(w *World) {
					for i := range d.nodes {
						if d.nodes[i].Name == w.State.Leader() {
							victim = i
						}
					}
				})
			}
			d.kill(victim)
			time.Sleep(time.Duration(turn%5) * 10 * time.Millisecond)
			d.start(victim)
			kills++
		}
		for i, j := range jobs {
			if over[j.ID] || !accepted[j.ID] && i > turn/2 {
				continue
			}
			var known knownFacts
			d.live.WithWorld(func(w *World) { known = w.Rules.BeginRequest(j.ID) })
			if !accepted[j.ID] {
				code, st := d.ask(turn+i, "POST", "/v2/runs", j)
				d.live.WithWorld(func(w *World) { w.Rules.CheckSubmitAnswer(j.ID, known, controller.Answer{Code: code, Status: st}) })
				accepted[j.ID] = code == 200 || code == 201
				break
			}
			if (turn+i)%4 == 0 {
				code, st := d.ask(turn+i, "GET", "/v2/runs/"+j.ID, nil)
				d.live.WithWorld(func(w *World) { w.Rules.CheckStatusAnswer(j.ID, known, controller.Answer{Code: code, Status: st}) })
				if st.Phase == wire.PhaseDone {
					over[j.ID] = true
				}
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	d.live.WithWorld(func(w *World) {
		w.Rules.CheckOverdue(w.now)
		w.Rules.CheckFinal()
		if len(w.Rules.Violations) > 0 {
			t.Errorf("rules broken: %v", w.Rules.Violations)
		}
		t.Logf("%d of %d jobs over after %v and %d kills; %d requests in the state service's busiest second",
			len(over), len(jobs), time.Since(begin).Round(time.Second/10), kills, w.State.PeakRequests)
		if limit := int(w.Config.Params.State.RPS); w.State.PeakRequests > limit {
			t.Errorf("%d requests in a second, %d allowed", w.State.PeakRequests, limit)
		}
	})
	if len(over) < len(jobs) {
		t.Errorf("%d of %d jobs are done", len(over), len(jobs))
	}
}

// TestRealSecondProcess: a process that is started while one listens at its address ends
// with an error instead of taking the key of the live one.
func TestRealSecondProcess(t *testing.T) {
	d := deploy(t, nil)
	time.Sleep(300 * time.Millisecond)
	err := exec.Command(d.bin, "--config", d.settings(0)).Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
}
