package controller

import (
	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// passing hands submissions that would wait here on to the leader. A follower's base is
// an eighth of the state service's changes, the leader has most of what is left, and the
// load balancer gives each node the same number of users: in the opening second, with
// hundreds of them, the leader stood idle while the others told theirs to come back.
type submissionForwarding struct {
	unanswered  int    // handed on and not answered yet, at most a quarter of what may wait
	held        int    // kept until there is a leader
	pausedUntil Micros // the leader refused: nothing is handed on before
}

const (
	submissionForwardAfter = 60 * clock.Millisecond // a submission that would wait this long here is handed on
	forwardPause           = clock.Second           // after a refusal
	startupPeriod          = clock.Second           // of a process's life; a first election takes less
	noLeaderDelay          = 40 * clock.Millisecond
)

// waitHere is how long a submission would wait for its changes at this node; without
// admission nobody asks.
func (c *Core) localWait(job *wire.Job, account int, now Micros) Micros {
	if !c.policy.Admission.Enabled {
		return 0
	}
	q := c.submissions.queue
	cost := 1 + len(job.DependsOn)/64
	missing := float64(q.CostAhead(account, c.submissionRank(job), cost)+cost) - c.writeBudget.Available(stdTime(now), admit.SubmissionWrites)
	if missing <= 0 {
		return 0
	}
	return clock.FromSeconds(missing / max(c.minSubmissionRate(), 0.1))
}

// passOn hands a submission to the leader, or keeps it for a moment while the first
// leader is being elected; it reports whether it did.
func (c *Core) forwardSubmission(job *wire.Job, account int, reply func(Answer)) bool {
	now := c.env.Now()
	if c.elector.Leading() {
		return false
	}
	leader := c.elector.Leader()
	if leader == "" {
		if now-c.startedAt > startupPeriod || c.forwarding.held >= c.cfg.MaxQueuedSubmissions() {
			return false
		}
		c.forwarding.held++
		c.env.After(noLeaderDelay, func() {
			c.forwarding.held--
			c.enqueue(job, true, reply)
		})
		return true
	}
	if c.peers[leader] == nil || c.forwarding.unanswered >= c.cfg.MaxQueuedSubmissions()/4 || now < c.forwarding.pausedUntil {
		return false
	}
	c.forwarding.unanswered++
	c.submitToPeer(leader, job, func(a Answer) {
		c.forwarding.unanswered--
		switch a.Code {
		case 200, 201:
			c.allowance.CountAccepted(account, a.Code == 200)
		case 429:
			c.recordRefusal(account, job)
		}
		if a.Code >= 429 { // it has enough to do, or is gone
			c.forwarding.pausedUntil = c.env.Now() + forwardPause
		}
		reply(a)
	})
	return true
}
