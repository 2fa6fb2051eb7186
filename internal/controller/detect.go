package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// suspect notes that a machine showed something that contradicts what it was told.
func (c *Core) suspect(m *sched.Machine, s oneway.Sign, now Micros) {
	if !m.Downlink.See(s, now, c.cfg.ReportEvery()/2) {
		return
	}
	slog.Info("machine does not hear", "machine", m.ID, "tasks", len(m.Places))
	// What was never sent goes elsewhere at once. The rest stays until its absence is
	// proven, by a report that lacks it or by the end of the session.
	for _, p := range places(m) {
		if !p.Sent {
			c.leave(p)
		}
	}
	c.wake()
}

// lateRenewal is the least time before the end of a lease at which a renewal surely
// belongs to the session before.
const lateRenewal = responseLife + clock.Second

// renewedInVain reports whether a worker that begins a new session had its reports
// answered so lately that it can't have heard that.
func (c *Core) renewedInVain(m *sched.Machine, now Micros) bool {
	return m.Acked && now-m.Answered < c.cfg.WorkerLease()-lateRenewal-c.margin()
}

// probePartitions asks machines for a proof that they hear.
func (c *Core) probePartitions(now Micros) {
	for _, m := range c.order {
		if m.Downlink.Suspected() && c.mayOrder(m) && m.Downlink.Ask(now) {
			c.probe(m, func(ok bool, _ *wire.Report) { m.Downlink.Answered(ok) })
		}
	}
}

// unansweredLimit is how many questions to a machine whose report is overdue stay without an answer
// before it passes for silent.
const unansweredLimit = 2

// overdue is how long a worker that reaches its controller is never silent.
func (c *Core) overdue() Micros { return 3 * c.cfg.ReportEvery() / 2 }

// silent reports whether a machine has missed several reports, or passes for silent before
// that: it does not answer, and would have found another controller by now that hands its
// reports on.
func (c *Core) silent(m *sched.Machine, now Micros) bool {
	return now-m.Heard > c.quiet() || m.Unanswered >= unansweredLimit && now-m.Heard > c.overdue()+foundBy
}

// foundBy is about what a worker takes to find another controller.
const foundBy = 3 * responseLife / 2

// quiet is how long a machine may be silent before it is returned, asked or not.
func (c *Core) quiet() Micros { return Micros(c.pol.SilentReports * float64(c.cfg.ReportEvery())) }

// probeSilent asks machines whose report is overdue. Where reports come seldom, waiting for
// several of them would leave the replicas of a dead machine away for half a minute; one
// that only its reports don't come from answers.
func (c *Core) probeSilent(now Micros) {
	late := c.overdue()
	if late+foundBy >= c.quiet() {
		return // reports come so often that several missed ones tell sooner
	}
	for _, m := range c.order {
		if c.ordering >= c.cfg.OrderLimit()/4 {
			return // a whole zone may be silent, and launches need orders too
		}
		if !m.Up || now-m.Heard < late || m.Unanswered >= unansweredLimit || now-m.Asked < responseLife/2 || !c.mayOrder(m) {
			continue
		}
		m.Asked = now
		c.probe(m, func(ok bool, _ *wire.Report) {
			if m.Unanswered++; ok || m.Heard > now {
				m.Unanswered = 0
			}
		})
	}
}

// probe sends an order without commands: whoever answers hears.
func (c *Core) probe(m *sched.Machine, done func(ok bool, r *wire.Report)) {
	c.sendTo(m, []wire.Command{}, func(o store.Outcome, r *wire.Report) {
		done((o == store.OK || o == store.Failed) && r != nil && r.Machine == m.ID, r)
	})
}

// older deals with a report that is older than what is known of its machine. Mostly it is
// a late copy, and changes nothing. But if nothing newer has come for longer than a worker
// is ever silent, the machine may have been started anew and count from the beginning: it
// is asked itself, since no report can tell the two apart.
func (c *Core) older(m *sched.Machine, r *wire.Report, now Micros) {
	if now-m.Heard < c.overdue() || now-m.Doubted < c.cfg.ReportEvery() || !c.mayOrder(m) {
		return
	}
	m.Doubted = now
	// What was known when it was asked: a report that it wrote after its answer may come before.
	session, seq := m.Session, m.Seq
	c.probe(m, func(ok bool, a *wire.Report) {
		if ok && a.Token <= c.term && (a.Session < session || a.Session == session && a.Seq < seq) {
			c.startedAnew(m, a)
		}
	})
}

// startedAnew has a machine returned that began again under its name. What it counts now
// can't be told from late copies of what it counted before: one of those, newer by its
// numbers, would prove tasks absent that run (found by chaos with copies and machines
// started anew together). Its tasks ended with it; the release proves that.
func (c *Core) startedAnew(m *sched.Machine, a *wire.Report) {
	slog.Info("machine was started anew", "machine", m.ID, "session", a.Session, "was", m.Session, "tasks", len(m.Places))
	m.Anew, m.Draining = true, true
}
