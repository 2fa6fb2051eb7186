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

// newAccountIndex numbers the accounts given by the teams and objectives of the settings.
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

// admitTeams returns the guarantees and limits of the teams in the settings.
func admitTeams(cfg *config.Config) []admit.Team {
	var teams []admit.Team
	for _, t := range cfg.Params.Teams {
		teams = append(teams, admit.Team{Name: t.Name, Guarantee: t.CPUs, Limit: t.CPUsMax})
	}
	return teams
}

// writeShareKind tells how much of the state service's write rate a peer uses for submissions.
type writeShareKind int

const (
	writeShareUnknown   writeShareKind = iota // no message yet: counted as writeShareAdmission
	writeShareAdmission                       // the base rate of a node and what the table grants it
	writeShareFixed                           // a fixed share, as nodes with admission off use it
)

// submitLimits divides the write rate of the state service among the controllers.
func (c *Core) submitLimits() admit.Limits {
	return admit.LimitsOf(c.stateLimits().WriteRPS, len(c.cfg.Peers)+1)
}

// writeRate returns how many changes per second this node may make now. A leader uses the
// rate that remains after the bases of the other nodes and the parts of the pool that are
// granted to them. The sum over all nodes stays within the limit of the state service,
// regardless of which node leads and which nodes are disconnected.
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

// initAdmission sets up admission for a new term. The overload state of the last table is
// kept, because a new leader does not receive the cloud's earlier refusals, which show that
// an overload begins.
func (c *Core) initAdmission(now Micros) {
	c.allocator = admit.NewAllocator(c.accountIndex, c.cfg.Name, c.term, now, c.submitLimits())
	c.shares = admit.NewTeamShares(c.accountIndex, admitTeams(c.cfg), c.policy.Admission)
	c.shares.Overloaded = c.allowance.WasOverloaded(now)
	c.objectiveTracker = c.newObjectiveTracker()
	c.accountDemands, c.entitlements = make([]admit.Demand, c.accountIndex.Len()), nil
	c.waitStats.start, c.waitStats.finished = nil, make([]finishedCounts, c.accountIndex.Len())
}

// newObjectiveTracker returns an empty tracker with the minimum served share of each account.
func (c *Core) newObjectiveTracker() *admit.ObjectiveTracker {
	return admit.NewObjectiveTracker(c.policy.Admission.AccountMinServedShares(c.accountIndex))
}

// maintainAdmission runs once a second. It returns the notice for the peers and, on the
// leader, builds the next table. Without admission it returns nil.
func (c *Core) maintainAdmission(now Micros) *admit.Notice {
	if !c.policy.Admission.Enabled {
		return nil
	}
	c.allowance.SetLimits(c.submitLimits())
	notice := c.allowance.Notice(c.submissions.queue.QueuedCost, now)
	if c.Serving() && c.allocator != nil {
		c.allocator.SetLimits(c.submitLimits())
		c.allocator.RecordNotice(c.cfg.Name, notice, now)
		c.allocator.BuildTable(now, c.shares.Overloaded, c.accountDemands, c.entitlements)
		c.allowance.ApplyTable(c.allocator.TableFor(c.cfg.Name, now), now)
	}
	c.updateWriteRate()
	return notice
}

// admissionNoticeFor returns the part of this node's notice that is sent to the named peer.
// Only the leader, or any peer while the leader is unknown, receives the arrivals of each
// account: with hundreds of teams they are most of the traffic between idle controllers.
func (c *Core) admissionNoticeFor(name string, notice *admit.Notice) *admit.Notice {
	if leader := c.elector.Leader(); notice == nil || leader == "" || leader == name {
		return notice
	}
	return &admit.Notice{Digest: notice.Digest, Refusals: notice.Refusals}
}

// handleAdmissionNotice processes a peer's notice and, if this node leads, returns the
// peer's table.
func (c *Core) handleAdmissionNotice(m *peer.Msg) *admit.Table {
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

// applyAdmissionTable adopts a table that came with the answer to a Hello message, which
// was sent at requestedAt.
func (c *Core) applyAdmissionTable(table *admit.Table, requestedAt Micros) {
	if c.policy.Admission.Enabled && !c.Serving() && c.allowance.ApplyTable(table, requestedAt) {
		c.updateWriteRate()
	}
}

// submissionRank returns the rank of a submission within the queue of its account.
func (c *Core) submissionRank(job *wire.Job) admit.Rank {
	switch {
	case c.allowance.WasRefused(job.ID, c.env.Now()):
		return admit.RankRetry
	case len(job.DependsOn) > 0:
		return admit.RankDependent
	}
	return admit.RankNew
}

// tableRetryAfter returns after how many seconds the table lets a submission be retried, or
// 0 if it may be accepted now. The result is the same on all nodes with the same table. The
// table does not delay later stages of an accepted pipeline.
func (c *Core) tableRetryAfter(job *wire.Job, account int, now Micros) int {
	if table := c.allowance.Table(now); c.policy.Admission.Enabled && table != nil && len(job.DependsOn) == 0 {
		return table.SlotsUntil(account, job.ID)
	}
	return 0
}

// queueRetryAfter returns after how many seconds a submission should be retried because of
// this node's queue, or 0 if the queue accepts it. wait is the time that the submission is
// expected to wait there: if it is longer than MaxQueueWait, the submission is refused now.
func (c *Core) queueRetryAfter(job *wire.Job, account int, wait Micros) int {
	queue := c.submissions.queue
	if queue.Len() > 0 && wait > c.policy.Admission.MaxQueueWait {
		return admit.RetryAfterSeconds(wait, job.ID)
	}
	if !queue.Fits(account, wire.MaxBody/8) {
		return admit.RetryAfterSeconds(clock.FromSeconds(float64(queue.Cost())/max(c.minSubmissionRate(), 0.1)), job.ID)
	}
	return 0
}

// minSubmissionRate returns the rate, in changes per second, that submissions get at least.
func (c *Core) minSubmissionRate() float64 {
	if c.Serving() {
		return c.writeBudget.MinRate(admit.SubmissionWrites)
	}
	return c.writeBudget.Rate()
}

// recordRefusal remembers a job whose submission was refused and will be retried.
func (c *Core) recordRefusal(account int, job *wire.Job) {
	j := &sched.Job{Spec: job}
	j.ComputeSize(c.catalog)
	c.allowance.RecordRefusal(account, 1, job.ID, j.TotalCPUs(), c.env.Now())
}

// expectedRetryDemand returns the expected demand of refused jobs when they are retried. The
// jobs of an account are assumed to resemble the latest job of its class.
func (c *Core) expectedRetryDemand(now Micros) []sched.Unplaced {
	var out []sched.Unplaced
	for account, cpus := range c.allowance.ExpectedCPUs(now) {
		if stats := c.arrivals[c.accountIndex.Accounts[account].Class]; cpus > 0 && stats != nil && stats.lastJob != nil {
			out = append(out, sched.Unplaced{Job: stats.lastJob, Count: int(math.Ceil(cpus / stats.lastJob.TaskCPUs()))})
		}
	}
	return out
}

// refuseForOverload refuses a submission with a time in seconds after which to retry, unless
// the job is known: an accepted job is never refused. Only memory is queried, here or at the
// leader, because under overload the requests to the state service are needed to reduce the
// load.
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

// answerFromMemory answers a query for a job from the leader's memory only. All queries that
// are answered from memory go through it. It reports only states that are certainly committed
// and gives unavailable for a job whose end is uncertain: another node may have read that end
// and sent it, and the user would see done and then running (scenario answer_lost_at_job_end).
// It also gives unavailable for a job that may have to be reported as cancelled along with a
// dependency; see cancellationMayBeDue.
func (c *Core) answerFromMemory(id string) (Answer, bool) {
	if c.Serving() {
		if j := c.jobs[id]; j != nil && (j.InDoubt() || c.cancellationMayBeDue(j.Submitted) && j.MayBeCancelled()) {
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

// recordSubmission counts an answered submission and records how long its user waited. known
// means that the job existed already.
func (c *Core) recordSubmission(s *submission, known bool) {
	c.allowance.CountAccepted(s.account, known)
	c.waitStats.record(&c.waitStats.accept, s.account, c.accountIndex.Len(), c.env.Now()-s.receivedAt)
}

// waitStats holds wait times in milliseconds and counts of finished jobs, by account number.
type waitStats struct {
	accept   []*hdrhistogram.Histogram // from a submission to its answer, at this node
	start    []*hdrhistogram.Histogram // from when a job is ready to its first task's start; leader only
	finished []finishedCounts          // of the current term; leader only
}

// finishedCounts counts finished jobs that are not services.
type finishedCounts struct{ jobs, inTime uint64 }

// record adds a wait to the account's histogram, in milliseconds. accounts is the number of
// accounts; a negative account is ignored.
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
	h.RecordValue(min(max(int64(wait/clock.Millisecond), 1), 3_600_000)) // no error is possible within the bounds
}

// recordJobEnd counts a finished job. A job is finished in time if it ended within the longest
// target time of its class.
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

// Admission returns how submissions and machines are shared, as seen by this node.
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

// accountNumber returns the number of a job's account.
func (c *Core) accountNumber(spec *wire.Job) int {
	return c.accountIndex.IndexOf(spec.Team, spec.Class)
}

// computeShares computes the entitlement of each account for the scheduling pass that begins,
// from all unfinished jobs. It returns a function that gives a job's share, or nil unless the
// machines are overloaded.
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
		c.entitlements = nil
		return nil
	}
	// The shares apply between teams. Within a team, jobs that its accounts need for their
	// minimum served shares go first, then the other jobs in the users' order.
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
	c.entitlements = make([]admit.Entitlement, len(c.accountDemands))
	for i := range c.entitlements {
		c.entitlements[i].Share = teamShares[c.accountIndex.Accounts[i].Team].Share
	}
	for i, status := range c.objectiveTracker.Evaluate(now, unfinished) {
		j := jobs[i]
		j.MinShareStatus = status
		if status.Needed {
			c.entitlements[unfinished[i].Account].MinShare += float64(j.PlacedCount+len(j.Queue)) * j.TaskCPUs()
		}
	}
	noShare := &sched.FairShare{} // for jobs without an account
	return func(j *sched.Job) *sched.FairShare {
		if share := teamShares[j.Spec.Team]; share != nil {
			return share
		}
		return noShare
	}
}

// batchCapacity returns the number of CPUs for non-production work on machines that are up
// or are starting.
func (c *Core) batchCapacity() float64 {
	sum := 0.0
	for _, m := range c.sortedMachines {
		if !m.Releasing && !m.Failed && !m.Draining && m.ReclaimAt == 0 && (m.Up || !m.Inherited()) {
			sum += m.Type.CPUs - m.ProductionCPUs()
		}
	}
	return sum
}

// cloudHasCapacity reports whether the cloud may still have machines: it has recently refused
// fewer than half of the on-demand machine kinds that it lists. Spot machines do not count:
// they are cheap and scarce, so they are requested first and refused first, even without an
// overload, while on-demand machines for expected work boot.
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
