// Package controller implements a controller of the cluster: it accepts jobs, and
// while it is the leader it owns all scheduling state, assigns tasks to machines,
// rents and releases machines, and persists its decisions in the state service.
//
// A Core is an event-driven state machine. It runs on one goroutine and does no I/O
// of its own; it uses sockets, timers, the state service and the cloud only through
// Env, so that the same code runs on real sockets and in the simulator's virtual time.
// The package does not implement leader election (package lead), the placement
// algorithm (package sched) or the HTTP interface (package server).
package controller

import (
	"log/slog"
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

// Micros is a time or a duration in microseconds, the unit of time of all packages.
type Micros = clock.Micros

// Cloud is the client of the cloud's API. Each method calls done later, on the owner
// goroutine.
type Cloud interface {
	Catalog(done func(store.Outcome, *wire.Catalog))
	// Rent reports Failed when the cloud has no capacity.
	Rent(r *wire.RentRequest, done func(store.Outcome, []string))
	Release(ids []string, done func(store.Outcome))
	List(after string, limit int, done func(store.Outcome, *wire.MachineList))
}

// Env gives a Core access to clocks, timers, other controllers, workers, the state
// service and the cloud.
type Env interface {
	Now() Micros  // steady clock
	Wall() Micros // time of day
	After(d Micros, f func())
	// Call sends a message to another controller. It passes nil to done if no answer
	// arrives within the timeout.
	Call(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg))
	// SendOrders sends a command batch to the worker at addr. It passes OK to done, or Failed if
	// the worker executed nothing because the token or the session differs; in both cases
	// with the worker's report.
	SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report))
	// ConnectionUsage returns the fraction of this node's connections for users and
	// workers that is in use.
	ConnectionUsage() float64
	State() store.Service
	Cloud() Cloud
}

// Answer is the reply to a user request.
type Answer struct {
	Code       int // HTTP status
	Status     wire.JobStatus
	RetryAfter int // seconds; set with codes 429 and 503
}

// ReportAnswer is the reply to a worker's report.
type ReportAnswer = carrier.ReportAnswer

// Core is the state of one controller. Only the owner goroutine may use it.
type Core struct {
	env          Env
	cfg          *config.Config
	policy       *policy.Policy
	elector      *lead.Elector
	writeBudget  *admit.Budget // puts and deletes in the state service
	cloudLimiter *rate.Limiter // requests to the cloud
	readBudget   *admit.Budget // reads of single jobs, for users and to resolve dependencies

	incarnation uint64

	format       formatState
	levelsReadAt Micros          // when the leader last read the nodes' announced format levels
	acceptedJobs map[string]bool // jobs known to be accepted, which other jobs may depend on

	lastStateContact Micros // when the state service last answered
	peers            map[string]*peerInfo
	reportingWorkers map[string]*reportingWorker // workers that reported while this node was not the leader
	deferredReports  []func()                    // handlers of reports received before the records were loaded
	lateRenewals     int                         // worker leases renewed after this leader's own lease deadline
	leaseLongExpired bool                        // in this term, the lease was expired for more than half a worker lease
	catalog          []wire.MachineType
	submissions      submissionBatcher
	forwarding       submissionForwarding
	startedAt        Micros
	accountIndex     *admit.AccountIndex
	allowance        *admit.Allowance
	waitStats        waitStats
	relay            *carrier.Relay

	// The fields below are used only while this node is the leader.
	term                   uint64
	electedAt              Micros
	loaded                 bool
	jobs                   map[string]*sched.Job
	finalRecords           map[string]finalRecord
	finalRecordOrder       []string
	machines               map[string]*sched.Machine
	sortedMachines         []*sched.Machine         // all machines, sorted by id
	machineGroups          map[string]*machineGroup // by machine id
	groupCount             uint64                   // groups created in this term
	releasedMachines       map[string]bool
	teams                  map[string]*sched.Team
	fetchRates             map[string]float64 // GB per second, by machine type
	committer              committer
	finalReadWaiters       map[string][]*sched.Job // jobs that wait for the final record of a dependency, by its id
	attemptCount           uint64
	rentalCount            uint64
	pendingRentals         map[string]fleet.PendingRental
	refusedUntil           map[fleet.MachineKind]Micros
	cloudPausedUntil       Micros
	releaseInFlight        bool
	releaseQueue           []string
	pendingReleases        []releaseBatch // without a committed intent, or not yet confirmed by the cloud
	openIntents            map[string]bool
	releaseCount           uint64
	arrivals               map[string]*arrivalStats
	passScheduled          bool // a scheduling pass will run
	lastPassAt             Micros
	unplacedTasks          []sched.Unplaced
	lastReportAt           Micros           // since when the absence of reports counts as silence; see cutOffFromWorkers
	commandBatchesInFlight int              // command batches sent and not yet answered
	commandBatchQueue      []*sched.Machine // machines to which a command batch is to be sent
	moveBudgetUpdatedAt    Micros           // when moveBudget was last updated
	moveBudget             float64          // service replicas that may be moved now
	spotLosses             spotLosses
	allocator              *admit.Allocator
	shares                 *admit.TeamShares
	accountDemands         []admit.Demand // of the latest scheduling pass, by account
	objectiveTracker       *admit.ObjectiveTracker
	entitlements           []admit.Entitlement // nil unless the cluster is overloaded
	router                 *carrier.Router
	fence                  orderFence
}

// peerInfo is what this node knows of another controller from its messages.
type peerInfo struct {
	lastMessageAt    Micros
	stateOK          bool
	reportingWorkers uint32 // workers that report to it although it is not the leader
	term             uint64
	duplicateNames   duplicateNameDetector
	connectionUsage  float64        // fraction of its connections in use
	writeShareKind   writeShareKind // which share of the state service's write budget it uses for submissions
}

// seenRecently reports whether a message of the peer arrived within the last 2.5 s.
func (p *peerInfo) seenRecently(now Micros) bool { return now-p.lastMessageAt <= 5*clock.Second/2 }

// arrivalStats is the smoothed demand of a class of jobs; see recordArrival.
type arrivalStats struct {
	rate         float64 // CPUs per second that services request, or CPUs that batch work keeps busy
	updatedAt    Micros  // when rate was last updated
	firstArrival Micros
	batch        bool       // the class is batch work, not services
	lastJob      *sched.Job // the job that arrived last
}

// New returns a controller that supports all format levels. Start must be called on
// the owner goroutine.
func New(env Env, cfg *config.Config, controllerPolicy *policy.Policy, incarnation uint64) *Core {
	return NewAtLevel(env, cfg, controllerPolicy, incarnation, HighestLevel)
}

// NewAtLevel returns a controller that supports format levels up to maxLevel only, as
// version 0.1 supports only the first.
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

// Shares of the state service's write budget when admission control is off, and the share
// of its request budget for reads. All nodes but the leader are followers, which write
// hardly anything but new jobs.
const (
	leaderShare   = 0.7
	followerShare = 0.12
	readShare     = 0.2 // of the request budget; a read takes two requests
)

// Start begins election, periodic work and the initial reads.
func (c *Core) Start() {
	c.elector.Start()
	c.runEvery(clock.Second, c.sendHellos)
	c.runEvery(500*clock.Millisecond, c.tick)
	c.loadCatalog()
	c.readAndAnnounceLevel()
}

// runEvery runs f now and then repeatedly, an interval apart.
func (c *Core) runEvery(interval Micros, f func()) {
	f()
	c.env.After(interval, func() { c.runEvery(interval, f) })
}

// stdTime converts a reading of the steady clock to a time.Time.
func stdTime(m Micros) time.Time { return time.UnixMicro(int64(m)) }

// Serving reports whether this node is the leader, holds a valid lease and has loaded
// its records, so that it may answer users from memory and start tasks.
func (c *Core) Serving() bool { return c.loaded && c.elector.HoldsValidLease() }

// leaseMargin covers processing time and a clock drift of 0.2 % over a worker's lease.
func (c *Core) leaseMargin() Micros { return c.policy.LeaseMargin + c.cfg.WorkerLease()/500 }

// renewalLimits returns the limits within which this node may renew worker leases.
func (c *Core) renewalLimits() lead.RenewalLimits {
	return lead.RenewalLimits{LeaseDuration: c.cfg.WorkerLease(), CancelTimeout: clock.FromSeconds(c.cfg.Params.Workers.Cancel), Margin: c.leaseMargin()}
}

// mayRenewLeases reports whether this node may renew worker leases.
func (c *Core) mayRenewLeases() bool {
	return c.elector.Leading() && c.renewalLimits().Allowed(c.env.Now(), c.elector.LeaseDeadline(), c.loaded)
}

// logLateRenewals logs and resets the number of worker leases that this leader renewed
// after its own lease deadline. It is called once that phase is over.
func (c *Core) logLateRenewals() {
	if c.lateRenewals > 0 {
		slog.Info("leases renewed past the leader's deadline", "renewals", c.lateRenewals, "term", c.term)
		c.lateRenewals = 0
	}
}

// Ready reports to the load balancer whether this node can take requests. If all nodes
// have lost the state service, all stay in the rotation: removing them would not help.
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
	// A node that reaches neither the state service nor a peer is probably isolated itself.
	return peerReached || len(c.peers) == 0
}

// lostStateAndPeers reports whether this leader's lease ended because it lost the state
// service, and it has lost all its peers too, so that it cannot learn who succeeded it.
// During an outage of the state service alone the peers remain reachable.
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

// electionDuration is the approximate duration of an election after a lease has ended.
const electionDuration = clock.Second

// stateOK reports whether the state service answered within the last 2.5 s.
func (c *Core) stateOK() bool { return c.env.Now()-c.lastStateContact < 2500*clock.Millisecond }

// sendHellos sends this node's status to all peers. It also probes the state service if
// that has not answered any request for 700 ms.
func (c *Core) sendHellos() {
	now := c.env.Now()
	if now-c.lastStateContact > 700*clock.Millisecond {
		c.env.State().Get(lead.TermKey, func(outcome store.Outcome, _ *wire.Item) {
			if outcome == store.OK || outcome == store.Failed {
				c.lastStateContact = c.env.Now()
			}
		})
	}
	c.relay.PruneWorkers()
	notice := c.maintainAdmission(now)
	for _, p := range c.cfg.Peers { // a slice, so the order is deterministic
		name := p.Name
		hello := c.newMessage(fb.KindHello)
		hello.AdmissionNotice = c.admissionNoticeFor(name, notice)
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

// newMessage returns a message to another controller with this node's status. It also
// forgets workers that have not reported here for two worker leases.
func (c *Core) newMessage(kind fb.Kind) *peer.Msg {
	now := c.env.Now()
	reportingWorkers := uint32(0)
	for id, worker := range c.reportingWorkers {
		if now-worker.lastReportAt < 3*clock.Second && worker.forwardingSince == 0 {
			reportingWorkers++ // reports that are forwarded reach the leader anyway
		}
		if now-worker.lastReportAt > 2*c.cfg.WorkerLease() {
			delete(c.reportingWorkers, id)
		}
	}
	m := &peer.Msg{Kind: kind, Node: c.cfg.Name, StateOK: c.stateOK(), ReportingWorkers: reportingWorkers, Incarnation: c.incarnation}
	if c.elector.Leading() {
		m.Term = c.elector.Term()
	}
	if c.format.maxLevel >= LevelTasks { // version 0.1 does not send these fields
		m.MaxFormatLevel, m.FormatLevel = c.format.maxLevel, c.format.level
	}
	return m
}

// updatePeerInfo records the status that a peer sent with its message. A leader steps
// down if the peer is the leader of a later term.
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

// HandlePeerMessage handles a message of another controller and answers it with reply.
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
		r.Code, r.AdmissionTable, r.RelayTable = 200, c.handleAdmissionNotice(m), c.currentRelays()
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

// onElected begins a term: it resets the leader's state and loads all records from the
// state service.
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
	c.committer = newCommitter(c)
	c.attemptCount, c.rentalCount = 0, 0
	c.pendingRentals = map[string]fleet.PendingRental{}
	c.refusedUntil = map[fleet.MachineKind]Micros{}
	c.releaseQueue, c.pendingReleases, c.releaseCount, c.releaseInFlight = nil, nil, 0, false
	c.openIntents = map[string]bool{}
	c.arrivals = map[string]*arrivalStats{}
	c.unplacedTasks = nil
	c.commandBatchesInFlight, c.commandBatchQueue = 0, nil
	c.format.raising = false
	c.fence = orderFence{raisedAt: now}
	c.router = carrier.NewRouter(relayHost{c}, term, c.cfg.MaxCommandBatches())
	c.initAdmission(now)
	c.updateWriteRate()
	c.load(term)
}

// onLeadershipLost ends a term: it discards the leader's state and uncommitted writes.
func (c *Core) onLeadershipLost() {
	c.loaded = false
	c.logLateRenewals()
	c.handleDeferredReports()
	c.committer.reset()
	c.jobs, c.machines, c.sortedMachines, c.finalRecords = nil, nil, nil, nil
	c.allocator, c.entitlements, c.router = nil, nil, nil
	c.updateWriteRate()
}

// writeShare returns this node's share of the state service's write rate when admission
// control is off. Once the next limits apply, which are tight, the shares of all nodes
// add up to at most 1.
func (c *Core) writeShare() float64 {
	if c.elector != nil && c.elector.Leading() {
		return leaderShare
	}
	if c.format.level >= LevelTasks && c.cfg.Params.State.Next != nil {
		return min(followerShare, (1-leaderShare)/float64(max(len(c.cfg.Peers), 1)))
	}
	return followerShare
}

// updateWriteRate applies the present write rate to the write budget.
func (c *Core) updateWriteRate() {
	now := c.env.Now()
	c.writeBudget.SetRate(stdTime(now), c.writeRate(now))
}

// whileInTerm wraps f so that it runs only while this node still leads the present term.
func (c *Core) whileInTerm(f func()) func() {
	term := c.term
	return func() {
		if c.elector.Leading() && c.term == term {
			f()
		}
	}
}

// nextAttempt returns a new attempt number: the term in the upper 32 bits and a counter
// in the lower ones, so that no two leaders use the same number.
func (c *Core) nextAttempt() uint64 {
	c.attemptCount++
	return c.term<<32 | c.attemptCount
}

// tick runs the leader's periodic work.
func (c *Core) tick() {
	if !c.elector.Leading() {
		return
	}
	now := c.env.Now()
	if !c.mayRenewLeases() || c.elector.HoldsValidLease() {
		c.logLateRenewals()
	}
	if !c.elector.HoldsValidLease() {
		// Resigning after the lease has ended would not help. An isolated leader has
		// redirected its workers; those that find no successor return and have their leases
		// renewed here.
		c.lastReportAt = now
		c.leaseLongExpired = c.leaseLongExpired || c.loaded && now-c.elector.LeaseDeadline() > c.cfg.WorkerLease()/2
	} else if c.leaseLongExpired {
		// The leader key was not lost, but the workers have turned to other controllers, so
		// conclusions from missing reports are wrong: a leader that continued would release
		// the whole fleet after an outage longer than a worker lease (scenario
		// state_outage_keeps_fleet). Resigning makes the next leader load all records again.
		c.elector.Resign("the state service was out of reach for long", 0)
		return
	} else if c.cutOffFromWorkers(now) {
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
		c.maintainOrderFence(now)
		c.sendQueuedCommandBatches()
		c.requestSchedulingPass()
	}
	c.committer.startTransaction()
}

// cutOffFromWorkers reports whether no worker reports here although some should, while a peer
// receives reports or this node has lost all its peers too. Another node would then be
// a better leader, although this one still reaches the state service.
func (c *Core) cutOffFromWorkers(now Micros) bool {
	// A worker reports at least every 1.25 intervals, so after 1.75 intervals without a
	// report, the reports of all workers are overdue. A quick decision matters: redirected
	// workers return to the unreachable leader and wait there for 4 s, while their leases
	// run out.
	maxSilence := max(7*c.cfg.ReportInterval()/4, 5*clock.Second/2)
	// After an election, workers may need several attempts to find the new leader, and
	// peers that are silent too may be dead, so the leader waits longer. That ends with the
	// first report: a leader cut off nine seconds after its election would otherwise stay
	// leader for longer than a worker lease.
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
