package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// A worker executes a direct command batch whenever it arrives, as long as token and session match,
// and it may arrive more than once. A launch of an attempt that the worker knows has no effect,
// whatever became of the attempt. After a command to forget the attempt, it starts the task again,
// which may be running elsewhere or be cancelled by then. So a worker keeps the attempts that were
// launched directly on record until it can't execute these launches any more: until its session
// ends, or until it has seen a higher token than theirs. To that end, the leader raises its token
// from time to time while workers keep such attempts.
//
// Attempts launched under earlier leaders need no record here: commands to forget are sent only to
// workers that have acknowledged this leader's first token, which is higher.

const (
	// tokenRaiseInterval is the usual time between two raises of the token. Each one makes every
	// worker send an additional report.
	tokenRaiseInterval = 30 * clock.Second
	// restartRaiseInterval is the time between two raises of the token for restarted machines, so that
	// machines that restart together share one.
	restartRaiseInterval = 2 * clock.Second
	// maxUnfencedLaunches is how many direct launches a worker may be able to execute again. Further
	// launches are sent in answers to reports, which are not executed late. It bounds what a worker
	// keeps on record, and with it the size of its reports.
	maxUnfencedLaunches = 128
)

// orderFence decides when the leader raises its token.
type orderFence struct {
	needed   bool   // a worker keeps an attempt on record only because of its launch
	urgent   bool   // a worker has half as many direct launches as it may have
	restart  bool   // a restarted worker would execute launches under the present token again
	raisedAt Micros // when the token was last raised, or the raise was last queued
	// queuedToken is the token of the latest raise, which may not be committed yet.
	queuedToken uint64
}

// recordDirectLaunches records the launches of a command batch that is sent with the present token.
func (c *Core) recordDirectLaunches(m *sched.Machine, starts []wire.Command) {
	if len(starts) == 0 {
		return
	}
	if m.DirectLaunches == nil {
		m.DirectLaunches = map[sched.Attempt]*sched.DirectLaunch{}
	}
	m.LastLaunchToken = c.elector.Token()
	for _, start := range starts {
		m.DirectLaunches[sched.Attempt{Task: start.Task, Number: start.Attempt}] = &sched.DirectLaunch{Token: c.elector.Token()}
	}
	if len(m.DirectLaunches) >= maxUnfencedLaunches/2 {
		c.fence.needed, c.fence.urgent = true, true
	}
}

// mayForget reports whether a worker may forget an attempt: no launch of it can be executed any
// more. If one can under the present token, it requests a higher one.
func (c *Core) mayForget(m *sched.Machine, attempt sched.Attempt) bool {
	launch := m.DirectLaunches[attempt]
	if launch != nil && launch.Token >= c.elector.Token() {
		c.fence.needed = true
	}
	return launch == nil
}

// recordToken records the token of a worker's report. The worker refuses launches under lower ones
// from now on.
func recordToken(m *sched.Machine, token uint64) {
	if token <= m.Token {
		return
	}
	m.Token = token
	for attempt, launch := range m.DirectLaunches {
		if launch.Token < token {
			delete(m.DirectLaunches, attempt)
		}
	}
}

// maintainOrderFence raises the token if workers keep attempts on record only because of their
// launches. A raise that was not committed within the interval is queued again.
func (c *Core) maintainOrderFence(now Micros) {
	interval := tokenRaiseInterval
	if c.fence.urgent { // workers report a higher token at once only once within half a lease
		interval = min(interval, c.cfg.WorkerLease()/2)
	}
	if c.fence.restart {
		interval = restartRaiseInterval
	}
	if !c.fence.needed && !c.fence.restart || now-c.fence.raisedAt < interval {
		return
	}
	class := classDelayed
	if c.fence.restart {
		class = classUrgent
	}
	token, change := c.elector.NextTokenChange()
	c.fence = orderFence{raisedAt: now, queuedToken: token}
	c.committer.add(change.PutKey, class, func() ([]wire.Change, bool) { return []wire.Change{change}, true }, c.whileInTerm(func() {
		c.elector.AdoptToken(token)
		c.sendTokenToRestarted()
		slog.Debug("token raised", "term", c.term, "token", token)
	}))
}
