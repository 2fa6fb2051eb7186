package controller

import (
	"log/slog"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/fleet"
	"lilacthread/internal/peer"
	"lilacthread/internal/sched"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// newAccountIndex numbers the accounts that the settings give.
func newAccountIndex(cfg *config.Config) *admit.AccountIndex {
	var teams []string
	for _, t := range cfg.Params.Teams {
		teams = append(teams, t.Name)
	}
	var objectives []admit.Objective
	for _, o := range cfg.Params.Objectives {
		objectives = append(objectives, admit.Objective{Class: o.Class, Within: clock.FromSeconds(o.Within)})
	}
	return admit.NewAccountIndex(teams, objectives)
}

func admitTeams(cfg *config.Config) []admit.Team {
	var teams []admit.Team
	for _, t := range cfg.Params.Teams {
		teams = append(teams, admit.Team{Name: t.Name, Guarantee: t.CPUs, Limit: t.CPUsMax})
	}
	return teams
}

// shareKind is what a peer takes of the state service's changes for submissions.
type writeShareKind int

const (
	writeShareUnknown   writeShareKind = iota // never greeted: counted as the next
	writeShareAdmission                       // its base, and its part of the table
	writeShareFixed                           // the share of a node without admission
)

// submitLimits divides the changes that the state service takes.
func (c *Core) submitLimits() admit.Limits {
	return admit.LimitsOf(c.stateLimits().WriteRPS, len(c.cfg.Peers)+1)
}

// writeRate is how many changes a second this node may make now. A leader takes what
// the bases of the others and the parts that are out leave; the sum over all nodes
// stays within what the state service takes, whoever leads and whoever is cut off.
func (c *Core) writeRate(now Micros) float64 {
	total := c.stateLimits().WriteRPS
	if !c.policy.Admission.Enabled {
		return total * c.writeShare()
	}
	if c.elector == nil || c.allocator == nil || !c.elector.HoldsValidLease() {
		return c.allowance.Rate(now)
	}
	limits := c.submitLimits()
	rate := total - float64(c.allocator.Outstanding(now))/1000
	for _, p := range c.peers {
		if p.writeShareKind == writeShareFixed {
			rate -= total * followerShare
		} else {
			rate -= float64(limits.Base) / 1000
		}
	}
	return max(rate, total*0.3)
}

// electAdmission begins a term. What the last table said of the machines holds on: the
// cloud's refusals, by which a leader sees an overload begin, are not handed down.
func (c *Core) initAdmission(now Micros) {
	c.allocator = admit.NewAllocator(c.accountIndex, c.cfg.Name, c.term, now, c.submitLimits())
	c.shares = admit.NewTeamShares(c.accountIndex, admitTeams(c.cfg), c.policy.Admission)
	c.shares.Overloaded = c.allowance.WasOverloaded(now)
	c.objectiveTracker = c.newObjectiveTracker()
	c.accountDemands, c.fairShares = make([]admit.Demand, c.accountIndex.Len()), nil
	c.waitStats.start, c.waitStats.finished = nil, make([]finishedCounts, c.accountIndex.Len())
}

// newServed counts nothing yet.
func (c *Core) newObjectiveTracker() *admit.ObjectiveTracker {
	return admit.NewObjectiveTracker(c.policy.Admission.AccountMinServedShares(c.accountIndex))
}

// tendAdmission runs once a second: it gives the notice for the peers and, on the
// leader, makes the next table. Without admission there is neither.
func (c *Core) maintainAdmission(now Micros) *admit.Notice {
	if !c.policy.Admission.Enabled {
		return nil
	}
	c.allowance.SetLimits(c.submitLimits())
	notice := c.allowance.Notice(c.submissions.queue.QueuedCost, now)
	if c.Serving() && c.allocator != nil {
		c.allocator.SetLimits(c.submitLimits())
		c.allocator.RecordNotice(c.cfg.Name, notice, now)
		c.allocator.BuildTable(now, c.shares.Overloaded, c.accountDemands, c.fairShares)
		c.allowance.ApplyTable(c.allocator.TableFor(c.cfg.Name, now), now)
	}
	c.updateWriteRate()
	return notice
}

// noticeFor is what a peer is told of this node's notice: the arrivals of each account only
// the leader has a use for, and with hundreds of teams they are most of what idle controllers
// say to each other.
func (c *Core) noticeFor(name string, notice *admit.Notice) *admit.Notice {
	if leader := c.elector.Leader(); notice == nil || leader == "" || leader == name {
		return notice
	}
	return &admit.Notice{Digest: notice.Digest, Refusals: notice.Refusals}
}

// hearNotice takes a peer's notice in and gives it its table, if this node leads.
func (c *Core) handleNotice(m *peer.Msg) *admit.Table {
	now := c.env.Now()
	if p := c.peers[m.Node]; p != nil {
		p.writeShareKind = writeShareFixed
		if m.AdmissionNotice != nil {
			p.writeShareKind = writeShareAdmission
		}
	}
	if m.AdmissionNotice == nil || !c.policy.Admission.Enabled {
		return nil
	}
	c.allowance.MergeRefusals(m.AdmissionNotice, now)
	if !c.Serving() || c.allocator == nil {
		return nil
	}
	c.allocator.RecordNotice(m.Node, m.AdmissionNotice, now)
	t := c.allocator.TableFor(m.Node, now)
	c.updateWriteRate()
	return t
}

// putTable takes a table over that came with the answer to a greeting.
func (c *Core) applyAdmissionTable(table *admit.Table, requestedAt Micros) {
	if c.policy.Admission.Enabled && !c.Serving() && c.allowance.ApplyTable(table, requestedAt) {
		c.updateWriteRate()
	}
}

// rank is a submission's place among those of its account.
func (c *Core) submissionRank(job *wire.Job) admit.Rank {
	switch {
	case c.allowance.WasRefused(job.ID, c.env.Now()):
		return admit.RankRetry
	case len(job.DependsOn) > 0:
		return admit.RankDependent
	}
	return admit.RankNew
}

// turn is in how many seconds the table has a submission come again, alike on all nodes;
// 0 if now. A later stage of a pipeline that was accepted is not made to wait by it.
func (c *Core) tableRetryAfter(job *wire.Job, account int, now Micros) int {
	if table := c.allowance.Table(now); c.policy.Admission.Enabled && table != nil && len(job.DependsOn) == 0 {
		return table.SlotsUntil(account, job.ID)
	}
	return 0
}

// mustWait says in how many seconds a submission should come again for the sake of this
// node's own queue, where it would wait so long: what would not be answered soon is
// refused now; 0 if it is taken.
func (c *Core) queueRetryAfter(job *wire.Job, account int, wait Micros) int {
	q := c.submissions.queue
	if q.Len() > 0 && wait > c.policy.Admission.MaxQueueWait {
		return admit.RetryAfterSeconds(wait, job.ID)
	}
	if !q.Fits(account, wire.MaxBody/8) {
		return admit.RetryAfterSeconds(clock.FromSeconds(float64(q.Cost())/max(c.minSubmissionRate(), 0.1)), job.ID)
	}
	return 0
}

// submitRate is the changes a second that submissions surely get.
func (c *Core) minSubmissionRate() float64 {
	if c.Serving() {
		return c.writeBudget.MinRate(admit.SubmissionWrites)
	}
	return c.writeBudget.Rate()
}

// noteRefused remembers a job that was told to come back.
func (c *Core) recordRefusal(account int, job *wire.Job) {
	j := &sched.Job{Spec: job}
	j.ComputeSize(c.catalog)
	c.allowance.RecordRefusal(account, 1, job.ID, j.TotalCPUs(), c.env.Now())
}

// expected is what refused jobs will ask for when they come back, each account's like the
// job of its class that came last.
func (c *Core) expectedRetryDemand(now Micros) []sched.Unplaced {
	var out []sched.Unplaced
	for account, cpus := range c.allowance.ExpectedCPUs(now) {
		if stats := c.arrivals[c.accountIndex.Accounts[account].Class]; cpus > 0 && stats != nil && stats.lastJob != nil {
			out = append(out, sched.Unplaced{Job: stats.lastJob, Count: int(math.Ceil(cpus / stats.lastJob.TaskCPUs()))})
		}
	}
	return out
}

// turnAway refuses a submission, unless the job is known: what was accepted is never
// refused. Only memory is asked, here or at the leader: under overload the state
// service's requests are needed for what it can do about it.
func (c *Core) refuseForOverload(job *wire.Job, account, wait int, reply func(Answer)) {
	refuse := func() {
		c.recordRefusal(account, job)
		reply(Answer{Code: 429, RetryAfter: wait})
	}
	if a, ok := c.answerFromMemory(job.ID); ok {
		c.allowance.CountAccepted(account, true)
		reply(a)
		return
	}
	leader := c.elector.Leader()
	if p := c.peers[leader]; p == nil || !p.seenRecently(c.env.Now()) {
		refuse()
		return
	}
	m := c.newMessage(fb.KindStatus)
	m.Job, m.InMemoryOnly = job.ID, true
	c.env.Call(leader, m, 150*clock.Millisecond, func(r *peer.Msg) {
		if r == nil || r.Code != 200 {
			refuse()
			return
		}
		c.allowance.CountAccepted(account, true)
		reply(answerFromMessage(r))
	})
}

// remembered answers for a job from the leader's memory alone. It is the one place where
// memory is told to users, and tells what is committed and known to be: nothing of a job
// whose end is in doubt, since another node may have read and told it (users' trials and
// scenario answer_lost_at_job_end: done, then running).
func (c *Core) answerFromMemory(id string) (Answer, bool) {
	if c.Serving() {
		if j := c.jobs[id]; j != nil && (j.InDoubt() || c.cancellationMayBeDue(j.Submitted) && c.mayBeCancelled(j)) {
			return unavailable, true
		} else if j != nil {
			return Answer{Code: 200, Status: statusOf(j)}, true
		}
		if f, ok := c.finalRecords[id]; ok {
			return Answer{Code: 200, Status: f.JobStatus}, true
		}
	}
	return Answer{Code: 404}, false
}

// took notes a submission that was answered.
func (c *Core) recordSubmission(s *submission, known bool) {
	c.allowance.CountAccepted(s.account, known)
	c.waitStats.record(&c.waitStats.accept, s.account, c.accountIndex.Len(), c.env.Now()-s.receivedAt)
}

// waits are what users and jobs waited, by account.
type waitStats struct {
	accept   []*hdrhistogram.Histogram // from a submission to its answer, at this node
	start    []*hdrhistogram.Histogram // of the leader: until a job's first task ran
	finished []finishedCounts          // of the leader, in its term
}

// served counts jobs that are over, services aside.
type finishedCounts struct{ jobs, inTime uint64 }

// note enters a wait, in milliseconds.
func (w *waitStats) record(histograms *[]*hdrhistogram.Histogram, account, accounts int, wait Micros) {
	if account < 0 {
		return
	}
	if *histograms == nil {
		*histograms = make([]*hdrhistogram.Histogram, accounts)
	}
	h := (*histograms)[account]
	if h == nil {
		h = hdrhistogram.New(1, 3_600_000, 2)
		(*histograms)[account] = h
	}
	h.RecordValue(min(max(int64(wait/clock.Millisecond), 1), 3_600_000)) // within the bounds: no error
}

// noteOver counts a job that is over: in time means within the widest aim of its class.
func (c *Core) recordJobEnd(j *sched.Job) {
	account := c.accountNumber(j.Spec)
	if account < 0 || j.Service() || j.Cancelled || c.waitStats.finished == nil {
		return
	}
	counts := &c.waitStats.finished[account]
	counts.jobs++
	longestTarget := c.accountIndex.LongestTargets[account]
	inTime := longestTarget == 0 || j.EndedAt-j.ReadyAt <= longestTarget
	if inTime {
		counts.inTime++
	}
	c.objectiveTracker.RecordFinished(account, inTime && (j.LastStartTarget == 0 || j.StartedAt <= j.LastStartTarget), c.env.Now())
	if j.StartedAt > 0 {
		c.waitStats.record(&c.waitStats.start, account, c.accountIndex.Len(), j.StartedAt-j.ReadyAt)
	}
}

// Admission tells how submissions and machines are shared, as this node sees it.
func (c *Core) Admission() *wire.AdmissionStatus {
	now := c.env.Now()
	out := &wire.AdmissionStatus{Node: c.cfg.Name, Enabled: c.policy.Admission.Enabled, IsLeader: c.Serving(), Rate: c.writeBudget.Rate(),
		Waiting: c.submissions.queue.Len(), OldestSeconds: (now - c.submissions.queue.Oldest(now)).Seconds()}
	table := c.allowance.Table(now)
	if table != nil {
		out.Term, out.Number, out.Overloaded = table.Term, table.Number, table.Overloaded
	}
	for i, account := range c.accountIndex.Accounts {
		counts := c.allowance.Counts(i)
		a := wire.AdmissionAccount{Team: account.Team, Class: account.Class, Queued: c.submissions.queue.QueuedCost(i),
			Accepted: counts.Accepted, Refused: counts.Refused, Duplicates: counts.Duplicates}
		if table != nil {
			entry := table.Accounts[i]
			a.Held, a.Waiting, a.MinShare, a.Share = entry.Held, entry.Waiting, entry.MinShare, entry.Share
			a.Rate, a.NodeRate, a.Slots = float64(entry.Rate)/1000, float64(entry.NodeRate)/1000, entry.Slots
		}
		if w := c.waitStats.accept; w != nil && w[i] != nil {
			a.AcceptP50Millis, a.AcceptP99Millis = w[i].ValueAtQuantile(50), w[i].ValueAtQuantile(99)
		}
		if w := c.waitStats.start; w != nil && w[i] != nil {
			a.StartP50Millis, a.StartP99Millis = w[i].ValueAtQuantile(50), w[i].ValueAtQuantile(99)
		}
		if finished := c.waitStats.finished; out.IsLeader && finished != nil {
			a.FinishedJobs, a.FinishedInTime = finished[i].jobs, finished[i].inTime
		}
		out.Accounts = append(out.Accounts, a)
	}
	return out
}

// account numbers the account of a job.
func (c *Core) accountNumber(spec *wire.Job) int {
	return c.accountIndex.IndexOf(spec.Team, spec.Class)
}

// judgeShares works out what each account is due in the pass that begins, from all
// that is unfinished; nil unless there is more to do than the machines can take.
func (c *Core) computeShares(now Micros) func(*sched.Job) *sched.FairShare {
	if !c.policy.Admission.Enabled {
		return nil
	}
	clear(c.accountDemands)
	var jobs []*sched.Job
	for _, j := range c.jobs {
		account := c.accountNumber(j.Spec)
		if account < 0 || j.Service() || j.Priority >= wire.PriorityProduction || j.PlacedCount+len(j.Queue) == 0 {
			continue
		}
		demand := &c.accountDemands[account]
		demand.Held += float64(j.PlacedCount) * j.TaskCPUs()
		if j.Active() {
			demand.Waiting += float64(len(j.Queue)) * j.TaskCPUs()
			demand.RemainingWork += j.RemainingWork()
			jobs = append(jobs, j)
		}
	}
	wasOverloaded := c.shares.Overloaded
	shares := c.shares.Evaluate(now, c.batchCapacity(), c.cloudHasCapacity(now), c.accountDemands)
	if wasOverloaded != c.shares.Overloaded {
		slog.Info("admission mode", "overload", c.shares.Overloaded, "term", c.term)
	}
	if shares == nil {
		c.fairShares = nil
		return nil
	}
	// Between teams the shares hold. Within a team, what its accounts lack for their floors
	// goes first, and then its jobs in the users' order.
	teamShares := map[string]*sched.FairShare{}
	for i, t := range c.cfg.Params.Teams {
		teamShares[t.Name] = &sched.FairShare{Share: shares[i]}
	}
	for i, d := range c.accountDemands {
		teamShares[c.accountIndex.Accounts[i].Team].Allocated += d.Held
	}
	unfinished := make([]admit.UnfinishedJob, len(jobs))
	for i, j := range jobs {
		unfinished[i] = admit.UnfinishedJob{Account: c.accountNumber(j.Spec), Feasibility: j.Feasibility(now), RemainingWork: j.RemainingWork(), ReadyAt: j.ReadyAt, ID: j.ID}
	}
	c.fairShares = make([]admit.Entitlement, len(c.accountDemands))
	for i := range c.fairShares {
		c.fairShares[i].Share = teamShares[c.accountIndex.Accounts[i].Team].Share
	}
	for i, status := range c.objectiveTracker.Evaluate(now, unfinished) {
		j := jobs[i]
		j.MinShareStatus = status
		if status.Needed {
			c.fairShares[unfinished[i].Account].MinShare += float64(j.PlacedCount+len(j.Queue)) * j.TaskCPUs()
		}
	}
	noShare := &sched.FairShare{} // for what has no account
	return func(j *sched.Job) *sched.FairShare {
		if share := teamShares[j.Spec.Team]; share != nil {
			return share
		}
		return noShare
	}
}

// batchRoom is the CPUs that are up or on their way for work that is not production.
func (c *Core) batchCapacity() float64 {
	sum := 0.0
	for _, m := range c.sortedMachines {
		if !m.Releasing && !m.Failed && !m.Draining && m.ReclaimAt == 0 && (m.Up || !m.Inherited()) {
			sum += m.Type.CPUs - m.ProductionCPUs()
		}
	}
	return sum
}

// cloudHas reports whether the cloud may have machines yet: it has refused less than
// half of the ordinary kinds that it lists of late. Spot machines don't count: they are
// cheap and few, so they are asked for first and refused first, also on a calm day while
// ordinary ones boot for work that was always to come.
func (c *Core) cloudHasCapacity(now Micros) bool {
	kinds, refused := 0, 0
	for _, t := range c.catalog {
		for _, zone := range t.Zones {
			kinds++
			if now < c.refusedUntil[fleet.MachineKind{Type: t.Name, Zone: zone}] {
				refused++
			}
		}
	}
	return 2*refused < kinds
}
