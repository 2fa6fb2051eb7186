package sim

import "math/rand/v2"

// This file holds the verbs that inject faults into controllers, the state service and the cloud.

// doSockets makes a controller report that this share of its connections is in use.
func (s *script) doSockets(a args) func() {
	return func() { s.node(a.word(0)).socketUsage = a.number("share", 0.9) }
}

// doSlow delays the answers of the state service.
func (s *script) doSlow(a args) func() {
	w := s.world
	return func() {
		w.State.AnswerDelay = a.duration("by", 0.2)
		w.After(a.duration("for", 20), func() { w.State.AnswerDelay = 0 })
	}
}

// doKill kills one controller process or all of them, and starts them again later.
func (s *script) doKill(a args) func() {
	w := s.world
	return func() {
		var nodes []*Node
		if a.word(0) == "all" {
			nodes = w.Nodes
		} else {
			nodes = []*Node{s.node(a.word(0))}
		}
		for _, node := range nodes {
			node.Kill()
			w.After(a.duration("for", 5), node.Start)
		}
	}
}

// doFreeze suspends a controller process for some time while its clocks run on.
func (s *script) doFreeze(a args) func() {
	return func() { s.node(a.word(0)).Suspend(a.duration("for", 5)) }
}

// doTwin starts another controller process, on its own machine, under the name of an existing one.
func (s *script) doTwin(a args) func() {
	w := s.world
	return func() {
		name := s.node(a.word(0)).name
		w.Nodes = append(w.Nodes, &Node{world: w, name: name + "-twin", duplicateOf: name})
		w.Nodes[len(w.Nodes)-1].Start()
	}
}

// doThrottle lowers the write rate of the state service below the limit in the settings.
func (s *script) doThrottle(a args) func() {
	w := s.world
	return func() {
		w.State.WriteRateOverride = a.number("rate", 5)
		w.After(a.duration("for", 20), func() { w.State.WriteRateOverride = 0 })
	}
}

// doUpgrade kills a controller of the old version and starts it again with the new version.
func (s *script) doUpgrade(a args) func() {
	w := s.world
	return func() {
		for _, node := range w.Nodes {
			if node.oldVersion && (a.word(0) == node.name || a.word(0) == "next") {
				node.oldVersion = false
				node.Kill()
				w.After(a.duration("for", 3), node.Start)
				return
			}
		}
	}
}

// doRefuse makes the state service refuse all requests of one controller.
func (s *script) doRefuse(a args) func() {
	w := s.world
	return func() {
		name := s.node(a.word(0)).name
		w.State.RefusedNodes[name] = true
		w.After(a.duration("for", 20), func() { w.State.RefusedNodes[name] = false; w.State.notify() })
	}
}

// doOutage makes the state service or the cloud unavailable.
func (s *script) doOutage(a args) func() {
	w := s.world
	return func() {
		switch a.word(0) {
		case "state":
			w.State.SetOutage(true)
			w.After(a.duration("for", 20), func() { w.State.SetOutage(false) })
		case "cloud":
			w.Cloud.Outage = true
			w.After(a.duration("for", 20), func() { w.Cloud.Outage = false })
		}
	}
}

// doLateTxn makes the next transaction of a controller be applied late and without an answer. With
// "keys", this is the next one that writes a key with that prefix.
func (s *script) doLateTxn(a args) func() {
	w := s.world
	return func() {
		w.State.NextTxnDelay[s.node(a.word(0)).name] = a.duration("by", 10)
		w.State.DelayedKeyPrefix = a.pairs["keys"]
	}
}

// doLateWrites makes a share of the transactions of all controllers be applied late and without an
// answer; see delayedWrites.
func (s *script) doLateWrites(a args) func() {
	w := s.world
	return func() {
		w.State.WriteDelays = &delayedWrites{a.number("share", 0.3), rand.New(rand.NewPCG(uint64(w.now), 5)), a.hasFlag("at-once")}
		w.After(a.duration("for", 20), func() { w.State.WriteDelays = nil })
	}
}

// doLostAnswer loses the answer to the next transaction of a controller.
func (s *script) doLostAnswer(a args) func() {
	w := s.world
	return func() { w.State.LoseNextAnswer[s.node(a.word(0)).name] = true }
}

// doLateOrder makes the next command batch be executed late.
func (s *script) doLateOrder(a args) func() {
	w := s.world
	return func() { w.NextCommandBatchDelay = a.duration("by", 10) }
}

// doLateReturn makes the next release of machines be executed late.
func (s *script) doLateReturn(a args) func() {
	w := s.world
	return func() { w.Cloud.NextReleaseDelay = a.duration("by", 20) }
}

// doLateRent makes the next rental be executed late.
func (s *script) doLateRent(a args) func() {
	w := s.world
	return func() { w.Cloud.NextRentDelay = a.duration("by", 20) }
}
