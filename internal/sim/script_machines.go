package sim

import "math/rand/v2"

// This file holds the verbs that inject faults into machines.

// doNoBoot makes the next machines that are rented never finish booting.
func (s *script) doNoBoot(a args) func() {
	w := s.world
	return func() { w.Cloud.BootFailures = int(a.number("count", 1)) }
}

// doHang suspends a machine for some time.
func (s *script) doHang(a args) func() {
	w := s.world
	return func() {
		machine := s.worker(a)
		machine.SetSuspended(true)
		w.After(a.duration("for", 5), func() { machine.SetSuspended(false) })
	}
}

// doDead stops a machine and all its tasks while the cloud's machine list still contains it.
func (s *script) doDead(a args) func() {
	return func() { s.worker(a).terminate() }
}

// doReborn restarts a machine at once, with its session counter reset. With the flag "reporting" it
// reports at once, too.
func (s *script) doReborn(a args) func() {
	return func() { s.worker(a).restart(a.hasFlag("reporting")) }
}

// doSick makes a machine fail every task.
func (s *script) doSick(a args) func() {
	return func() { s.worker(a).Unhealthy = true }
}

// doNotice sends a machine a spot notice; the cloud reclaims the machine "in" seconds later.
func (s *script) doNotice(a args) func() {
	return func() { s.worker(a).SendSpotNotice(a.duration("in", 8)) }
}

// doTake makes the cloud reclaim a machine without a notice.
func (s *script) doTake(a args) func() {
	w := s.world
	return func() { w.Cloud.remove(s.worker(a).id) }
}

// doWave injects one kind of fault into a random share of the machines at once: hang, cut, deaf
// (inbound traffic lost), mute (outbound traffic lost), reborn, sick or taken.
func (s *script) doWave(a args) func() {
	w := s.world
	return func() {
		rng := rand.New(rand.NewPCG(uint64(w.now), 3))
		for _, id := range sortedKeys(w.Cloud.Machines) {
			if rng.Float64() >= a.number("share", 0.3) {
				continue
			}
			switch machine := w.Cloud.Machines[id]; a.word(0) {
			case "hang":
				machine.SetSuspended(true)
				w.After(a.duration("for", 10), func() { machine.SetSuspended(false) })
			case "cut":
				s.compile("isolate", args{words: []string{"", "hold"}, pairs: map[string]string{"machine": id, "for": a.pairs["for"]}})()
			case "deaf":
				w.addHostFor(w.inboundLost, id, a.duration("for", 10))
			case "mute":
				w.addHostFor(w.outboundLost, id, a.duration("for", 10))
			case "reborn":
				machine.restart(a.hasFlag("reporting"))
			case "sick":
				machine.Unhealthy = true
				w.After(a.duration("for", 10), func() { machine.Unhealthy = false })
			case "taken":
				w.Cloud.remove(id)
			default:
				panic("wave: unknown kind of fault " + a.word(0))
			}
		}
	}
}
