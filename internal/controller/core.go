// Package controller is the owner of all scheduling state: events in,
// decisions out. A Core runs on one goroutine and does no I/O of its own;
// everything outside reaches it through Env, so that the same code runs on
// real sockets and in the simulator's virtual time.
package controller

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lilacthread/internal/admit"
	"lilacthread/internal/carrier"
	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/fleet"
	"lilacthread/internal/lead"
	"lilacthread/internal/peer"
	"lilacthread/internal/policy"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// Cloud is the cloud's interface; done runs later on the owner goroutine.
type Cloud interface {
	Catalog(done func(store.Outcome, *wire.Catalog))
	// Rent answers Failed when the cloud has no capacity.
	Rent(r *wire.RentRequest, done func(store.Outcome, []string))
	Release(ids []string, done func(store.Outcome))
	List(after string, limit int, done func(store.Outcome, *wire.MachineList))
}

// Env is the world outside a Core.
type Env interface {
	Now() Micros  // steady clock
	Wall() Micros // time of day
	After(d Micros, f func())
	// Ask sends a message to another controller; done gets nil when no answer
	// came in time.
	Ask(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg))
	// Order sends commands to the worker at addr; done gets OK or, when nothing
	// was executed because token or session differ, Failed, both with the
	// worker's report.
	Order(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report))
	// Sockets is the share of this node's connections for users and workers in use.
	Sockets() float64
	State() store.Service
	Cloud() Cloud
}

// Answer is the reply to a user.
type Answer struct {
	Code       int
	Status     wire.JobStatus
	RetryAfter int // seconds; with 429 and 503
}

// ReportAnswer is the reply to a worker.
type ReportAnswer = carrier.Answer

// Core is one controller.
type Core struct {
	env    Env
	cfg    *config.Config
	pol    *policy.Policy
	lead   *lead.Elector
	writes *admit.Budget // puts and deletes
	calls  *rate.Limiter // requests to the cloud
	reads  *admit.Budget // of single jobs: for users, and of those that others await

	incarnation uint64

	up         upgrade
	levelsRead Micros          // when the leader last read the announcements
	accepted   map[string]bool // jobs that others may await, known to be accepted

	stateSeen    Micros // last answer of the state service
	peers        map[string]*peerInfo
	visitors     map[string]*visitor // workers that reported while not leading
	early        []func()            // reports that came before the records were read
	lateRenewals int                 // leases renewed past this leader's deadline
	longExpired  bool                // it was past its deadline for long, in this term
	catalog      []wire.MachineType
	intake       intake
	pass         passing
	born         Micros
	accountIndex *admit.AccountIndex
	allowance    *admit.Allowance
	waits        waits
	relay        *carrier.Relay

	// Of the leader.
	term        uint64
	electedAt   Micros
	loaded      bool
	jobs        map[string]*sched.Job
	finals      map[string]finalRecord
	finalsOrder []string
	machines    map[string]*sched.Machine
	order       []*sched.Machine  // machines by name
	groups      map[string]*group // of each machine
	formed      uint64            // groups, in this term
	released    map[string]bool
	teams       map[string]*sched.Team
	rates       map[string]float64
	commit      committer
	reading     map[string][]*sched.Job // who waits for a final state to be read
	attempts    uint64
	bids        uint64
	ordered     map[string]fleet.Rental
	refused     map[fleet.Kind]Micros
	cloudPause  Micros
	releasing   bool
	toRelease   []string
	returning   []returning // to be intended, and not yet known to be carried out
	intended    map[string]bool
	returns     uint64
	arrivals    map[string]*arrival
	planSet     bool
	planned     Micros
	unplaced    []sched.Unplaced
	lastReport  Micros
	ordering    int // orders under way
	toOrder     []*sched.Machine
	moved       Micros  // up to when moves of replicas are accounted for
	moves       float64 // replicas that may be moved now
	spot        spotLosses
	allocator   *admit.Allocator
	shares      *admit.Shares
	demands     []admit.Demand // of the latest pass, by account
	served      *admit.Served
	dues        []admit.Due // nil while not overloaded
	router      *carrier.Router
}

type peerInfo struct {
	at      Micros
	stateOK bool
	reports uint32
	term    uint64
	names   namesakes
	sockets float64   // share of its connections in use
	admits  shareKind // how much of the state service's changes it takes for submissions
}

// heard reports whether the peer spoke to this node of late.
func (p *peerInfo) heard(now Micros) bool { return now-p.at <= 5*clock.Second/2 }

// arrival smooths what a class of jobs asks for: see noteArrival.
type arrival struct {
	rate  float64
	at    Micros // of the rate
	since Micros // first arrival
	batch bool
	last  *sched.Job // the latest job
}

// New makes a controller that speaks all format levels. Start must be called on
// the owner goroutine.
func New(env Env, cfg *config.Config, pol *policy.Policy, incarnation uint64) *Core {
	return NewAt(env, cfg, pol, incarnation, Highest)
}

// NewAt makes a controller that speaks no higher format level than the given one,
// as one of version 0.1 does.
func NewAt(env Env, cfg *config.Config, pol *policy.Policy, incarnation uint64, speaks int) *Core {
	c := &Core{env: env, cfg: cfg, pol: pol, accepted: map[string]bool{}, levelsRead: -clock.Forever,
		up:    upgrade{speaks: speaks, level: LevelPlaces, peers: map[string]int{}},
		peers: map[string]*peerInfo{}, visitors: map[string]*visitor{}, accountIndex: newAccountIndex(cfg)}
	c.served = c.newServed()
	c.allowance = admit.NewAllowance(c.accountIndex, c.submitLimits())
	c.intake.queue = admit.NewQueue[*submission](c.accountIndex.Len(),
		admit.Bounds{Count: cfg.MaxWaiting(), Bytes: int(cfg.Params.Resources.MemoryMB * (1 << 20) / intakeMemory)})
	c.writes = admit.NewBudget(c.writeRate(0), admit.Changes)
	c.calls = rate.NewLimiter(rate.Limit(cfg.Params.Cloud.RPS*0.9), max(int(cfg.Params.Cloud.RPS), 1))
	c.reads = admit.NewBudget(cfg.Params.State.RPS*readShare, admit.Reads)
	for _, p := range cfg.Peers {
		c.peers[p.Name] = &peerInfo{at: -clock.Forever}
	}
	c.stateSeen, c.born = -clock.Forever, env.Now()
	c.relay = carrier.NewRelay(relayHost{c}, cfg.Name, cfg.WorkerLease(), cfg.Served(), cfg.OrderLimit())
	c.incarnation = incarnation
	c.lead = lead.New(env, env.State(), lead.Record{Node: cfg.Name, Incarnation: incarnation, Addr: cfg.OwnAddr()}, pol.LeaderTTL, lead.Hooks{
		Elected: c.elected,
		Lost:    c.lost,
		Contact: func() { c.stateSeen = env.Now() },
	})
	return c
}

// Shares of the state service's write budget without admission: one leader, the rest
// followers that only create jobs.
const (
	leaderShare   = 0.7
	followerShare = 0.12
	readShare     = 0.2 // of the request budget, two requests each
)

// Start begins the controller's work.
func (c *Core) Start() {
	c.lead.Start()
	c.every(clock.Second, c.hello)
	c.every(500*clock.Millisecond, c.tick)
	c.loadCatalog()
	c.readLevels(func(bool) { c.announce() })
}

// every runs f now and then again and again.
func (c *Core) every(d Micros, f func()) {
	f()
	c.env.After(d, func() { c.every(d, f) })
}

func stdTime(m Micros) time.Time { return time.UnixMicro(int64(m)) }

// Serving reports whether this node may answer users from memory and start
// tasks.
func (c *Core) Serving() bool { return c.loaded && c.lead.Authority() }

// margin covers drift of the clocks over a worker's lease, and processing.
func (c *Core) margin() Micros { return c.pol.Margin + c.cfg.WorkerLease()/500 }

// renewal is the bound on what this node may renew.
func (c *Core) renewal() lead.Renewal {
	return lead.Renewal{Lease: c.cfg.WorkerLease(), Cancel: clock.FromSeconds(c.cfg.Params.Workers.Cancel), Margin: c.margin()}
}

// keeping reports whether this node may renew worker leases.
func (c *Core) keeping() bool {
	return c.lead.Leading() && c.renewal().Allowed(c.env.Now(), c.lead.Deadline(), c.loaded)
}

// logLateRenewals logs, once it is over, how many leases this leader renewed past its deadline.
func (c *Core) logLateRenewals() {
	if c.lateRenewals > 0 {
		slog.Info("leases renewed past the leader's deadline", "renewals", c.lateRenewals, "term", c.term)
		c.lateRenewals = 0
	}
}

// Ready tells the load balancer whether this node can take requests. When all
// nodes have lost the state service, leaving the rotation helps nobody.
func (c *Core) Ready() bool {
	if c.catalog == nil {
		return false
	}
	if c.stateOK() {
		return true
	}
	heard := false
	for _, p := range c.peers {
		if c.env.Now()-p.at < 3*clock.Second {
			heard = true
			if p.stateOK {
				return false
			}
		}
	}
	// Who reaches neither the state service nor a peer is more likely cut off himself.
	return heard || len(c.peers) == 0
}

// cutOff reports whether this leader has lost the state service, so that its lead is over,
// and all its peers as well, so that none of them can say who succeeded it. An outage of
// the state service alone leaves the peers.
func (c *Core) cutOff(now Micros) bool {
	if len(c.peers) == 0 || now < c.lead.Deadline()+successorTime {
		return false
	}
	for _, p := range c.peers {
		if p.heard(now) {
			return false
		}
	}
	return true
}

// successorTime is about what an election takes once a lease has ended.
const successorTime = clock.Second

func (c *Core) stateOK() bool { return c.env.Now()-c.stateSeen < 2500*clock.Millisecond }

// hello tells the peers how this node fares, and probes the state service when
// nothing else did.
func (c *Core) hello() {
	now := c.env.Now()
	if now-c.stateSeen > 700*clock.Millisecond {
		c.env.State().Get(lead.TermKey, func(o store.Outcome, _ *wire.Item) {
			if o == store.OK || o == store.Failed {
				c.stateSeen = c.env.Now()
			}
		})
	}
	c.relay.Tidy()
	notice := c.tendAdmission(now)
	for _, p := range c.cfg.Peers { // in the same order each time
		name := p.Name
		greeting := c.self(fb.KindHello)
		greeting.Notice = c.noticeFor(name, notice)
		greeting.Sockets = int(c.env.Sockets() * 1000)
		c.env.Ask(name, greeting, clock.Second, func(m *peer.Msg) {
			if m != nil {
				c.learn(m)
				c.putTable(m.Table, now)
				c.putRelays(m.Relays)
			}
		})
	}
}

func (c *Core) self(kind fb.Kind) *peer.Msg {
	now := c.env.Now()
	reports := uint32(0)
	for id, s := range c.visitors {
		if now-s.at < 3*clock.Second && s.forwarded == 0 {
			reports++ // those that are handed on, the leader hears
		}
		if now-s.at > 2*c.cfg.WorkerLease() {
			delete(c.visitors, id)
		}
	}
	m := &peer.Msg{Kind: kind, Node: c.cfg.Name, StateOK: c.stateOK(), Reports: reports, Incarnation: c.incarnation}
	if c.lead.Leading() {
		m.Term = c.lead.Term()
	}
	if c.up.speaks >= LevelTasks { // version 0.1 does not have these fields
		m.Speaks, m.Level = c.up.speaks, c.up.level
	}
	return m
}

func (c *Core) learn(m *peer.Msg) {
	p := c.peers[m.Node]
	if p == nil {
		return
	}
	if p.names.hear(m.Incarnation, c.env.Now()) {
		slog.Error("two processes run under one name", "name", m.Node)
	}
	p.at, p.stateOK, p.reports, p.term = c.env.Now(), m.StateOK, m.Reports, m.Term
	if m.Kind == fb.KindHello {
		p.sockets = float64(m.Sockets) / 1000
	}
	c.hearLevel(m.Node, m.Speaks, m.Level)
	if c.lead.Leading() && m.Term > c.lead.Term() {
		c.lead.Yield()
	}
}

// OnPeer handles a message of another controller.
func (c *Core) OnPeer(m *peer.Msg, reply func(*peer.Msg)) {
	c.learn(m)
	answer := func(a Answer) {
		r := c.self(fb.KindAnswer)
		r.Code, r.Job, r.RetryAfter = a.Code, a.Status.ID, a.RetryAfter
		r.Phase, r.Done, r.Running = a.Status.Phase, a.Status.Done, a.Status.Running
		reply(r)
	}
	switch m.Kind {
	case fb.KindHello:
		r := c.self(fb.KindAnswer)
		r.Code, r.Table, r.Relays = 200, c.hearNotice(m), c.relaysNow()
		reply(r)
	case fb.KindStatus:
		if m.InMemory {
			a, _ := c.remembered(m.Job)
			answer(a)
			return
		}
		if !c.Serving() {
			answer(unavailable)
			return
		}
		c.statusHere(m.Job, answer)
	case fb.KindCancel:
		c.cancelHere(m.Job, answer)
	case fb.KindReport:
		c.onForwarded(m, reply)
	case fb.KindReports:
		c.onRelayed(m, reply)
	case fb.KindOrders:
		reply(c.self(fb.KindAnswer))
		c.relay.OnOrders(m.Node, m.Orders)
	case fb.KindResults:
		reply(c.self(fb.KindAnswer))
		c.onResults(m)
	case fb.KindSubmit:
		job, err := wire.DecodeJob(m.Body)
		if err != nil || !c.stateOK() {
			answer(unavailable)
			return
		}
		c.submitHere(job, false, answer)
	default:
		answer(Answer{Code: 400})
	}
}

// elected begins a term: all state is read again from the state service.
func (c *Core) elected(term uint64) {
	now := c.env.Now()
	c.term, c.electedAt, c.loaded, c.longExpired = term, now, false, false
	c.lastReport, c.moved, c.moves = now, now, 0
	c.jobs = map[string]*sched.Job{}
	c.finals = map[string]finalRecord{}
	c.reading = map[string][]*sched.Job{}
	c.finalsOrder = nil
	c.machines = map[string]*sched.Machine{}
	c.order, c.groups = nil, map[string]*group{}
	c.formed = 0
	c.released = map[string]bool{}
	c.teams = map[string]*sched.Team{}
	for _, t := range c.cfg.Params.Teams {
		c.teams[t.Name] = &sched.Team{Name: t.Name, UseAt: now,
			Guarantee: sched.Need{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: sched.Need{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}
	}
	c.rates, c.spot = map[string]float64{}, spotLosses{at: now}
	c.commit = committer{core: c, keys: map[string]*record{}}
	c.attempts, c.bids = 0, 0
	c.ordered = map[string]fleet.Rental{}
	c.refused = map[fleet.Kind]Micros{}
	c.toRelease, c.returning, c.returns, c.releasing = nil, nil, 0, false
	c.intended = map[string]bool{}
	c.arrivals = map[string]*arrival{}
	c.unplaced = nil
	c.ordering, c.toOrder = 0, nil
	c.up.raising = false
	c.router = carrier.NewRouter(relayHost{c}, term, c.cfg.OrderLimit())
	c.electAdmission(now)
	c.setWriteShare()
	c.load(term)
}

func (c *Core) lost() {
	c.loaded = false
	c.logLateRenewals()
	c.takeEarly()
	c.commit.abandon()
	c.jobs, c.machines, c.order, c.finals = nil, nil, nil, nil
	c.allocator, c.dues, c.router = nil, nil, nil
	c.setWriteShare()
}

// share is this node's part of the changes that the state service takes. Under
// the next limits, which are meant to be felt, the shares of all nodes together
// stay within them.
func (c *Core) share() float64 {
	if c.lead != nil && c.lead.Leading() {
		return leaderShare
	}
	if c.up.level >= LevelTasks && c.cfg.Params.State.Next != nil {
		return min(followerShare, (1-leaderShare)/float64(max(len(c.cfg.Peers), 1)))
	}
	return followerShare
}

func (c *Core) setWriteShare() {
	now := c.env.Now()
	c.writes.Set(stdTime(now), c.writeRate(now))
}

// during makes a callback that runs only while the same term is led.
func (c *Core) during(f func()) func() {
	term := c.term
	return func() {
		if c.lead.Leading() && c.term == term {
			f()
		}
	}
}

// attempt hands out attempt numbers that no leader uses twice.
func (c *Core) attempt() uint64 {
	c.attempts++
	return c.term<<32 | c.attempts
}

// tick looks after everything that time alone changes.
func (c *Core) tick() {
	if !c.lead.Leading() {
		return
	}
	now := c.env.Now()
	if !c.keeping() || c.lead.Authority() {
		c.logLateRenewals()
	}
	if !c.lead.Authority() {
		// Giving up a lead that is over helps nobody, and one cut off has sent its workers
		// away itself: they come back to be kept where they find no successor.
		c.lastReport = now
		c.longExpired = c.longExpired || c.loaded && now-c.lead.Deadline() > c.cfg.WorkerLease()/2
	} else if c.longExpired {
		// The key was never lost, but the workers look elsewhere, and all that was judged by
		// their silence is wrong: one that led on returned the whole fleet after an outage
		// longer than a lease (scenario meet_outage_keeps_fleet). All is read again.
		c.lead.Resign("the state service was out of reach for long", 0)
		return
	} else if c.isolated(now) {
		c.lead.Resign("no worker reaches this node", 15*clock.Second)
		return
	}
	if !c.loaded {
		return
	}
	for _, t := range c.teams {
		t.Decay(now, c.pol.UseWindow)
	}
	c.proveByLease(now)
	c.tendLevel(now)
	if c.Serving() {
		c.tendMachines(now)
		c.tendRelays()
		c.probePartitions(now)
		c.probeSilent(now)
		c.sendOrders()
		c.wake()
	}
	c.commit.pump()
}

// isolated reports whether workers that should report here do not, while this
// node has lost its peers too or a peer hears them: another node would serve
// better, although the state service is still reached.
func (c *Core) isolated(now Micros) bool {
	// A worker reports at least every 1.25 intervals, so by then all are missing.
	// Each second counts: redirected workers come back to a leader that does not
	// answer and wait there for 4 s, while their leases run out.
	quiet := max(7*c.cfg.ReportEvery()/4, 5*clock.Second/2)
	// Workers may need several tries to find a new leader, and if its peers are silent
	// too, they may be dead. Once some have come, they are missed as soon as at any other
	// time: found on a day of our own, where a leader was cut off nine seconds after its
	// election and held on for longer than a lease.
	since, came := c.lastReport, c.lastReport > c.electedAt
	if !came {
		since += 2 * responseLife
	}
	if now-since < quiet {
		return false
	}
	up := slices.ContainsFunc(c.order, func(m *sched.Machine) bool {
		return !m.Releasing && (m.Up || m.Inherited())
	})
	if !up {
		return false
	}
	alone := came && len(c.peers) > 0
	for _, p := range c.peers {
		if now-p.at < quiet {
			alone = false
			if p.reports > 0 {
				return true
			}
		}
	}
	return alone
}

// wake asks for a scheduling pass soon.
func (c *Core) wake() {
	if c.planSet {
		return
	}
	c.planSet = true
	wait := max(c.planned+c.pol.Cycle-c.env.Now(), 0)
	c.env.After(wait, func() {
		c.planSet = false
		if c.Serving() {
			c.planned = c.env.Now()
			c.plan()
		}
	})
}

// plan runs a scheduling pass and hands its decisions on.
func (c *Core) plan() {
	now := c.env.Now()
	var pending []*sched.Job
	for _, j := range c.jobs {
		if j.Active() && len(j.Queue) > 0 {
			pending = append(pending, j)
		}
	}
	for i := range c.catalog {
		if t := &c.catalog[i]; c.rates[t.Name] == 0 {
			c.rates[t.Name] = max(t.FetchRate, c.pol.FetchRate)
		}
	}
	out := sched.Plan(&sched.Input{
		Now: now, Fresh: c.fresh(), Jobs: pending, Machines: c.order, Teams: c.teams,
		Rates: c.rates, Attempt: c.attempt, Patience: c.pol.Patience,
		MaxTasks: c.maxTasks(), SpotLoss: c.spot.rate(), Due: c.judgeShares(now),
	})
	for _, pl := range out.Launch {
		slog.Debug("placed", "task", pl.Task, "class", pl.Job.Spec.Class, "machine", pl.Machine.ID, "spot", pl.Machine.Spot, "delay", pl.Delay)
		if c.up.level >= LevelTasks {
			c.savePlace(pl)
			continue
		}
		c.saveMachine(pl.Machine, c.during(func() {
			pl.Committed = true
			c.orderSoon(pl.Machine)
		}))
	}
	for _, v := range out.Stop {
		if v.Grace > 0 { // the others go with the launch that they make room for
			c.orderSoon(v.Machine)
		}
	}
	c.sendOrders()
	c.unplaced = out.Unplaced
	c.buy(now)
	c.commit.pump()
	if len(out.Launch)+len(out.Stop) > 0 {
		slog.Debug("plan", "launch", len(out.Launch), "stop", len(out.Stop), "unplaced", len(out.Unplaced))
	}
}

// maxTasks is how many tasks a machine may hold: while its record must hold them,
// as many as surely fit in there.
func (c *Core) maxTasks() int {
	if c.up.level < LevelTasks {
		return c.limits().ValueBytes() / placeSize
	}
	return math.MaxInt
}

// placeSize is more than a placement takes in its machine's record.
const placeSize = 250

// fresh is how old a machine's last report may be for new tasks.
func (c *Core) fresh() Micros { return 5 * c.cfg.ReportEvery() / 2 }
