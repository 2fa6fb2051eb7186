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
	var aims []admit.Aim
	for _, o := range cfg.Params.Objectives {
		aims = append(aims, admit.Aim{Class: o.Class, Within: clock.FromSeconds(o.Within)})
	}
	return admit.NewAccountIndex(teams, aims)
}

func admitTeams(cfg *config.Config) []admit.Team {
	var teams []admit.Team
	for _, t := range cfg.Params.Teams {
		teams = append(teams, admit.Team{Name: t.Name, Guarantee: t.CPUs, Limit: t.CPUsMax})
	}
	return teams
}

// shareKind is what a peer takes of the state service's changes for submissions.
type shareKind int

const (
	unheard   shareKind = iota // never greeted: counted as the next
	admitting                  // its base, and its part of the table
	fixed                      // the share of a node without admission
)

// submitLimits divides the changes that the state service takes.
func (c *Core) submitLimits() admit.Limits {
	return admit.LimitsOf(c.limits().WriteRPS, len(c.cfg.Peers)+1)
}

// writeRate is how many changes a second this node may make now. A leader takes what
// the bases of the others and the parts that are out leave; the sum over all nodes
// stays within what the state service takes, whoever leads and whoever is cut off.
func (c *Core) writeRate(now Micros) float64 {
	all := c.limits().WriteRPS
	if !c.pol.Admission.On {
		return all * c.share()
	}
	if c.lead == nil || c.allocator == nil || !c.lead.Authority() {
		return c.allowance.Rate(now)
	}
	limits := c.submitLimits()
	rate := all - float64(c.allocator.Out(now))/1000
	for _, p := range c.peers {
		if p.admits == fixed {
			rate -= all * followerShare
		} else {
			rate -= float64(limits.Base) / 1000
		}
	}
	return max(rate, all*0.3)
}

// electAdmission begins a term. What the last table said of the machines holds on: the
// cloud's refusals, by which a leader sees an overload begin, are not handed down.
func (c *Core) electAdmission(now Micros) {
	c.allocator = admit.NewAllocator(c.accountIndex, c.cfg.Name, c.term, now, c.submitLimits())
	c.shares = admit.NewShares(c.accountIndex, admitTeams(c.cfg), c.pol.Admission)
	c.shares.Over = c.allowance.WasOver(now)
	c.served = c.newServed()
	c.demands, c.dues = make([]admit.Demand, c.accountIndex.Len()), nil
	c.waits.start, c.waits.served = nil, make([]served, c.accountIndex.Len())
}

// newServed counts nothing yet.
func (c *Core) newServed() *admit.Served {
	return admit.NewServed(c.pol.Admission.Floors(c.accountIndex))
}

// tendAdmission runs once a second: it gives the notice for the peers and, on the
// leader, makes the next table. Without admission there is neither.
func (c *Core) tendAdmission(now Micros) *admit.Notice {
	if !c.pol.Admission.On {
		return nil
	}
	c.allowance.SetLimits(c.submitLimits())
	notice := c.allowance.Notice(c.intake.queue.Queued, now)
	if c.Serving() && c.allocator != nil {
		c.allocator.SetLimits(c.submitLimits())
		c.allocator.Hear(c.cfg.Name, notice, now)
		c.allocator.Next(now, c.shares.Over, c.demands, c.dues)
		c.allowance.Put(c.allocator.Give(c.cfg.Name, now), now)
	}
	c.setWriteShare()
	return notice
}

// noticeFor is what a peer is told of this node's notice: the arrivals of each account only
// the leader has a use for, and with hundreds of teams they are most of what idle controllers
// say to each other.
func (c *Core) noticeFor(name string, n *admit.Notice) *admit.Notice {
	if leader := c.lead.Leader(); n == nil || leader == "" || leader == name {
		return n
	}
	return &admit.Notice{Digest: n.Digest, Refusals: n.Refusals}
}

// hearNotice takes a peer's notice in and gives it its table, if this node leads.
func (c *Core) hearNotice(m *peer.Msg) *admit.Table {
	now := c.env.Now()
	if p := c.peers[m.Node]; p != nil {
		p.admits = fixed
		if m.Notice != nil {
			p.admits = admitting
		}
	}
	if m.Notice == nil || !c.pol.Admission.On {
		return nil
	}
	c.allowance.HearRefusals(m.Notice, now)
	if !c.Serving() || c.allocator == nil {
		return nil
	}
	c.allocator.Hear(m.Node, m.Notice, now)
	t := c.allocator.Give(m.Node, now)
	c.setWriteShare()
	return t
}

// putTable takes a table over that came with the answer to a greeting.
func (c *Core) putTable(t *admit.Table, asked Micros) {
	if c.pol.Admission.On && !c.Serving() && c.allowance.Put(t, asked) {
		c.setWriteShare()
	}
}

// rank is a submission's place among those of its account.
func (c *Core) rank(job *wire.Job) admit.Rank {
	switch {
	case c.allowance.Returns(job.ID, c.env.Now()):
		return admit.Returning
	case len(job.Awaits) > 0:
		return admit.Chained
	}
	return admit.Newcomer
}

// turn is in how many seconds the table has a submission come again, alike on all nodes;
// 0 if now. A later stage of a pipeline that was accepted is not made to wait by it.
func (c *Core) turn(job *wire.Job, account int, now Micros) int {
	if t := c.allowance.Table(now); c.pol.Admission.On && t != nil && len(job.Awaits) == 0 {
		return t.Turn(account, job.ID)
	}
	return 0
}

// mustWait says in how many seconds a submission should come again for the sake of this
// node's own queue, where it would wait so long: what would not be answered soon is
// refused now; 0 if it is taken.
func (c *Core) mustWait(job *wire.Job, account int, wait Micros) int {
	q := c.intake.queue
	if q.Len() > 0 && wait > c.pol.Admission.Answer {
		return admit.Spread(wait, job.ID)
	}
	if !q.Fits(account, wire.MaxBody/8) {
		return admit.Spread(clock.FromSeconds(float64(q.Cost())/max(c.submitRate(), 0.1)), job.ID)
	}
	return 0
}

// submitRate is the changes a second that submissions surely get.
func (c *Core) submitRate() float64 {
	if c.Serving() {
		return c.writes.Floor(admit.Submits)
	}
	return c.writes.Rate()
}

// noteRefused remembers a job that was told to come back.
func (c *Core) noteRefused(account int, job *wire.Job) {
	j := &sched.Job{Spec: job}
	j.Measure(c.catalog)
	c.allowance.Refused(account, 1, job.ID, j.Whole(), c.env.Now())
}

// expected is what refused jobs will ask for when they come back, each account's like the
// job of its class that came last.
func (c *Core) expected(now Micros) []sched.Unplaced {
	var out []sched.Unplaced
	for a, cpus := range c.allowance.Expected(now) {
		if arr := c.arrivals[c.accountIndex.Accounts[a].Class]; cpus > 0 && arr != nil && arr.last != nil {
			out = append(out, sched.Unplaced{Job: arr.last, Count: int(math.Ceil(cpus / arr.last.Size()))})
		}
	}
	return out
}

// turnAway refuses a submission, unless the job is known: what was accepted is never
// refused. Only memory is asked, here or at the leader: under overload the state
// service's requests are needed for what it can do about it.
func (c *Core) turnAway(job *wire.Job, account, wait int, reply func(Answer)) {
	refuse := func() {
		c.noteRefused(account, job)
		reply(Answer{Code: 429, RetryAfter: wait})
	}
	if a, ok := c.remembered(job.ID); ok {
		c.allowance.Took(account, true)
		reply(a)
		return
	}
	leader := c.lead.Leader()
	if p := c.peers[leader]; p == nil || !p.heard(c.env.Now()) {
		refuse()
		return
	}
	m := c.self(fb.KindStatus)
	m.Job, m.InMemory = job.ID, true
	c.env.Ask(leader, m, 150*clock.Millisecond, func(r *peer.Msg) {
		if r == nil || r.Code != 200 {
			refuse()
			return
		}
		c.allowance.Took(account, true)
		reply(answerOf(r))
	})
}

// remembered answers for a job from the leader's memory alone. It is the one place where
// memory is told to users, and tells what is committed and known to be: nothing of a job
// whose end is in doubt, since another node may have read and told it (users' trials and
// scenario meet_answer_lost_at_end: done, then running).
func (c *Core) remembered(id string) (Answer, bool) {
	if c.Serving() {
		if j := c.jobs[id]; j != nil && (j.InDoubt() || c.old(j.Submitted) && c.uncertain(j)) {
			return unavailable, true
		} else if j != nil {
			return Answer{Code: 200, Status: statusOf(j)}, true
		}
		if f, ok := c.finals[id]; ok {
			return Answer{Code: 200, Status: f.JobStatus}, true
		}
	}
	return Answer{Code: 404}, false
}

// took notes a submission that was answered.
func (c *Core) took(s *submission, known bool) {
	c.allowance.Took(s.account, known)
	c.waits.note(&c.waits.accept, s.account, c.accountIndex.Len(), c.env.Now()-s.since)
}

// waits are what users and jobs waited, by account.
type waits struct {
	accept []*hdrhistogram.Histogram // from a submission to its answer, at this node
	start  []*hdrhistogram.Histogram // of the leader: until a job's first task ran
	served []served                  // of the leader, in its term
}

// served counts jobs that are over, services aside.
type served struct{ jobs, inTime uint64 }

// note enters a wait, in milliseconds.
func (w *waits) note(list *[]*hdrhistogram.Histogram, account, accounts int, wait Micros) {
	if account < 0 {
		return
	}
	if *list == nil {
		*list = make([]*hdrhistogram.Histogram, accounts)
	}
	h := (*list)[account]
	if h == nil {
		h = hdrhistogram.New(1, 3_600_000, 2)
		(*list)[account] = h
	}
	h.RecordValue(min(max(int64(wait/clock.Millisecond), 1), 3_600_000)) // within the bounds: no error
}

// noteOver counts a job that is over: in time means within the widest aim of its class.
func (c *Core) noteOver(j *sched.Job) {
	a := c.account(j.Spec)
	if a < 0 || j.Service() || j.Cancelled || c.waits.served == nil {
		return
	}
	s := &c.waits.served[a]
	s.jobs++
	widest := c.accountIndex.Widest[a]
	good := widest == 0 || j.Over-j.Ready <= widest
	if good {
		s.inTime++
	}
	c.served.Over(a, good && (j.StartBy == 0 || j.Began <= j.StartBy), c.env.Now())
	if j.Began > 0 {
		c.waits.note(&c.waits.start, a, c.accountIndex.Len(), j.Began-j.Ready)
	}
}

// Admission tells how submissions and machines are shared, as this node sees it.
func (c *Core) Admission() *wire.Admission {
	now := c.env.Now()
	out := &wire.Admission{Node: c.cfg.Name, On: c.pol.Admission.On, Leads: c.Serving(), Rate: c.writes.Rate(),
		Waiting: c.intake.queue.Len(), Oldest: (now - c.intake.queue.Oldest(now)).Seconds()}
	t := c.allowance.Table(now)
	if t != nil {
		out.Term, out.Number, out.Over = t.Term, t.Number, t.Over
	}
	for i, account := range c.accountIndex.Accounts {
		n := c.allowance.Counts(i)
		a := wire.AdmissionAccount{Team: account.Team, Class: account.Class, Queued: c.intake.queue.Queued(i),
			Taken: n.Taken, Refused: n.Refused, Known: n.Known}
		if t != nil {
			e := t.Accounts[i]
			a.Held, a.Waiting, a.Floor, a.Share = e.Held, e.Waiting, e.Floor, e.Share
			a.Rate, a.Part, a.Slots = float64(e.Rate)/1000, float64(e.Part)/1000, e.Slots
		}
		if w := c.waits.accept; w != nil && w[i] != nil {
			a.Accept50, a.Accept99 = w[i].ValueAtQuantile(50), w[i].ValueAtQuantile(99)
		}
		if w := c.waits.start; w != nil && w[i] != nil {
			a.Start50, a.Start99 = w[i].ValueAtQuantile(50), w[i].ValueAtQuantile(99)
		}
		if s := c.waits.served; out.Leads && s != nil {
			a.Over, a.InTime = s[i].jobs, s[i].inTime
		}
		out.Accounts = append(out.Accounts, a)
	}
	return out
}

// account numbers the account of a job.
func (c *Core) account(spec *wire.Job) int { return c.accountIndex.Of(spec.Team, spec.Class) }

// judgeShares works out what each account is due in the pass that begins, from all
// that is unfinished; nil unless there is more to do than the machines can take.
func (c *Core) judgeShares(now Micros) func(*sched.Job) *sched.Due {
	if !c.pol.Admission.On {
		return nil
	}
	clear(c.demands)
	var jobs []*sched.Job
	for _, j := range c.jobs {
		a := c.account(j.Spec)
		if a < 0 || j.Service() || j.Priority >= wire.PriorityProduction || j.Placed+len(j.Queue) == 0 {
			continue
		}
		d := &c.demands[a]
		d.Held += float64(j.Placed) * j.Size()
		if j.Active() {
			d.Waiting += float64(len(j.Queue)) * j.Size()
			d.Work += j.Work()
			jobs = append(jobs, j)
		}
	}
	was := c.shares.Over
	shares := c.shares.Judge(now, c.batchRoom(), c.cloudHas(now), c.demands)
	if was != c.shares.Over {
		slog.Info("admission mode", "overload", c.shares.Over, "term", c.term)
	}
	if shares == nil {
		c.dues = nil
		return nil
	}
	// Between teams the shares hold. Within a team, what its accounts lack for their floors
	// goes first, and then its jobs in the users' order.
	teams := map[string]*sched.Due{}
	for i, t := range c.cfg.Params.Teams {
		teams[t.Name] = &sched.Due{Share: shares[i]}
	}
	for i, d := range c.demands {
		teams[c.accountIndex.Accounts[i].Team].Held += d.Held
	}
	cases := make([]admit.Case, len(jobs))
	for i, j := range jobs {
		cases[i] = admit.Case{Account: c.account(j.Spec), Prospect: j.Prospect(now), Rest: j.Work(), Since: j.Ready, ID: j.ID}
	}
	c.dues = make([]admit.Due, len(c.demands))
	for i := range c.dues {
		c.dues[i].Share = teams[c.accountIndex.Accounts[i].Team].Share
	}
	for i, turn := range c.served.Turns(now, cases) {
		j := jobs[i]
		j.Turn = turn
		if turn.Needed {
			c.dues[cases[i].Account].Floor += float64(j.Placed+len(j.Queue)) * j.Size()
		}
	}
	none := &sched.Due{} // for what has no account
	return func(j *sched.Job) *sched.Due {
		if d := teams[j.Spec.Team]; d != nil {
			return d
		}
		return none
	}
}

// batchRoom is the CPUs that are up or on their way for work that is not production.
func (c *Core) batchRoom() float64 {
	sum := 0.0
	for _, m := range c.order {
		if !m.Releasing && !m.Failed && !m.Draining && m.Notice == 0 && (m.Up || !m.Inherited()) {
			sum += m.Type.CPUs - m.Production()
		}
	}
	return sum
}

// cloudHas reports whether the cloud may have machines yet: it has refused less than
// half of the ordinary kinds that it lists of late. Spot machines don't count: they are
// cheap and few, so they are asked for first and refused first, also on a calm day while
// ordinary ones boot for work that was always to come.
func (c *Core) cloudHas(now Micros) bool {
	kinds, refused := 0, 0
	for _, t := range c.catalog {
		for _, zone := range t.Zones {
			kinds++
			if now < c.refused[fleet.Kind{Type: t.Name, Zone: zone}] {
				refused++
			}
		}
	}
	return 2*refused < kinds
}
