package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lilacthread/client"
	"lilacthread/internal/policy"
	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// TestServes runs three controllers on real sockets against simulated services, with
// concurrent users at each of them. Under the race detector it guards against data races
// between the owner goroutine and the goroutines of the network.
func TestServes(t *testing.T) {
	simServer, settings, err := sim.StartLoopback(3)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := simServer.Close(); err != nil {
			t.Error(err)
		}
	}()
	pol, err := policy.Parse(policy.Program{Name: "admission", Text: "admission = True"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range settings {
		go func() {
			if err := Run(&settings[i], pol); err != nil {
				t.Error(err)
			}
		}()
	}
	var users sync.WaitGroup
	for i := range 12 {
		users.Add(1)
		go func() {
			defer users.Done()
			job := &wire.Job{ID: fmt.Sprintf("req-%06d", i+1), Class: "c", Team: "core", Kind: wire.KindArray,
				Priority: "normal", Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, Estimate: 0.5}
			simServer.WithWorld(func(w *sim.World) { w.Checker.AddJob(job) })
			c := client.New(settings[i%len(settings)].Listen)
			if _, err := c.Submit(job); err != nil {
				t.Errorf("%s: %v", job.ID, err)
				return
			}
			if i%4 == 3 {
				simServer.WithWorld(func(w *sim.World) { w.Checker.CancelRequested(job.ID) })
				if _, err := c.Cancel(job.ID); err != nil {
					t.Errorf("%s: %v", job.ID, err)
				}
				return
			}
			for deadline := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
				if status, err := c.Status(job.ID); err == nil && status.Phase == wire.PhaseDone {
					return
				}
				if time.Now().After(deadline) {
					t.Errorf("%s is not done", job.ID)
					return
				}
			}
		}()
	}
	users.Wait()
	simServer.WithWorld(func(w *sim.World) {
		if w.Checker.CheckFinal(); len(w.Checker.Violations) > 0 {
			t.Errorf("rules broken: %v", w.Checker.Violations)
		}
	})
}
