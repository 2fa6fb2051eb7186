package sim

import "math/rand/v2"

// Troubles of controllers, the state service and the cloud.

// doSockets: a controller says that so much of its connections is in use.
func (s *script) doSockets(a args) func() {
	return func() { s.node(a.word(0)).socketUsage = a.number("share", 0.9) }
}

// doSlow: the state service takes longer.
func (s *script) doSlow(a args) func() {
	w := s.w
	return func() {
		w.State.AnswerDelay = a.duration("by", 0.2)
		w.After(a.duration("for", 20), func() { w.State.AnswerDelay = 0 })
	}
}

// doKill: processes end without a word, and come back.
func (s *script) doKill(a args) func() {
	w := s.w
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

// doFreeze: a process stands still while its clocks run on.
func (s *script) doFreeze(a args) func() {
	return func() { s.node(a.word(0)).Freeze(a.duration("for", 5)) }
}

// doTwin: one more process, on a machine of its own, that bears a node's name.
func (s *script) doTwin(a args) func() {
	w := s.w
	return func() {
		name := s.node(a.word(0)).name
		w.Nodes = append(w.Nodes, &Node{w: w, name: name + "-twin", duplicateOf: name})
		w.Nodes[len(w.Nodes)-1].Start()
	}
}

// doThrottle: the state service takes fewer changes a second than it says.
func (s *script) doThrottle(a args) func() {
	w := s.w
	return func() {
		w.State.WriteRateOverride = a.number("rate", 5)
		w.After(a.duration("for", 20), func() { w.State.WriteRateOverride = 0 })
	}
}

// doUpgrade: kills a node; it comes back with the new version.
func (s *script) doUpgrade(a args) func() {
	w := s.w
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

// doRefuse: the state service refuses a node.
func (s *script) doRefuse(a args) func() {
	w := s.w
	return func() {
		name := s.node(a.word(0)).name
		w.State.RefusedNodes[name] = true
		w.After(a.duration("for", 20), func() { w.State.RefusedNodes[name] = false; w.State.notify() })
	}
}

// doOutage: of the state service or the cloud.
func (s *script) doOutage(a args) func() {
	w := s.w
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

// doLateTxn: a node's next transaction is applied late.
func (s *script) doLateTxn(a args) func() {
	w := s.w
	return func() {
		w.State.NextTxnDelay[s.node(a.word(0)).name] = a.duration("by", 10)
		w.State.DelayedKeyPrefix = a.pairs["keys"]
	}
}

// doLateWrites: of any node; see lateWrites.
func (s *script) doLateWrites(a args) func() {
	w := s.w
	return func() {
		w.State.WriteDelays = &delayedWrites{a.number("share", 0.3), rand.New(rand.NewPCG(uint64(w.now), 5)), a.hasFlag("at-once")}
		w.After(a.duration("for", 20), func() { w.State.WriteDelays = nil })
	}
}

// doLostAnswer: a node's next transaction gets no answer.
func (s *script) doLostAnswer(a args) func() {
	w := s.w
	return func() { w.State.LoseNextAnswer[s.node(a.word(0)).name] = true }
}

// doLateOrder: the next order is executed late.
func (s *script) doLateOrder(a args) func() {
	w := s.w
	return func() { w.NextOrderDelay = a.duration("by", 10) }
}

// doLateReturn: the next return is executed late.
func (s *script) doLateReturn(a args) func() {
	w := s.w
	return func() { w.Cloud.NextReleaseDelay = a.duration("by", 20) }
}

// doLateRent: the next rental is executed late.
func (s *script) doLateRent(a args) func() {
	w := s.w
	return func() { w.Cloud.NextRentDelay = a.duration("by", 20) }
}
