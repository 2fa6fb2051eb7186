package sim

import "math/rand/v2"

// Troubles between hosts.

// doCut: the links between hosts.
func (s *script) doCut(a args) func() {
	w := s.w
	return func() {
		mode := a.cutMode()
		var to []string
		for _, word := range a.words[1:] {
			if word != "hold" && word != "drop" {
				to = append(to, s.hosts(word)...)
			}
		}
		for _, from := range s.hosts(a.word(0)) {
			for _, target := range to {
				if target != from {
					w.cutFor(from, target, mode, a.duration("for", 20))
				}
			}
		}
	}
}

// doZoneCut: a zone's machines, and a controller in it, from all that is elsewhere.
func (s *script) doZoneCut(a args) func() {
	w := s.w
	return func() {
		mode := a.cutMode()
		inside, outside := []string{s.node(a.word(1)).name}, []string{"state", "cloud", "users"}
		for _, id := range sortedKeys(w.Cloud.Machines) {
			if w.Cloud.Machines[id].zone == a.word(0) {
				inside = append(inside, id)
			} else {
				outside = append(outside, id)
			}
		}
		for _, node := range w.Nodes {
			if node.name != inside[0] {
				outside = append(outside, node.name)
			}
		}
		for _, from := range inside {
			for _, to := range outside {
				w.cutFor(from, to, mode, a.duration("for", 20))
			}
		}
	}
}

// doSlowLinks: all messages are under way for longer.
func (s *script) doSlowLinks(a args) func() {
	w := s.w
	return func() {
		w.LinkDelay = a.duration("by", 0.3)
		w.After(a.duration("for", 20), func() { w.LinkDelay = 0 })
	}
}

// doIsolate: one machine from all controllers.
func (s *script) doIsolate(a args) func() {
	w := s.w
	return func() {
		mode := a.cutMode()
		machine := s.worker(a)
		for _, node := range w.Nodes {
			w.cutFor(machine.id, node.name, mode, a.duration("for", 20))
		}
	}
}

// doApart: a node and a share of the machines can't reach each other.
func (s *script) doApart(a args) func() {
	w := s.w
	return func() {
		name := s.node(a.word(0)).name
		ids := sortedKeys(w.Cloud.Machines)
		for _, id := range ids[:int(a.number("share", 0.5)*float64(len(ids)))] {
			w.cutFor(name, id, Hold, a.duration("for", 20))
		}
	}
}

// doSlowReports: reports take longer.
func (s *script) doSlowReports(a args) func() {
	w := s.w
	return func() {
		w.ReportDelay = a.duration("by", 2)
		w.After(a.duration("for", 2), func() { w.ReportDelay = 0 })
	}
}

// doDeaf: what is sent to a machine does not reach it; what it sends arrives.
func (s *script) doDeaf(a args) func() {
	w := s.w
	return func() {
		w.addHostFor(w.inboundLost, s.worker(a).id, a.duration("for", 20))
	}
}

// doMute: a machine reaches no controller, while orders reach it.
func (s *script) doMute(a args) func() {
	w := s.w
	return func() {
		w.addHostFor(w.outboundLost, s.worker(a).id, a.duration("for", 20))
	}
}

// doCopies: of reports come again, at any node, or at all nodes once there is a new leader.
func (s *script) doCopies(a args) func() {
	w := s.w
	return func() {
		copier := &reportCopier{share: a.number("share", 0.5), delay: a.duration("by", 20), rng: rand.New(rand.NewPCG(uint64(w.now), 4)), untilElection: a.hasFlag("for-next")}
		w.reportCopier = copier
		w.After(a.duration("for", 60), func() {
			if w.reportCopier == copier {
				w.reportCopier = nil
			}
		})
	}
}
