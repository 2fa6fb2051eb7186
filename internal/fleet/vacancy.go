package fleet

import (
	"lilacthread/internal/sched"
)

// Vacancies is the room that replicas may move to: free, and on machines that have their
// image. Each move claims its room.
type Vacancies struct {
	machines []vacancy
	largest  sched.Resources // at least the room of each, by resource
}

type vacancy struct {
	machine   *sched.Machine
	available sched.Resources
}

// NewVacancies lists the machines that take new tasks, in their order.
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

// Claim reports whether a replica finds room and its image elsewhere, and claims it there.
// On a full fleet hardly any machine has the room: that is looked at first, and before any
// machine what the largest room of all could hold.
func (v *Vacancies) Claim(p *sched.Placement) bool {
	if !p.Need.Fits(v.largest) {
		return false
	}
	perZone := p.Job.PlacementsByZone(p)
	for i := range v.machines {
		candidate := &v.machines[i]
		if !p.Need.Fits(candidate.available) {
			continue
		}
		m := candidate.machine
		if _, hasImage := m.Images[p.Image]; hasImage && p.Job.Allows(m.Type, m.Zone, m.Spot) && sched.ZoneAllows(p.Job, perZone, m.Zone) {
			candidate.available = candidate.available.Sub(p.Need)
			return true
		}
	}
	return false
}
