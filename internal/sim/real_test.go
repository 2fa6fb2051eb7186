//go:build real

// The tests in this file run real processes in real time and are therefore excluded from
// the usual tests. Run them with: go test -tags real -run Real ./internal/sim

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

// deployment is three controllers, real processes of this program, on loopback.
type deployment struct {
	t           *testing.T
	bin         string
	simServer   *RealTimeServer
	dir         string
	configs     []config.Config
	procs       []*exec.Cmd
	keptClients []*rpc.Client // connections that users keep using
	args        []string      // arguments of the program in addition to --with and --config
}

// deploy builds the program and starts three controllers with a simulated environment.
func deploy(t *testing.T, args []string) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), procs: make([]*exec.Cmd, 3), args: args}
	d.bin = filepath.Join(d.dir, "lilacthread")
	if out, err := exec.Command("go", "build", "-o", d.bin, "lilacthread/cmd/lilacthread").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var err error
	if d.simServer, d.configs, err = StartLoopback(len(d.procs)); err != nil {
		t.Fatal(err)
	}
	for i := range d.configs {
		raw, err := json.Marshal(&d.configs[i])
		if err == nil {
			err = os.WriteFile(d.configPath(i), raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		d.startController(i)
		d.keptClients = append(d.keptClients, rpc.New(d.configs[i].Listen))
	}
	t.Cleanup(func() {
		for i := range d.configs {
			d.killController(i)
		}
		if err := d.simServer.Close(); err != nil {
			t.Error(err)
		}
	})
	return d
}

// configPath returns the path of a controller's configuration file.
func (d *deployment) configPath(i int) string { return filepath.Join(d.dir, d.configs[i].Name+".json") }

// startController starts a controller's process.
func (d *deployment) startController(i int) {
	cmd := exec.Command(d.bin, append([]string{"--with", "admission", "--config", d.configPath(i)}, d.args...)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.procs[i] = cmd
}

// killController kills a controller's process.
func (d *deployment) killController(i int) {
	if cmd := d.procs[i]; cmd != nil {
		cmd.Process.Kill()
		cmd.Wait() // returns an error since the process was killed
	}
}

// sendRequest sends a request to the controller that the attempt number selects and returns the
// status, 0 without an answer. Half of the requests use a connection that was used before
// and may be half open.
func (d *deployment) sendRequest(attempt int, method, path string, in any) (int, wire.JobStatus) {
	var st wire.JobStatus
	node := attempt % len(d.configs)
	c := d.keptClients[node]
	if attempt/len(d.configs)%2 == 0 {
		c = rpc.NewSingleUse(d.configs[node].Listen)
	}
	status, _, _, err := c.Call(method, path, in, &st, 2*time.Second)
	if err != nil {
		return 0, st
	}
	return status, st
}

// TestRealProcesses kills controllers repeatedly while jobs run and restarts them within
// 50 ms at the same addresses, with half-open connections of users, peers and workers. All
// accepted jobs must be done, without a violation of the checker's rules.
func TestRealProcesses(t *testing.T) {
	runJobsDuringFaults(t, func(*deployment, int) {})
}

// TestRealFaults does the same as TestRealProcesses while messages to single machines are
// lost for longer than a lease, copies of reports arrive seconds later at any controller,
// and machines restart with a reset session counter.
func TestRealFaults(t *testing.T) {
	runJobsDuringFaults(t, func(d *deployment, round int) {
		d.simServer.WithWorld(func(w *World) {
			ids := sortedKeys(w.Cloud.Machines)
			if round == 1 {
				w.reportCopier = &reportCopier{share: 0.7, delay: 7 * second, rng: rand.New(rand.NewPCG(5, 5))}
			}
			if len(ids) == 0 {
				return
			}
			id := ids[round%len(ids)]
			switch round % 120 {
			case 40:
				w.inboundLost[id] = true
				w.After(8*second, func() { delete(w.inboundLost, id) })
			case 90:
				w.Cloud.Machines[id].Restart()
			}
		})
	})
}

// TestRealRelaying does the same as TestRealProcesses while controllers relay the reports
// of workers and the command batches to them.
func TestRealRelaying(t *testing.T) {
	runJobsDuringFaults(t, func(d *deployment, _ int) {
		d.simServer.WithWorld(func(w *World) { w.ReportChanges = true })
	}, "--policy", "../scale/testdata/relay.star")
}

// runJobsDuringFaults runs jobs to their end while it kills controllers and calls
// injectFault about thirty times a second.
func runJobsDuringFaults(t *testing.T, injectFault func(d *deployment, round int), args ...string) {
	d := deploy(t, args)
	jobs := make([]*wire.Job, 40)
	accepted, finished := map[string]bool{}, map[string]bool{}
	for i := range jobs {
		jobs[i] = &wire.Job{ID: fmt.Sprintf("req-%06d", 100+i), Class: "c", Team: "core", Kind: wire.KindArray, Priority: "normal",
			Tasks: 4, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, Estimate: 0.6}
		d.simServer.WithWorld(func(w *World) { w.Checker.AddJob(jobs[i]) })
	}
	start, kills, round := time.Now(), 0, 0
	for time.Since(start) < 60*time.Second && len(finished) < len(jobs) {
		round++
		injectFault(d, round)
		if round%8 == 0 && time.Since(start) < 15*time.Second {
			victim := round / 8 % len(d.configs)
			if round%16 == 0 { // the leader
				d.simServer.WithWorld(func(w *World) {
					for i := range d.configs {
						if d.configs[i].Name == w.State.Leader() {
							victim = i
						}
					}
				})
			}
			d.killController(victim)
			time.Sleep(time.Duration(round%5) * 10 * time.Millisecond)
			d.startController(victim)
			kills++
		}
		for i, j := range jobs {
			if finished[j.ID] || !accepted[j.ID] && i > round/2 {
				continue
			}
			var known knownFacts
			d.simServer.WithWorld(func(w *World) { known = w.Checker.BeginRequest(j.ID) })
			if !accepted[j.ID] {
				code, st := d.sendRequest(round+i, "POST", "/v2/runs", j)
				d.simServer.WithWorld(func(w *World) { w.Checker.CheckSubmitAnswer(j.ID, known, controller.Answer{Code: code, Status: st}) })
				accepted[j.ID] = code == 200 || code == 201
				break
			}
			if (round+i)%4 == 0 {
				code, st := d.sendRequest(round+i, "GET", "/v2/runs/"+j.ID, nil)
				d.simServer.WithWorld(func(w *World) { w.Checker.CheckStatusAnswer(j.ID, known, controller.Answer{Code: code, Status: st}) })
				if st.Phase == wire.PhaseDone {
					finished[j.ID] = true
				}
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	d.simServer.WithWorld(func(w *World) {
		w.Checker.CheckOverdue(w.now)
		w.Checker.CheckFinal()
		if len(w.Checker.Violations) > 0 {
			t.Errorf("checker reported violations: %v", w.Checker.Violations)
		}
		t.Logf("%d of %d jobs done after %v and %d kills; %d requests in the state service's busiest second",
			len(finished), len(jobs), time.Since(start).Round(time.Second/10), kills, w.State.PeakRequests)
		if limit := int(w.Config.Params.State.RPS); w.State.PeakRequests > limit {
			t.Errorf("%d requests to the state service in a second, %d allowed", w.State.PeakRequests, limit)
		}
	})
	if len(finished) < len(jobs) {
		t.Errorf("only %d of %d jobs are done", len(finished), len(jobs))
	}
}

// TestRealSecondProcess checks that a process which is started while another one listens
// at its address exits with an error and does not take over the key of the running one.
func TestRealSecondProcess(t *testing.T) {
	d := deploy(t, nil)
	time.Sleep(300 * time.Millisecond)
	err := exec.Command(d.bin, "--config", d.configPath(0)).Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("second process: got %v, want exit status 1", err)
	}
}
