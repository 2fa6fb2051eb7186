package fleet

import (
	"lilacthread/internal/sched"
)

// Vacancies tracks the free capacity that service replicas can move to. Each move that
// Claim grants reduces the capacity for the following ones.
type Vacancies struct {
	machines []vacancy
	largest  sched.Resources // for each resource, at least what any machine has available
}

// vacancy is the capacity of one machine that no move has claimed yet.
type vacancy struct {
	machine   *sched.Machine
	available sched.Resources
}

// NewVacancies collects the available capacity of the machines that accept new tasks, in
// the order given. It leaves out a machine whose last report is older than maxReportAge,
// and one on which a task failed since the last success.
func NewVacancies(machines []*sched.Machine, now, maxReportAge sched.Micros) *Vacancies {
	v := new(Vacancies)
	for _, m := range machines {
		if m.Errors > 0 || !m.Usable(now, maxReportAge) {
			continue
		}
		available := m.Available()
		v.machines = append(v.machines, vacancy{m, available})
		v.largest = sched.Resources{CPUs: max(v.largest.CPUs, available.CPUs), GPUs: max(v.largest.GPUs, available.GPUs), Memory: max(v.largest.Memory, available.Memory)}
	}
	return v
}

// Claim reports whether some machine has the capacity and already holds the image for a
// replica to move there, and reserves the capacity. On a full fleet hardly any machine
// has the capacity, so Claim compares against the largest available first, and checks
// the capacity of a machine before its image and constraints.
func (v *Vacancies) Claim(p *sched.Placement) bool {
	if !p.Need.Fits(v.largest) {
		return false
	}
	placedByZone := p.Job.PlacementsByZone(p)
	for i := range v.machines {
		candidate := &v.machines[i]
		if !p.Need.Fits(candidate.available) {
			continue
		}
		m := candidate.machine
		if _, hasImage := m.Images[p.Image]; hasImage && p.Job.Allows(m.Type, m.Zone, m.Spot) && sched.ZoneAllows(p.Job, placedByZone, m.Zone) {
			candidate.available = candidate.available.Sub(p.Need)
			return true
		}
	}
	return false
}
