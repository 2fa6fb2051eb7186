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
	Call(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg))
	// Order sends commands to the worker at addr; done gets OK or, when nothing
	// was executed because token or session differ, Failed, both with the
	// worker's report.
	SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report))
	// Sockets is the share of this node's connections for users and workers in use.
	ConnectionUsage() float64
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
type ReportAnswer = carrier.ReportAnswer

// Core is one controller.
type Core struct {
	env          Env
	cfg          *config.Config
	policy       *policy.Policy
	elector      *lead.Elector
	writeBudget  *admit.Budget // puts and deletes
	cloudLimiter *rate.Limiter // requests to the cloud
	readBudget   *admit.Budget // of single jobs: for users, and of those that others await

	incarnation uint64

	format       formatState
	levelsReadAt Micros          // when the leader last read the announcements
	acceptedJobs map[string]bool // jobs that others may await, known to be accepted

	lastStateContact Micros // last answer of the state service
	peers            map[string]*peerInfo
	reportingWorkers map[string]*reportingWorker // workers that reported while not leading
	deferredReports  []func()                    // reports that came before the records were read
	lateRenewals     int                         // leases renewed past this leader's deadline
	leaseLongExpired bool                        // it was past its deadline for long, in this term
	catalog          []wire.MachineType
	submissions      submissionBatcher
	forwarding       submissionForwarding
	startedAt        Micros
	accountIndex     *admit.AccountIndex
	allowance        *admit.Allowance
	waitStats        waitStats
	relay            *carrier.Relay

	// Of the leader.
	term                uint64
	electedAt           Micros
	loaded              bool
	jobs                map[string]*sched.Job
	finalRecords        map[string]finalRecord
	finalRecordOrder    []string
	machines            map[string]*sched.Machine
	sortedMachines      []*sched.Machine         // machines by name
	machineGroups       map[string]*machineGroup // of each machine
	groupCount          uint64                   // groups, in this term
	releasedMachines    map[string]bool
	teams               map[string]*sched.Team
	fetchRates          map[string]float64
	committer           committer
	finalReadWaiters    map[string][]*sched.Job // who waits for a final state to be read
	attemptCount        uint64
	rentalCount         uint64
	pendingRentals      map[string]fleet.Rental
	refusedUntil        map[fleet.MachineKind]Micros
	cloudPausedUntil    Micros
	releaseInFlight     bool
	releaseQueue        []string
	pendingReleases     []releaseBatch // to be intended, and not yet known to be carried out
	openIntents         map[string]bool
	releaseCount        uint64
	arrivals            map[string]*arrivalStats
	passScheduled       bool
	lastPassAt          Micros
	unplacedTasks       []sched.Unplaced
	lastReportAt        Micros
	ordersInFlight      int // orders under way
	orderQueue          []*sched.Machine
	moveBudgetUpdatedAt Micros  // up to when moves of replicas are accounted for
	moveBudget          float64 // replicas that may be moved now
	spotLosses          spotLosses
	allocator           *admit.Allocator
	shares              *admit.TeamShares
	accountDemands      []admit.Demand // of the latest pass, by account
	objectiveTracker    *admit.ObjectiveTracker
	fairShares          []admit.Entitlement // nil while not overloaded
	router              *carrier.Router
}

type peerInfo struct {
	lastMessageAt    Micros
	stateOK          bool
	reportingWorkers uint32
	term             uint64
	duplicateNames   duplicateNameDetector
	connectionUsage  float64        // share of its connections in use
	writeShareKind   writeShareKind // how much of the state service's changes it takes for submissions
}

// heard reports whether the peer spoke to this node of late.
func (p *peerInfo) seenRecently(now Micros) bool { return now-p.lastMessageAt <= 5*clock.Second/2 }

// arrival smooths what a class of jobs asks for: see noteArrival.
type arrivalStats struct {
	rate         float64
	updatedAt    Micros // of the rate
	firstArrival Micros // first arrival
	batch        bool
	lastJob      *sched.Job // the latest job
}

// New makes a controller that speaks all format levels. Start must be called on
// the owner goroutine.
func New(env Env, cfg *config.Config, controllerPolicy *policy.Policy, incarnation uint64) *Core {
	return NewAtLevel(env, cfg, controllerPolicy, incarnation, HighestLevel)
}

// NewAt makes a controller that speaks no higher format level than the given one,
// as one of version 0.1 does.
func NewAtLevel(env Env, cfg *config.Config, controllerPolicy *policy.Policy, incarnation uint64, maxLevel int) *Core {
	c := &Core{env: env, cfg: cfg, policy: controllerPolicy, acceptedJobs: map[string]bool{}, levelsReadAt: -clock.Forever,
		format: formatState{maxLevel: maxLevel, level: LevelPlacements, peerMaxLevels: map[string]int{}},
		peers:  map[string]*peerInfo{}, reportingWorkers: map[string]*reportingWorker{}, accountIndex: newAccountIndex(cfg)}
	c.objectiveTracker = c.newObjectiveTracker()
	c.allowance = admit.NewAllowance(c.accountIndex, c.submitLimits())
	c.submissions.queue = admit.NewQueue[*submission](c.accountIndex.Len(),
		admit.Bounds{Count: cfg.MaxQueuedSubmissions(), Bytes: int(cfg.Params.Resources.MemoryMB * (1 << 20) / submissionMemoryDivisor)})
	c.writeBudget = admit.NewBudget(c.writeRate(0), admit.WriteMinShares)
	c.cloudLimiter = rate.NewLimiter(rate.Limit(cfg.Params.Cloud.RPS*0.9), max(int(cfg.Params.Cloud.RPS), 1))
	c.readBudget = admit.NewBudget(cfg.Params.State.RPS*readShare, admit.ReadMinShares)
	for _, p := range cfg.Peers {
		c.peers[p.Name] = &peerInfo{lastMessageAt: -clock.Forever}
	}
	c.lastStateContact, c.startedAt = -clock.Forever, env.Now()
	c.relay = carrier.NewRelay(relayHost{c}, cfg.Name, cfg.WorkerLease(), cfg.MaxClientConns(), cfg.MaxCommandBatches())
	c.incarnation = incarnation
	c.elector = lead.New(env, env.State(), lead.Record{Node: cfg.Name, Incarnation: incarnation, Addr: cfg.HostAddr()}, controllerPolicy.LeaderTTL, lead.Callbacks{
		OnElected:        c.onElected,
		OnLeadershipLost: c.onLeadershipLost,
		OnStoreResponse:  func() { c.lastStateContact = env.Now() },
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
	c.elector.Start()
	c.runEvery(clock.Second, c.sendHellos)
	c.runEvery(500*clock.Millisecond, c.tick)
	c.loadCatalog()
	c.readLevels(func(bool) { c.announceLevel() })
}

// every runs f now and then again and again.
func (c *Core) runEvery(interval Micros, f func()) {
	f()
	c.env.After(interval, func() { c.runEvery(interval, f) })
}

func stdTime(m Micros) time.Time { return time.UnixMicro(int64(m)) }

// Serving reports whether this node may answer users from memory and start
// tasks.
func (c *Core) Serving() bool { return c.loaded && c.elector.HoldsValidLease() }

// margin covers drift of the clocks over a worker's lease, and processing.
func (c *Core) leaseMargin() Micros { return c.policy.LeaseMargin + c.cfg.WorkerLease()/500 }

// renewal is the bound on what this node may renew.
func (c *Core) renewalBound() lead.RenewalLimits {
	return lead.RenewalLimits{LeaseDuration: c.cfg.WorkerLease(), CancelTimeout: clock.FromSeconds(c.cfg.Params.Workers.Cancel), Margin: c.leaseMargin()}
}

// keeping reports whether this node may renew worker leases.
func (c *Core) mayRenewLeases() bool {
	return c.elector.Leading() && c.renewalBound().Allowed(c.env.Now(), c.elector.LeaseDeadline(), c.loaded)
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
	peerReached := false
	for _, p := range c.peers {
		if c.env.Now()-p.lastMessageAt < 3*clock.Second {
			peerReached = true
			if p.stateOK {
				return false
			}
		}
	}
	// Who reaches neither the state service nor a peer is more likely cut off himself.
	return peerReached || len(c.peers) == 0
}

// cutOff reports whether this leader has lost the state service, so that its lead is over,
// and all its peers as well, so that none of them can say who succeeded it. An outage of
// the state service alone leaves the peers.
func (c *Core) lostStateAndPeers(now Micros) bool {
	if len(c.peers) == 0 || now < c.elector.LeaseDeadline()+electionDuration {
		return false
	}
	for _, p := range c.peers {
		if p.seenRecently(now) {
			return false
		}
	}
	return true
}

// successorTime is about what an election takes once a lease has ended.
const electionDuration = clock.Second

func (c *Core) stateOK() bool { return c.env.Now()-c.lastStateContact < 2500*clock.Millisecond }

// hello tells the peers how this node fares, and probes the state service when
// nothing else did.
func (c *Core) sendHellos() {
	now := c.env.Now()
	if now-c.lastStateContact > 700*clock.Millisecond {
		c.env.State().Get(lead.TermKey, func(o store.Outcome, _ *wire.Item) {
			if o == store.OK || o == store.Failed {
				c.lastStateContact = c.env.Now()
			}
		})
	}
	c.relay.PruneWorkers()
	notice := c.maintainAdmission(now)
	for _, p := range c.cfg.Peers { // in the same order each time
		name := p.Name
		hello := c.newMessage(fb.KindHello)
		hello.AdmissionNotice = c.noticeFor(name, notice)
		hello.ConnectionUsagePermille = int(c.env.ConnectionUsage() * 1000)
		c.env.Call(name, hello, clock.Second, func(m *peer.Msg) {
			if m != nil {
				c.updatePeerInfo(m)
				c.applyAdmissionTable(m.AdmissionTable, now)
				c.applyRelays(m.RelayTable)
			}
		})
	}
}

func (c *Core) newMessage(kind fb.Kind) *peer.Msg {
	now := c.env.Now()
	reports := uint32(0)
	for id, s := range c.reportingWorkers {
		if now-s.lastReportAt < 3*clock.Second && s.forwardingSince == 0 {
			reports++ // those that are handed on, the leader hears
		}
		if now-s.lastReportAt > 2*c.cfg.WorkerLease() {
			delete(c.reportingWorkers, id)
		}
	}
	m := &peer.Msg{Kind: kind, Node: c.cfg.Name, StateOK: c.stateOK(), ReportingWorkers: reports, Incarnation: c.incarnation}
	if c.elector.Leading() {
		m.Term = c.elector.Term()
	}
	if c.format.maxLevel >= LevelTasks { // version 0.1 does not have these fields
		m.MaxFormatLevel, m.FormatLevel = c.format.maxLevel, c.format.level
	}
	return m
}

func (c *Core) updatePeerInfo(m *peer.Msg) {
	p := c.peers[m.Node]
	if p == nil {
		return
	}
	if p.duplicateNames.observe(m.Incarnation, c.env.Now()) {
		slog.Error("two processes run under one name", "name", m.Node)
	}
	p.lastMessageAt, p.stateOK, p.reportingWorkers, p.term = c.env.Now(), m.StateOK, m.ReportingWorkers, m.Term
	if m.Kind == fb.KindHello {
		p.connectionUsage = float64(m.ConnectionUsagePermille) / 1000
	}
	c.recordNodeLevel(m.Node, m.MaxFormatLevel, m.FormatLevel)
	if c.elector.Leading() && m.Term > c.elector.Term() {
		c.elector.StepDown()
	}
}

// OnPeer handles a message of another controller.
func (c *Core) HandlePeerMessage(m *peer.Msg, reply func(*peer.Msg)) {
	c.updatePeerInfo(m)
	answer := func(a Answer) {
		r := c.newMessage(fb.KindAnswer)
		r.Code, r.Job, r.RetryAfter = a.Code, a.Status.ID, a.RetryAfter
		r.Phase, r.Done, r.Running = a.Status.Phase, a.Status.Done, a.Status.Running
		reply(r)
	}
	switch m.Kind {
	case fb.KindHello:
		r := c.newMessage(fb.KindAnswer)
		r.Code, r.AdmissionTable, r.RelayTable = 200, c.handleNotice(m), c.currentRelays()
		reply(r)
	case fb.KindStatus:
		if m.InMemoryOnly {
			a, _ := c.answerFromMemory(m.Job)
			answer(a)
			return
		}
		if !c.Serving() {
			answer(unavailable)
			return
		}
		c.statusOnLeader(m.Job, answer)
	case fb.KindCancel:
		c.cancelOnLeader(m.Job, answer)
	case fb.KindReport:
		c.handleForwardedReport(m, reply)
	case fb.KindReports:
		c.handleRelayedReports(m, reply)
	case fb.KindOrders:
		reply(c.newMessage(fb.KindAnswer))
		c.relay.HandleOrders(m.Node, m.Orders)
	case fb.KindResults:
		reply(c.newMessage(fb.KindAnswer))
		c.handleOrderResults(m)
	case fb.KindSubmit:
		job, err := wire.DecodeJob(m.Body)
		if err != nil || !c.stateOK() {
			answer(unavailable)
			return
		}
		c.submitLocally(job, false, answer)
	default:
		answer(Answer{Code: 400})
	}
}

// elected begins a term: all state is read again from the state service.
func (c *Core) onElected(term uint64) {
	now := c.env.Now()
	c.term, c.electedAt, c.loaded, c.leaseLongExpired = term, now, false, false
	c.lastReportAt, c.moveBudgetUpdatedAt, c.moveBudget = now, now, 0
	c.jobs = map[string]*sched.Job{}
	c.finalRecords = map[string]finalRecord{}
	c.finalReadWaiters = map[string][]*sched.Job{}
	c.finalRecordOrder = nil
	c.machines = map[string]*sched.Machine{}
	c.sortedMachines, c.machineGroups = nil, map[string]*machineGroup{}
	c.groupCount = 0
	c.releasedMachines = map[string]bool{}
	c.teams = map[string]*sched.Team{}
	for _, t := range c.cfg.Params.Teams {
		c.teams[t.Name] = &sched.Team{Name: t.Name, UsageUpdatedAt: now,
			Guarantee: sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}
	}
	c.fetchRates, c.spotLosses = map[string]float64{}, spotLosses{updatedAt: now}
	c.committer = committer{core: c, pending: map[string]*pendingWrite{}}
	c.attemptCount, c.rentalCount = 0, 0
	c.pendingRentals = map[string]fleet.Rental{}
	c.refusedUntil = map[fleet.MachineKind]Micros{}
	c.releaseQueue, c.pendingReleases, c.releaseCount, c.releaseInFlight = nil, nil, 0, false
	c.openIntents = map[string]bool{}
	c.arrivals = map[string]*arrivalStats{}
	c.unplacedTasks = nil
	c.ordersInFlight, c.orderQueue = 0, nil
	c.format.raising = false
	c.router = carrier.NewRouter(relayHost{c}, term, c.cfg.MaxCommandBatches())
	c.initAdmission(now)
	c.updateWriteRate()
	c.load(term)
}

func (c *Core) onLeadershipLost() {
	c.loaded = false
	c.logLateRenewals()
	c.handleDeferredReports()
	c.committer.reset()
	c.jobs, c.machines, c.sortedMachines, c.finalRecords = nil, nil, nil, nil
	c.allocator, c.fairShares, c.router = nil, nil, nil
	c.updateWriteRate()
}

// share is this node's part of the changes that the state service takes. Under
// the next limits, which are meant to be felt, the shares of all nodes together
// stay within them.
func (c *Core) writeShare() float64 {
	if c.elector != nil && c.elector.Leading() {
		return leaderShare
	}
	if c.format.level >= LevelTasks && c.cfg.Params.State.Next != nil {
		return min(followerShare, (1-leaderShare)/float64(max(len(c.cfg.Peers), 1)))
	}
	return followerShare
}

func (c *Core) updateWriteRate() {
	now := c.env.Now()
	c.writeBudget.SetRate(stdTime(now), c.writeRate(now))
}

// during makes a callback that runs only while the same term is led.
func (c *Core) whileInTerm(f func()) func() {
	term := c.term
	return func() {
		if c.elector.Leading() && c.term == term {
			f()
		}
	}
}

// attempt hands out attempt numbers that no leader uses twice.
func (c *Core) nextAttempt() uint64 {
	c.attemptCount++
	return c.term<<32 | c.attemptCount
}

// tick looks after everything that time alone changes.
func (c *Core) tick() {
	if !c.elector.Leading() {
		return
	}
	now := c.env.Now()
	if !c.mayRenewLeases() || c.elector.HoldsValidLease() {
		c.logLateRenewals()
	}
	if !c.elector.HoldsValidLease() {
		// Giving up a lead that is over helps nobody, and one cut off has sent its workers
		// away itself: they come back to be kept where they find no successor.
		c.lastReportAt = now
		c.leaseLongExpired = c.leaseLongExpired || c.loaded && now-c.elector.LeaseDeadline() > c.cfg.WorkerLease()/2
	} else if c.leaseLongExpired {
		// The key was never lost, but the workers look elsewhere, and all that was judged by
		// their silence is wrong: one that led on returned the whole fleet after an outage
		// longer than a lease (scenario state_outage_keeps_fleet). All is read again.
		c.elector.Resign("the state service was out of reach for long", 0)
		return
	} else if c.isolated(now) {
		c.elector.Resign("no worker reaches this node", 15*clock.Second)
		return
	}
	if !c.loaded {
		return
	}
	for _, t := range c.teams {
		t.DecayUsage(now, c.policy.UsageWindow)
	}
	c.expireLeases(now)
	c.maintainFormatLevel(now)
	if c.Serving() {
		c.maintainMachines(now)
		c.maintainRelays()
		c.probePartitions(now)
		c.probeOverdueMachines(now)
		c.sendOrders()
		c.requestSchedulingPass()
	}
	c.committer.startTransaction()
}

// isolated reports whether workers that should report here do not, while this
// node has lost its peers too or a peer hears them: another node would serve
// better, although the state service is still reached.
func (c *Core) isolated(now Micros) bool {
	// A worker reports at least every 1.25 intervals, so by then all are missing.
	// Each second counts: redirected workers come back to a leader that does not
	// answer and wait there for 4 s, while their leases run out.
	maxSilence := max(7*c.cfg.ReportInterval()/4, 5*clock.Second/2)
	// Workers may need several tries to find a new leader, and if its peers are silent
	// too, they may be dead. Once some have come, they are missed as soon as at any other
	// time: found on a day of our own, where a leader was cut off nine seconds after its
	// election and held on for longer than a lease.
	silentSince, reportReceived := c.lastReportAt, c.lastReportAt > c.electedAt
	if !reportReceived {
		silentSince += 2 * responseTimeout
	}
	if now-silentSince < maxSilence {
		return false
	}
	reportsExpected := slices.ContainsFunc(c.sortedMachines, func(m *sched.Machine) bool {
		return !m.Releasing && (m.Up || m.Inherited())
	})
	if !reportsExpected {
		return false
	}
	peersSilent := reportReceived && len(c.peers) > 0
	for _, p := range c.peers {
		if now-p.lastMessageAt < maxSilence {
			peersSilent = false
			if p.reportingWorkers > 0 {
				return true
			}
		}
	}
	return peersSilent
}

// wake asks for a scheduling pass soon.
func (c *Core) requestSchedulingPass() {
	if c.passScheduled {
		return
	}
	c.passScheduled = true
	delay := max(c.lastPassAt+c.policy.MaxPassDelay-c.env.Now(), 0)
	c.env.After(delay, func() {
		c.passScheduled = false
		if c.Serving() {
			c.lastPassAt = c.env.Now()
			c.runSchedulingPass()
		}
	})
}

// plan runs a scheduling pass and hands its decisions on.
func (c *Core) runSchedulingPass() {
	now := c.env.Now()
	var pending []*sched.Job
	for _, j := range c.jobs {
		if j.Active() && len(j.Queue) > 0 {
			pending = append(pending, j)
		}
	}
	for i := range c.catalog {
		if t := &c.catalog[i]; c.fetchRates[t.Name] == 0 {
			c.fetchRates[t.Name] = max(t.FetchRate, c.policy.DefaultFetchRate)
		}
	}
	result := sched.Plan(&sched.Input{
		Now: now, MaxReportAge: c.maxReportAge(), Jobs: pending, Machines: c.sortedMachines, Teams: c.teams,
		FetchRates: c.fetchRates, NextAttempt: c.nextAttempt, ImageLocalityWindow: c.policy.ImageLocalityWindow,
		MaxTasksPerMachine: c.maxTasksPerMachine(), SpotLossRate: c.spotLosses.rate(), FairShare: c.computeShares(now),
	})
	for _, placement := range result.Launch {
		slog.Debug("placed", "task", placement.Task, "class", placement.Job.Spec.Class, "machine", placement.Machine.ID, "spot", placement.Machine.Spot, "delay", placement.FetchDelay)
		if c.format.level >= LevelTasks {
			c.savePlacement(placement)
			continue
		}
		c.saveMachine(placement.Machine, c.whileInTerm(func() {
			placement.Committed = true
			c.queueOrder(placement.Machine)
		}))
	}
	for _, victim := range result.Stop {
		if victim.Grace > 0 { // the others go with the launch that they make room for
			c.queueOrder(victim.Machine)
		}
	}
	c.sendOrders()
	c.unplacedTasks = result.Unplaced
	c.rentMachines(now)
	c.committer.startTransaction()
	if len(result.Launch)+len(result.Stop) > 0 {
		slog.Debug("plan", "launch", len(result.Launch), "stop", len(result.Stop), "unplaced", len(result.Unplaced))
	}
}

// maxTasks is how many tasks a machine may hold: while its record must hold them,
// as many as surely fit in there.
func (c *Core) maxTasksPerMachine() int {
	if c.format.level < LevelTasks {
		return c.stateLimits().ValueBytes() / maxPlacementSize
	}
	return math.MaxInt
}

// placeSize is more than a placement takes in its machine's record.
const maxPlacementSize = 250

// fresh is how old a machine's last report may be for new tasks.
func (c *Core) maxReportAge() Micros { return 5 * c.cfg.ReportInterval() / 2 }
