package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// claimByLinearSearch is a reference implementation of Vacancies.Claim that searches all
// machines for each replica.
func claimByLinearSearch(machines []*sched.Machine, p *sched.Placement, now, maxReportAge sched.Micros, claimed map[*sched.Machine]sched.Resources) bool {
	placedByZone := p.Job.PlacementsByZone(p)
	for _, m := range machines {
		_, hasImage := m.Images[p.Image]
		if hasImage && m.Usable(now, maxReportAge) && m.Errors == 0 && p.Need.Fits(m.Available().Sub(claimed[m])) &&
			p.Job.Allows(m.Type, m.Zone, m.Spot) && sched.ZoneAllows(p.Job, placedByZone, m.Zone) {
			claimed[m] = claimed[m].Add(p.Need)
			return true
		}
	}
	return false
}

// TestVacanciesMatchLinearSearch checks, on random fleets, that Vacancies grants the same
// moves as the reference.
func TestVacanciesMatchLinearSearch(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		var machines []*sched.Machine
		var replicas []*sched.Placement
		for i := range rapid.IntRange(1, 25).Draw(t, "machines") {
			m := drawMachine(t, i)
			m.Errors = rapid.IntRange(0, 8).Draw(t, "errors") / 8
			for _, image := range []string{"x", "y"} {
				if rapid.Bool().Draw(t, "warm") {
					m.Images[image] = 0
				}
			}
			machines = append(machines, m)
			j := newWaitingJob(fmt.Sprint("s-", i), wire.KindService, wire.PriorityProduction, 3, float64(rapid.IntRange(1, 8).Draw(t, "cpus")))
			j.Spec.Spread = rapid.Bool().Draw(t, "spread")
			p := &sched.Placement{Job: j, Task: wire.TaskID(j.ID, 0), Machine: m, Need: j.Need(), Priority: j.Priority,
				Image: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "image")}
			if p.Need.Fits(m.Available()) {
				sched.Attach(p, nil)
				replicas = append(replicas, p)
			}
		}
		v, claimed := NewVacancies(machines, clock.Second, clock.Second), map[*sched.Machine]sched.Resources{}
		for _, p := range replicas {
			want, got := claimByLinearSearch(machines, p, clock.Second, clock.Second, claimed), v.Claim(p)
			if want != got {
				t.Fatalf("%s: claim granted: %v, want %v as by linear search", p.Task, got, want)
			}
			if got {
				found++
			}
		}
	})
	if found < 50 {
		t.Errorf("%d claims were granted on the random fleets, want at least 50", found)
	}
}
