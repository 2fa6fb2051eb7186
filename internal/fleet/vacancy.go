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
	machine *sched.Machine
	room    sched.Resources
}

// NewVacancies lists the machines that take new tasks, in their order.
func NewVacancies(machines []*sched.Machine, now, fresh sched.Micros) *Vacancies {
	v := new(Vacancies)
	for _, m := range machines {
		if m.Errors > 0 || !m.Usable(now, fresh) {
			continue
		}
		room := m.Available()
		v.machines = append(v.machines, vacancy{m, room})
		v.largest = sched.Resources{CPUs: max(v.largest.CPUs, room.CPUs), GPUs: max(v.largest.GPUs, room.GPUs), Memory: max(v.largest.Memory, room.Memory)}
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
	held := p.Job.PlacementsByZone(p)
	for i := range v.machines {
		x := &v.machines[i]
		if !p.Need.Fits(x.room) {
			continue
		}
		m := x.machine
		if _, warm := m.Images[p.Image]; warm && p.Job.Allows(m.Type, m.Zone, m.Spot) && sched.ZoneAllows(p.Job, held, m.Zone) {
			x.room = x.room.Sub(p.Need)
			return true
		}
	}
	return false
}
