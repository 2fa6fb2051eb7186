package controller

import (
	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// submissionForwarding is the state of forwarding submissions to the leader that would have
// to wait at this node. A follower's base is about an eighth of the state service's write rate
// and the leader has most of the rest, while the load balancer sends the same number of users
// to each node. Without forwarding, in the first second with hundreds of users, the leader is
// idle while the followers refuse submissions.
type submissionForwarding struct {
	unanswered  int    // forwarded and not answered yet, at most a quarter of the queue's limit
	held        int    // held back until there is a leader
	pausedUntil Micros // the leader refused: nothing is forwarded before this time
}

const (
	submissionForwardAfter = 60 * clock.Millisecond // a submission that would wait at least this long here is forwarded
	forwardPause           = clock.Second           // after a refusal by the leader
	startupPeriod          = clock.Second           // of a process; a first election takes less time
	noLeaderDelay          = 40 * clock.Millisecond // after which a held submission is enqueued again
)

// localWait returns how long a submission would wait at this node until the write budget
// allows its changes, or 0 without admission.
func (c *Core) localWait(job *wire.Job, account int, now Micros) Micros {
	if !c.policy.Admission.Enabled {
		return 0
	}
	queue := c.submissions.queue
	cost := 1 + len(job.DependsOn)/64
	missing := float64(queue.CostAhead(account, c.submissionRank(job), cost)+cost) - c.writeBudget.Available(stdTime(now), admit.SubmissionWrites)
	if missing <= 0 {
		return 0
	}
	return clock.FromSeconds(missing / max(c.minSubmissionRate(), 0.1))
}

// forwardSubmission forwards a submission to the leader, or holds it for a moment while the
// first leader is being elected. It reports whether it did either.
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
		if a.Code >= 429 { // the leader is overloaded or unreachable
			c.forwarding.pausedUntil = c.env.Now() + forwardPause
		}
		reply(a)
	})
	return true
}
