// Package sim runs controllers in virtual time against simulated versions of everything
// around them: the state service, the cloud, the workers and the users. Scenario scripts
// inject faults, and a Checker reports violations of the protocol's rules. Nothing in
// virtual time sleeps or reads a clock, so every run of a scenario has the same sequence of events;
// only the check that no event keeps its controller busy for long uses real time.
// RealTimeServer serves the same environment over HTTP to real controller processes.
//
// The package is no part of the production program: tests and the load test in
// internal/scale use it. The simulated services are written from the protocol and do not
// model any implementation of the real ones.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/peer"
	"lilacthread/internal/policy"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Micros is a time or duration in microseconds, the project's unit of time.
type Micros = clock.Micros

const (
	millisecond = clock.Millisecond
	second      = clock.Second
)

// event is a function that is to run at a time; seq orders events of the same time.
type event struct {
	at  Micros
	seq int
	run func()
}

// events is a heap of events, ordered by time; its methods implement heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Cut is what happens to messages on a link.
type Cut int

// States of a link: working, or one of two kinds of cuts.
const (
	CutNone Cut = iota // the link works
	CutDrop            // messages are lost
	CutHold            // messages are delivered when the cut ends
)

// World is one simulated deployment with its environment.
type World struct {
	now     Micros
	seq     int
	queue   events
	rng     *rand.Rand
	policy  *policy.Policy
	Config  config.Config // shared settings; each node gets its own name
	Nodes   []*Node
	State   *State
	Cloud   *Cloud
	Checker *Checker
	Users   map[string]*User
	// CheckCancelCascade makes User.Cancel check that dependent jobs are cancelled first.
	// It is meant for runs without faults of the state service.
	CheckCancelCascade bool
	// NextCommandBatchDelay delays the next command batch sent directly to a worker; the
	// batch gets no answer.
	NextCommandBatchDelay Micros
	// ReportDelay delays every report. LinkDelay delays every message by a random span
	// between 0.25 and 1.25 times its value.
	ReportDelay, LinkDelay Micros
	// RetryInterval is how long users wait after an unsuccessful submission before they
	// repeat it; 0: as long as Retry-After says, between 1 s and 30 s.
	RetryInterval   Micros
	ProbeAnswers    int      // answers to requests of the prober
	RefusedPolls    int      // polls of users that got another status than 200
	SubmitLatencies []Micros // time from each submission to its answer
	// AcceptedJobRefusals counts submissions refused with 429 although their job is accepted.
	AcceptedJobRefusals   int
	CopiesDelivered       int // delayed copies of reports that were delivered after an election
	LargestReport         int // size of the largest report of a worker, in bytes of JSON
	reportsSent           int // reports that workers have sent
	tasksLost             int // tasks that ended with their machine or their worker's session
	LeasesLost            int // worker leases that expired while the worker had tasks
	RelayedReports        int // reports that a relaying controller forwarded in batches
	RelayedCommandBatches int // command batches that a controller sent through a relaying controller
	// Notices counts admission notices with arrivals per account by destination node.
	Notices map[string]int
	// ReportChanges makes workers report changes at once, at most twice a second, in
	// addition to their periodic reports.
	ReportChanges bool
	server        *RealTimeServer // nil in virtual time
	cuts          map[[2]string]Cut
	inboundLost   map[string]bool // hosts that no message reaches
	outboundLost  map[string]bool // machines whose reports reach no controller
	failingJobs   map[string]bool // jobs whose tasks fail on every machine
	prober        *prober         // nil: users don't probe
	reportCopier  *reportCopier   // nil: reports are not copied
	orderCopier   *messageCopier  // nil: command batches are not copied
	txnCopier     *messageCopier  // nil: transactions are not copied
	// copyOrdersAtRestart makes copies of a worker's command batches arrive at once when it restarts.
	copyOrdersAtRestart bool
	heldMessages        map[[2]string][]func() // messages held on cut links
}

// NewWorld returns a simulated environment with the given number of controllers, which
// are not started yet.
func NewWorld(nodes int, zones []string, seed uint64) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 1)), policy: policy.Default(), Users: map[string]*User{},
		cuts: map[[2]string]Cut{}, inboundLost: map[string]bool{}, outboundLost: map[string]bool{}, failingJobs: map[string]bool{}, Notices: map[string]int{}, heldMessages: map[[2]string][]func(){}}
	p := &w.Config.Params
	p.Size, p.Zones = nodes, zones
	p.Workers.Report, p.Workers.Lease, p.Workers.Cancel = 1, 10, 40
	p.Workers.GangWait, p.Workers.GangPeer = 50, 4
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 250, 100, 32, 32
	p.Cloud.RPS, p.Cloud.ListLag = 2, 3
	p.Resources.CPUShare, p.Resources.MemoryMB, p.Resources.FDLimit = 0.1, 100, 900
	w.State = newState(w)
	w.Cloud = newCloud(w)
	w.Checker = NewChecker()
	w.Checker.Now = func() Micros { return w.now }
	for i := range nodes {
		w.Nodes = append(w.Nodes, &Node{world: w, name: fmt.Sprintf("node-%d", i)})
	}
	return w
}

// Now returns the current virtual time.
func (w *World) Now() Micros { return w.now }

// RunningTasks returns the number of tasks that run on machines.
func (w *World) RunningTasks() int {
	n := 0
	for _, x := range w.Cloud.Machines {
		for _, t := range x.tasks {
			if t.state == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

// CrashMachines stops the given number of machines and everything on them.
func (w *World) CrashMachines(count int) {
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if x := w.Cloud.Machines[id]; count > 0 && x.up && !x.dead {
			x.terminate()
			count--
		}
	}
}

// CutZone drops all messages from a zone's machines to controllers, and all messages to
// these machines, for a span of time.
func (w *World) CutZone(zone string, span Micros) {
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if w.Cloud.Machines[id].zone == zone {
			w.addHostFor(w.outboundLost, id, span)
			w.addHostFor(w.inboundLost, id, span)
		}
	}
}

// At schedules f at a time, or now if the time has passed.
func (w *World) At(t Micros, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, f})
}

// After schedules f after a span of time.
func (w *World) After(d Micros, f func()) { w.At(w.now+d, f) }

// Run executes all events up to the given time.
func (w *World) Run(until Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		startedAt := time.Now()
		e.run()
		w.checkBusyTime(time.Since(startedAt))
	}
	w.now = until
}

// checkBusyTime reports a violation if an event has kept its controller busy for so long in real
// time that a leader would have lost its lease, which it can't renew meanwhile.
func (w *World) checkBusyTime(busy time.Duration) {
	if limit := w.policy.LeaderTTL.Duration(); busy > limit {
		w.Checker.addViolation("busy", "an event took %.1f s of real time, more than the %.1f s of a leader's lease", busy.Seconds(), limit.Seconds())
		w.queue = nil
	}
}

// linkKey returns the key of the link between two hosts, the same in both directions.
func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetCut cuts the link between two hosts or, with CutNone, restores it, which
// delivers the held messages in order.
func (w *World) SetCut(a, b string, cut Cut) {
	key := linkKey(a, b)
	w.cuts[key] = cut
	if cut == CutNone {
		for _, f := range w.heldMessages[key] {
			w.After(millisecond, f)
		}
		w.heldMessages[key] = nil
	}
}

// cutFor cuts the link between two hosts for a span of time.
func (w *World) cutFor(a, b string, cut Cut, span Micros) {
	w.SetCut(a, b, cut)
	w.After(span, func() { w.SetCut(a, b, CutNone) })
}

// addHostFor adds a host to a set for a span of time.
func (w *World) addHostFor(set map[string]bool, host string, span Micros) {
	set[host] = true
	w.After(span, func() { delete(set, host) })
}

// reportCopier delivers a share of the machines' reports a second time: later, at any
// node, or at all nodes once a new leader is elected.
type reportCopier struct {
	share         float64
	delay         Micros // copies are delayed by 0.1 to 1.1 times this
	rng           *rand.Rand
	untilElection bool
	pending       []func() // copies that wait for an election
}

// pickCopyTarget chooses the node that receives a copy of a report and the copy's delay.
// The node is nil if the report is not copied.
func (w *World) pickCopyTarget() (*Node, Micros) {
	copier := w.reportCopier
	if copier == nil || copier.rng.Float64() >= copier.share {
		return nil, 0
	}
	return w.Nodes[copier.rng.IntN(len(w.Nodes))], copier.delay/10 + Micros(copier.rng.Int64N(int64(copier.delay)))
}

// scheduleReportCopy schedules a delayed copy of a report. Answers to it are discarded.
func (w *World) scheduleReportCopy(rep *wire.Report) {
	target, delay := w.pickCopyTarget()
	if target == nil {
		return
	}
	body := wire.Encode(rep)
	deliver := func(n *Node) {
		n.runWhenActive(func() {
			got, err := wire.DecodeReport(body)
			if err != nil {
				panic(err)
			}
			n.core.HandleReport(got, func(controller.ReportAnswer) {})
		})
	}
	if w.reportCopier.untilElection {
		w.reportCopier.pending = append(w.reportCopier.pending, func() {
			w.CopiesDelivered++
			for _, n := range w.Nodes {
				w.After(delay-w.reportCopier.delay/10, func() { deliver(n) })
			}
		})
		return
	}
	w.After(delay, func() { deliver(target) })
}

// onElection delivers the report copies that wait for a new leader.
func (w *World) onElection() {
	if w.reportCopier == nil {
		return
	}
	pending := w.reportCopier.pending
	w.reportCopier.pending = nil
	for _, f := range pending {
		f()
	}
}

// send delivers a message from one host to another after 1 to 2 ms and LinkDelay, unless
// the message is lost or held on the way.
func (w *World) send(from, to string, deliver func()) {
	if w.inboundLost[to] {
		return
	}
	switch key := linkKey(from, to); w.cuts[key] {
	case CutDrop:
	case CutHold:
		w.heldMessages[key] = append(w.heldMessages[key], deliver)
	default:
		after := millisecond + Micros(w.rng.IntN(int(millisecond)))
		if w.LinkDelay > 0 {
			after += w.LinkDelay/4 + Micros(w.rng.Int64N(int64(w.LinkDelay)))
		}
		w.After(after, deliver)
	}
}

// call sends a request and delivers its response. If there is no response within the
// timeout, fail is called and a later response is ignored.
func (w *World) call(from, to string, timeout Micros, serve func(respond func(func())), fail func()) {
	finished := false
	w.send(from, to, func() {
		serve(func(receive func()) {
			w.send(to, from, func() {
				if !finished {
					finished = true
					receive()
				}
			})
		})
	})
	w.After(timeout, func() {
		if !finished {
			finished = true
			fail()
		}
	})
}

// Node is a controller process that can be killed and restarted.
type Node struct {
	world       *World
	name        string
	incarnation int
	oldVersion  bool   // starts with the production version's format level
	duplicateOf string // name of another node that this process uses by misconfiguration
	core        *controller.Core
	// socketUsage is the share of its connections that the node reports as in use.
	socketUsage float64
	// suspended means that the process is suspended while its clocks go on; its work queues up
	// in backlog.
	suspended bool
	backlog   []func()
}

// Up reports whether the process is running.
func (n *Node) Up() bool { return n.core != nil }

// Start starts the process if it is not running.
func (n *Node) Start() {
	if n.Up() {
		return
	}
	n.incarnation++
	cfg := n.world.Config
	cfg.Name, cfg.Listen = n.name, fmt.Sprintf("10.0.0.%d:8080", slices.Index(n.world.Nodes, n)+1)
	if n.duplicateOf != "" {
		cfg.Name = n.duplicateOf
	}
	for _, o := range n.world.Nodes {
		if o.name != cfg.Name && o.duplicateOf == "" {
			cfg.Peers = append(append([]config.Peer(nil), cfg.Peers...), config.Peer{Name: o.name})
		}
	}
	e := &env{node: n, incarnation: n.incarnation}
	level := controller.HighestLevel
	if n.oldVersion {
		level = controller.LevelPlacements
	}
	n.core = controller.NewAtLevel(e, &cfg, n.world.policy, n.world.rng.Uint64(), level)
	n.core.Start()
}

// Kill ends the process without a shutdown.
func (n *Node) Kill() {
	n.core = nil
	n.suspended, n.backlog = false, nil
	n.incarnation++
}

// runWhenActive runs f on the node, at once or when the node is resumed; not if it is down.
func (n *Node) runWhenActive(f func()) {
	switch {
	case n.core == nil:
	case n.suspended:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

// Suspend suspends the process for a span of time. Its clocks go on, and everything that
// was due meanwhile runs when the process is resumed.
func (n *Node) Suspend(span Micros) {
	if n.core == nil || n.suspended {
		return
	}
	n.suspended = true
	incarnation := n.incarnation
	n.world.After(span, func() {
		if n.incarnation != incarnation {
			return
		}
		todo := n.backlog
		n.suspended, n.backlog = false, nil
		for _, f := range todo {
			n.runWhenActive(f)
		}
	})
}

// env is the environment (controller.Env) of a controller during one incarnation of its
// node.
type env struct {
	node        *Node
	incarnation int
}

// whileRunning wraps a callback so that it has no effect after the process has ended.
func (e *env) whileRunning(f func()) func() {
	return func() {
		if e.node.incarnation == e.incarnation {
			e.node.runWhenActive(f)
		}
	}
}

func (e *env) Now() Micros              { return e.node.world.now }
func (e *env) Wall() Micros             { return 1_700_000_000*second + e.node.world.now }
func (e *env) After(d Micros, f func()) { e.node.world.After(d, e.whileRunning(f)) }
func (e *env) State() store.Service     { return &stateClient{e} }
func (e *env) ConnectionUsage() float64 { return e.node.socketUsage }
func (e *env) Cloud() controller.Cloud  { return &cloudClient{e} }

// Call sends a message to a peer; the answer is nil if there is none within the timeout.
func (e *env) Call(name string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	w := e.node.world
	frame := m.Encode() // encoded and decoded so that runs cover the real codec
	if m.AdmissionNotice != nil && len(m.AdmissionNotice.Accounts) > 0 {
		w.Notices[name]++
	}
	w.RelayedReports += len(m.RelayedReports)
	w.RelayedCommandBatches += len(m.Orders)
	w.call(e.node.name, name, timeout, func(respond func(func())) {
		to := w.node(name)
		if to == nil || !to.Up() {
			return
		}
		got, err := peer.Decode(frame)
		if err != nil {
			panic(err)
		}
		to.runWhenActive(func() {
			to.core.HandlePeerMessage(got, func(a *peer.Msg) { respond(e.whileRunning(func() { done(a) })) })
		})
	}, e.whileRunning(func() { done(nil) }))
}

// SendOrders sends a command batch directly to the worker at an address; see
// World.NextCommandBatchDelay.
func (e *env) SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report)) {
	w := e.node.world
	body := wire.Encode(o)
	delay := w.NextCommandBatchDelay
	w.NextCommandBatchDelay = 0
	w.call(e.node.name, addr, 2*second, func(respond func(func())) {
		worker := w.Cloud.Machines[addr]
		if worker == nil || !worker.up {
			return
		}
		w.scheduleOrderCopies(worker, body)
		w.After(delay, func() {
			worker.runWhenActive(func() {
				outcome, answer := worker.executeOrders(decodeOrders(body))
				report, err := wire.DecodeReport(wire.Encode(answer))
				if err != nil {
					panic(err)
				}
				if delay == 0 {
					respond(e.whileRunning(func() { done(outcome, report) }))
				}
			})
		})
	}, e.whileRunning(func() { done(store.Unknown, nil) }))
}

// decodeOrders decodes the body of a command batch that was encoded here.
func decodeOrders(body []byte) *wire.Orders {
	orders := new(wire.Orders)
	if err := wire.Decode(body, orders); err != nil {
		panic(err)
	}
	return orders
}

// node returns the node with the given name, or nil.
func (w *World) node(name string) *Node {
	for _, n := range w.Nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Leader returns the node that the state service records as leader, or nil.
func (w *World) Leader() *Node {
	name := w.State.Leader()
	return w.node(name)
}

// User submits and follows one job.
type User struct {
	world     *World
	job       *wire.Job
	LastPhase string // phase in the last successful answer to a submission, poll or cancellation
	lastCode  int

	connectedNode string // node that its open connection leads to; "": the load balancer chooses
	firstAttempt  Micros // first attempt to submit
	accepted      bool
	refusals      int    // submissions answered with 429
	knownPhase    string // queued (or running), done or cancelled, from any answer; never returns to queued
}

// Submit has a user submit a job and poll it until it is done or cancelled.
func (w *World) Submit(job *wire.Job) { w.UserFor(job).submit() }

// UserFor returns the user of a job, creating the user if there is none.
func (w *World) UserFor(job *wire.Job) *User {
	u := w.Users[job.ID]
	if u == nil {
		u = &User{world: w, job: job, firstAttempt: w.now}
		w.Users[job.ID] = u
		w.Checker.AddJob(job)
	}
	return u
}

// sendRequest sends a request to a random node that is ready, or to the node of the user's open
// connection, and checks the answer. Without such a node the answer is 503.
func (u *User) sendRequest(req request, check func(knownFacts, controller.Answer)) {
	w := u.world
	known := w.Checker.BeginRequest(u.job.ID)
	done := func(a controller.Answer) { check(known, a) }
	var candidates []*Node
	for _, n := range w.Nodes {
		if n.Up() && (n.name == u.connectedNode || u.connectedNode == "" && !n.suspended && n.core.Ready()) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		w.After(100*millisecond, func() { done(controller.Answer{Code: 503}) })
		return
	}
	w.sendRequestTo(candidates[w.rng.IntN(len(candidates))], req, done)
}

// request is a user's request, as a call of a controller.
type request = func(c *controller.Core, reply func(controller.Answer))

// sendRequestTo sends a user's request to a node. A timeout gives an answer with code 0.
func (w *World) sendRequestTo(n *Node, req request, done func(controller.Answer)) {
	w.call("users", n.name, 5*second, func(respond func(func())) {
		n.runWhenActive(func() { req(n.core, func(a controller.Answer) { respond(func() { done(a) }) }) })
	}, func() { done(controller.Answer{Code: 0}) })
}

// prober has users probe the controllers around each change of a job (script word
// "close-looks"): when a job is accepted, has ended or is reported done or cancelled, its
// user queries all nodes several times within 5 ms to 2 s and repeats the submission, and
// requests the cancellation of a share of the jobs that have ended.
type prober struct {
	cancelShare float64
	rng         *rand.Rand
}

// probe sends the prober's requests for a job that has changed.
func (w *World) probe(id string, finished bool) {
	p, u := w.prober, w.Users[id]
	if p == nil || u == nil {
		return
	}
	sendAfter := func(after Micros, n *Node, req request, check func(string, knownFacts, controller.Answer)) {
		w.After(after, func() {
			known := w.Checker.factsFor(id)
			w.sendRequestTo(n, req, func(a controller.Answer) {
				w.ProbeAnswers++
				check(id, known, a)
				if a.Code == 200 || a.Code == 201 {
					u.notePhase(a.Status.Phase)
				}
			})
		})
	}
	status := func(c *controller.Core, reply func(controller.Answer)) { c.Status(id, reply) }
	for _, n := range w.Nodes {
		for _, window := range []Micros{5 * millisecond, 100 * millisecond, 2 * second} {
			sendAfter(Micros(p.rng.Int64N(int64(window))), n, status, w.Checker.CheckStatusAnswer)
		}
	}
	resubmitTo := w.Nodes[p.rng.IntN(len(w.Nodes))]
	sendAfter(Micros(p.rng.Int64N(int64(500*millisecond))), resubmitTo, u.submission, w.Checker.CheckSubmitAnswer)
	if finished && p.rng.Float64() < p.cancelShare { // sent around the time at which the leader learns of the end, a report interval at most
		n := w.Nodes[p.rng.IntN(len(w.Nodes))]
		sendAfter(Micros(p.rng.Int64N(int64(w.Config.Params.Workers.Report*1.5e6))), n, func(c *controller.Core, reply func(controller.Answer)) {
			w.Checker.CancelRequested(id)
			c.Cancel(id, reply)
		}, w.Checker.CheckStatusAnswer)
	}
}

// onTaskCompleted notes that a task is completed and probes its job if that is now done.
func (w *World) onTaskCompleted(task string) {
	if w.Checker.TaskCompleted(task) {
		id, _, _ := wire.SplitTask(task)
		w.probe(id, true)
	}
}

// submit submits the job until it is accepted or rejected.
func (u *User) submit() { u.submitWith(u.submission) }

// submission submits the user's job.
func (u *User) submission(c *controller.Core, reply func(controller.Answer)) { c.Submit(u.job, reply) }

// malformedSubmission submits the user's job as a request that lacks a field.
func (u *User) malformedSubmission(c *controller.Core, reply func(controller.Answer)) {
	c.RejectMalformed(u.job.ID, "a field is missing", reply)
}

// submitWith repeats a submission until it is accepted or rejected as invalid, and polls
// an accepted job.
func (u *User) submitWith(req request) {
	sentAt := u.world.now
	u.sendRequest(req,
		func(known knownFacts, a controller.Answer) {
			u.lastCode = a.Code
			u.world.Checker.CheckSubmitAnswer(u.job.ID, known, a)
			if a.Code > 0 {
				u.world.SubmitLatencies = append(u.world.SubmitLatencies, u.world.now-sentAt)
			}
			switch a.Code {
			case 200, 201:
				u.accepted = true
				u.LastPhase = a.Status.Phase
				u.notePhase(a.Status.Phase)
				u.world.After(5*second, u.poll)
			case 400, 422:
			default:
				wait := max(second, Micros(min(a.RetryAfter, 30))*second)
				if u.world.RetryInterval > 0 {
					wait = u.world.RetryInterval
				}
				if a.Code == 429 {
					u.refusals++
					if known.accepted {
						u.world.AcceptedJobRefusals++
					}
				}
				u.world.After(wait, func() { u.submitWith(req) })
			}
		})
}

// poll queries the job's status every 5 s until it is done or cancelled.
func (u *User) poll() {
	if u.LastPhase == wire.PhaseDone || u.LastPhase == wire.PhaseCancelled {
		return
	}
	u.Poll(func() { u.world.After(5*second, u.poll) })
}

// Poll queries the job's status once and then calls then, unless that is nil.
func (u *User) Poll(then func()) {
	u.sendRequest(func(c *controller.Core, reply func(controller.Answer)) { c.Status(u.job.ID, reply) },
		func(known knownFacts, a controller.Answer) {
			u.world.Checker.CheckStatusAnswer(u.job.ID, known, a)
			if a.Code == 200 {
				u.LastPhase = a.Status.Phase
				u.notePhase(a.Status.Phase)
			} else {
				u.world.RefusedPolls++
			}
			if then != nil {
				then()
			}
		})
}

// Cancel requests the cancellation of the job until there is a successful answer. When the
// job is reported cancelled, the jobs that depended on it at the time of the request must
// be cancelled or done as well (see World.CheckCancelCascade).
func (u *User) Cancel() {
	u.world.Checker.CancelRequested(u.job.ID)
	dependents := u.world.Checker.Dependents(u.job.ID)
	u.sendRequest(func(c *controller.Core, reply func(controller.Answer)) { c.Cancel(u.job.ID, reply) },
		func(known knownFacts, a controller.Answer) {
			u.world.Checker.CheckStatusAnswer(u.job.ID, known, a)
			if a.Code != 200 {
				u.world.After(second, u.Cancel)
				return
			}
			u.LastPhase = a.Status.Phase
			if a.Status.Phase == wire.PhaseCancelled {
				for _, id := range dependents {
					if !u.world.CheckCancelCascade {
						break
					}
					if u.world.State.finalPhase(id) == "" {
						u.world.Checker.addViolation("half_cancelled", "job %s is reported cancelled before dependent job %s has ended", u.job.ID, id)
					}
				}
				u.notePhase(a.Status.Phase)
			}
		})
}

// notePhase notes the phase in any answer to the user. It probes the job when the phase
// has changed, and the checker counts the time to stop its tasks from the first answer,
// whatever the request, that the job is cancelled.
func (u *User) notePhase(phase string) {
	if phase == wire.PhaseQueued || phase == wire.PhaseRunning {
		phase = wire.PhaseQueued // both are the same to the prober
	}
	if phase != u.knownPhase && (u.knownPhase == "" || phase != wire.PhaseQueued) {
		u.knownPhase = phase
		u.world.probe(u.job.ID, false)
	}
	if phase == wire.PhaseCancelled {
		u.world.Checker.CancelConfirmed(u.job.ID, u.world.now+Micros(u.world.Config.Params.Workers.Cancel*1e6))
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
