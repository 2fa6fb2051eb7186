package sim

import "math/rand/v2"

// Troubles of machines.

// doNoBoot: machines that never come up.
func (s *script) doNoBoot(a args) func() {
	w := s.w
	return func() { w.Cloud.BootFailures = int(a.number("count", 1)) }
}

// doHang: a machine stands still.
func (s *script) doHang(a args) func() {
	w := s.w
	return func() {
		machine := s.worker(a)
		machine.Hang(true)
		w.After(a.duration("for", 5), func() { machine.Hang(false) })
	}
}

// doDead: a machine stops with all that is on it; the list goes on naming it.
func (s *script) doDead(a args) func() {
	return func() { s.worker(a).terminate() }
}

// doReborn: a machine is back at once, and counts from the beginning.
func (s *script) doReborn(a args) func() {
	return func() { s.worker(a).Restart() }
}

// doSick: a machine fails its tasks.
func (s *script) doSick(a args) func() {
	return func() { s.worker(a).Unhealthy = true }
}

// doNotice: a spot notice.
func (s *script) doNotice(a args) func() {
	return func() { s.worker(a).SendSpotNotice(a.duration("in", 8)) }
}

// doTake: the cloud takes a machine.
func (s *script) doTake(a args) func() {
	w := s.w
	return func() { w.Cloud.remove(s.worker(a).id) }
}

// doWave: many machines at once: hang, cut, deaf, mute, reborn, sick, or taken.
func (s *script) doWave(a args) func() {
	w := s.w
	return func() {
		rng := rand.New(rand.NewPCG(uint64(w.now), 3))
		for _, id := range sortedKeys(w.Cloud.Machines) {
			if rng.Float64() >= a.number("share", 0.3) {
				continue
			}
			switch machine := w.Cloud.Machines[id]; a.word(0) {
			case "hang":
				machine.Hang(true)
				w.After(a.duration("for", 10), func() { machine.Hang(false) })
			case "cut":
				s.compile("isolate", args{words: []string{"", "hold"}, pairs: map[string]string{"machine": id, "for": a.pairs["for"]}})()
			case "deaf":
				w.addHostFor(w.inboundLost, id, a.duration("for", 10))
			case "mute":
				w.addHostFor(w.outboundLost, id, a.duration("for", 10))
			case "reborn":
				machine.Restart()
			case "sick":
				machine.Unhealthy = true
				w.After(a.duration("for", 10), func() { machine.Unhealthy = false })
			case "taken":
				w.Cloud.remove(id)
			default:
				panic("wave: " + a.word(0))
			}
		}
	}
}
