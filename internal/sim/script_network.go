package sim

import "math/rand/v2"

// This file holds the verbs that inject faults into the network.

// doCut cuts the links between the first host or group of hosts and the others.
func (s *script) doCut(a args) func() {
	w := s.world
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

// doZoneCut cuts the machines of a zone and one controller in it off from all other hosts.
func (s *script) doZoneCut(a args) func() {
	w := s.world
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

// doSlowLinks delays all messages.
func (s *script) doSlowLinks(a args) func() {
	w := s.world
	return func() {
		w.LinkDelay = a.duration("by", 0.3)
		w.After(a.duration("for", 20), func() { w.LinkDelay = 0 })
	}
}

// doIsolate cuts one machine off from all controllers.
func (s *script) doIsolate(a args) func() {
	w := s.world
	return func() {
		mode := a.cutMode()
		machine := s.worker(a)
		for _, node := range w.Nodes {
			w.cutFor(machine.id, node.name, mode, a.duration("for", 20))
		}
	}
}

// doApart cuts the links between a controller and a share of the machines; messages are held until
// the end of the cut.
func (s *script) doApart(a args) func() {
	w := s.world
	return func() {
		name := s.node(a.word(0)).name
		ids := sortedKeys(w.Cloud.Machines)
		for _, id := range ids[:int(a.number("share", 0.5)*float64(len(ids)))] {
			w.cutFor(name, id, CutHold, a.duration("for", 20))
		}
	}
}

// doSlowReports delays the reports of all workers.
func (s *script) doSlowReports(a args) func() {
	w := s.world
	return func() {
		w.ReportDelay = a.duration("by", 2)
		w.After(a.duration("for", 2), func() { w.ReportDelay = 0 })
	}
}

// doDeaf loses the inbound traffic of a machine; what the machine sends arrives.
func (s *script) doDeaf(a args) func() {
	w := s.world
	return func() {
		w.addHostFor(w.inboundLost, s.worker(a).id, a.duration("for", 20))
	}
}

// doMute loses the outbound traffic of a machine: its reports reach no controller, while command
// batches sent directly to it arrive and are answered.
func (s *script) doMute(a args) func() {
	w := s.world
	return func() {
		w.addHostFor(w.outboundLost, s.worker(a).id, a.duration("for", 20))
	}
}

// doCopyOrders delivers copies of every command batch that is sent directly to a worker, between
// "min" and "max" seconds later or, with the flag "at-restart" and if it holds launches, as soon as the
// worker has restarted.
func (s *script) doCopyOrders(a args) func() {
	w := s.world
	return func() {
		if a.hasFlag("at-restart") {
			w.copyOrdersAtRestart = true
			return
		}
		w.orderCopier = newMessageCopier(w, a)
	}
}

// doCopyTxns carries out copies of every transaction that the state service has answered, between
// "min" and "max" seconds later.
func (s *script) doCopyTxns(a args) func() {
	w := s.world
	return func() { w.txnCopier = newMessageCopier(w, a) }
}

// doCopies delivers a share of the reports a second time: later at a random controller or, with
// the flag "for-next", at all controllers after the next election.
func (s *script) doCopies(a args) func() {
	w := s.world
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
