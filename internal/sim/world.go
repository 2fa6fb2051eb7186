// Package sim plays the outside world to controllers in virtual time: stand-ins
// of the state service, the cloud, the workers and the users, written from the
// protocol, with its rules as a checker. Nothing here sleeps or reads a clock,
// so a scenario always ends the same way.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/peer"
	"lilacthread/internal/policy"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

const (
	millisecond = clock.Millisecond
	second      = clock.Second
)

type event struct {
	at  Micros
	seq int
	f   func()
}

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

// Cut is how a link is interrupted.
type Cut int

// Kinds of cut.
const (
	None Cut = iota
	Drop     // messages are lost
	Hold     // messages arrive when the cut ends
)

// World is one simulated deployment.
type World struct {
	now    Micros
	seq    int
	queue  events
	rng    *rand.Rand
	policy *policy.Policy
	Config config.Config // shared settings; each node gets its own name
	Nodes  []*Node
	State  *State
	Cloud  *Cloud
	Rules  *Checker
	Users  map[string]*User
	// Nothing troubles the state service: see User.Cancel.
	CheckCancelCascade bool
	// The next order is executed this much later, with no answer.
	NextOrderDelay Micros
	// Reports, or all messages, are under way for this much longer.
	ReportDelay, LinkDelay Micros
	// Users come back when told, from 1 s on; impatient ones after this time.
	RetryInterval   Micros
	ProbeAnswers    int      // answers to those who look closely
	SubmitLatencies []Micros // how long submissions waited for an answer
	// Submissions of accepted jobs that were refused all the same.
	AcceptedJobRefusals int
	CopiesDelivered     int // reports that were kept for a new leader and came to it
	LeasesLost          int // leases of workers with tasks that ended
	RelayedReports      int // reports that one controller handed on to another in a batch
	RelayedOrders       int // orders that one controller gave to another
	// Greetings that tell of each account's arrivals, by the node that they were sent to.
	Notices map[string]int
	// Workers report changes at once, at most twice a second, beside their steady reports.
	ReportChanges bool
	server        *RealTimeServer // nil in virtual time
	cuts          map[[2]string]Cut
	inboundLost   map[string]bool // hosts that nothing reaches
	outboundLost  map[string]bool // machines that reach no controller
	failingJobs   map[string]bool // jobs whose tasks fail on every machine
	prober        *prober
	reportCopies  *reportCopier
	held          map[[2]string][]func()
}

// NewWorld makes a world with the given number of controllers.
func NewWorld(nodes int, zones []string, seed uint64) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 1)), policy: policy.Default(), Users: map[string]*User{},
		cuts: map[[2]string]Cut{}, inboundLost: map[string]bool{}, outboundLost: map[string]bool{}, failingJobs: map[string]bool{}, Notices: map[string]int{}, held: map[[2]string][]func(){}}
	p := &w.Config.Params
	p.Size, p.Zones = nodes, zones
	p.Workers.Report, p.Workers.Lease, p.Workers.Cancel = 1, 10, 40
	p.Workers.GangWait, p.Workers.GangPeer = 50, 4
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 250, 100, 32, 32
	p.Cloud.RPS, p.Cloud.ListLag = 2, 3
	p.Resources.CPUShare, p.Resources.MemoryMB, p.Resources.FDLimit = 0.1, 100, 900
	w.State = newState(w)
	w.Cloud = newCloud(w)
	w.Rules = NewChecker()
	w.Rules.Now = func() Micros { return w.now }
	for i := range nodes {
		w.Nodes = append(w.Nodes, &Node{w: w, name: fmt.Sprintf("node-%d", i)})
	}
	return w
}

// Now is the world's time.
func (w *World) Now() Micros { return w.now }

// TasksOn is how many tasks are on machines.
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

// LoseMachines has so many machines stop with all that is on them.
func (w *World) CrashMachines(count int) {
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if x := w.Cloud.Machines[id]; count > 0 && x.up && !x.dead {
			x.terminate()
			count--
		}
	}
}

// CutZone has a zone's machines reach no controller, and nothing reach them, for a while.
func (w *World) CutZone(zone string, span Micros) {
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if w.Cloud.Machines[id].zone == zone {
			w.addHostFor(w.outboundLost, id, span)
			w.addHostFor(w.inboundLost, id, span)
		}
	}
}

// At runs f at an instant.
func (w *World) At(t Micros, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, f})
}

// After runs f after a span.
func (w *World) After(d Micros, f func()) { w.At(w.now+d, f) }

// Run plays until the instant.
func (w *World) Run(until Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = until
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetCut interrupts the link between two hosts, or mends it (None), which
// delivers what was held, in order.
func (w *World) SetCut(a, b string, c Cut) {
	k := link(a, b)
	w.cuts[k] = c
	if c == None {
		for _, f := range w.held[k] {
			w.After(millisecond, f)
		}
		w.held[k] = nil
	}
}

// cutFor interrupts the link between two hosts for a while.
func (w *World) cutFor(a, b string, c Cut, span Micros) {
	w.SetCut(a, b, c)
	w.After(span, func() { w.SetCut(a, b, None) })
}

// markFor enters a host into a set for a while.
func (w *World) addHostFor(set map[string]bool, host string, span Micros) {
	set[host] = true
	w.After(span, func() { delete(set, host) })
}

// copying has a share of the machines' reports arrive once more, later, at any node, or
// at all nodes once there is a new leader.
type reportCopier struct {
	share         float64
	delay         Micros
	rng           *rand.Rand
	untilElection bool
	kept          []func()
}

// drawCopy says at which node, if any, a copy of a report arrives, and how much later.
func (w *World) pickCopyTarget() (*Node, Micros) {
	c := w.reportCopies
	if c == nil || c.rng.Float64() >= c.share {
		return nil, 0
	}
	return w.Nodes[c.rng.IntN(len(w.Nodes))], c.delay/10 + Micros(c.rng.Int64N(int64(c.delay)))
}

// copyLater delivers a late copy of a report. Nobody waits for the answer.
func (w *World) scheduleReportCopy(rep *wire.Report) {
	n, after := w.pickCopyTarget()
	if n == nil {
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
	if w.reportCopies.untilElection {
		w.reportCopies.kept = append(w.reportCopies.kept, func() {
			w.CopiesDelivered++
			for _, n := range w.Nodes {
				w.After(after-w.reportCopies.delay/10, func() { deliver(n) })
			}
		})
		return
	}
	w.After(after, func() { deliver(n) })
}

// elected is told of a new leader.
func (w *World) onElection() {
	if w.reportCopies == nil {
		return
	}
	kept := w.reportCopies.kept
	w.reportCopies.kept = nil
	for _, f := range kept {
		f()
	}
}

// send carries a message from one host to another.
func (w *World) send(from, to string, deliver func()) {
	if w.inboundLost[to] {
		return
	}
	switch k := link(from, to); w.cuts[k] {
	case Drop:
	case Hold:
		w.held[k] = append(w.held[k], deliver)
	default:
		after := millisecond + Micros(w.rng.IntN(int(millisecond)))
		if w.LinkDelay > 0 {
			after += w.LinkDelay/4 + Micros(w.rng.Int64N(int64(w.LinkDelay)))
		}
		w.After(after, deliver)
	}
}

// call is a request and its response; done(false) comes after the limit if
// there was no response, and a response after that is ignored.
func (w *World) call(from, to string, limit Micros, serve func(respond func(func())), fail func()) {
	settled := false
	w.send(from, to, func() {
		serve(func(receive func()) {
			w.send(to, from, func() {
				if !settled {
					settled = true
					receive()
				}
			})
		})
	})
	w.After(limit, func() {
		if !settled {
			settled = true
			fail()
		}
	})
}

// Node is a controller process that can be killed and started again.
type Node struct {
	w           *World
	name        string
	incarnation int
	oldVersion  bool   // comes up with the version in production
	duplicateOf string // the name that it bears by mistake: another node's
	core        *controller.Core
	// Share of its connections that it says are in use.
	socketUsage float64
	// It stands still while its clocks run on: what it should do waits.
	frozen  bool
	backlog []func()
}

// Up reports whether the process runs.
func (n *Node) Up() bool { return n.core != nil }

// Start starts the process.
func (n *Node) Start() {
	if n.Up() {
		return
	}
	n.incarnation++
	cfg := n.w.Config
	cfg.Name, cfg.Listen = n.name, fmt.Sprintf("10.0.0.%d:8080", slices.Index(n.w.Nodes, n)+1)
	if n.duplicateOf != "" {
		cfg.Name = n.duplicateOf
	}
	for _, o := range n.w.Nodes {
		if o.name != cfg.Name && o.duplicateOf == "" {
			cfg.Peers = append(append([]config.Peer(nil), cfg.Peers...), config.Peer{Name: o.name})
		}
	}
	e := &env{n: n, incarnation: n.incarnation}
	level := controller.HighestLevel
	if n.oldVersion {
		level = controller.LevelPlacements
	}
	n.core = controller.NewAtLevel(e, &cfg, n.w.policy, n.w.rng.Uint64(), level)
	n.core.Start()
}

// Kill ends the process without a word.
func (n *Node) Kill() {
	n.core = nil
	n.frozen, n.backlog = false, nil
	n.incarnation++
}

// do runs f on the node, if it is up, now or when it goes on.
func (n *Node) runWhenActive(f func()) {
	switch {
	case n.core == nil:
	case n.frozen:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

// Freeze has the process stand still for a while; its clocks run on, and all that was to
// happen meanwhile happens at once when it goes on.
func (n *Node) Freeze(span Micros) {
	if n.core == nil || n.frozen {
		return
	}
	n.frozen = true
	life := n.incarnation
	n.w.After(span, func() {
		if n.incarnation != life {
			return
		}
		todo := n.backlog
		n.frozen, n.backlog = false, nil
		for _, f := range todo {
			n.runWhenActive(f)
		}
	})
}

// env is the world as one life of a node sees it.
type env struct {
	n           *Node
	incarnation int
}

// alive wraps a callback so that it dies with the process.
func (e *env) whileRunning(f func()) func() {
	return func() {
		if e.n.incarnation == e.incarnation {
			e.n.runWhenActive(f)
		}
	}
}

func (e *env) Now() Micros              { return e.n.w.now }
func (e *env) Wall() Micros             { return 1_700_000_000*second + e.n.w.now }
func (e *env) After(d Micros, f func()) { e.n.w.After(d, e.whileRunning(f)) }
func (e *env) State() store.Service     { return &stateClient{e} }
func (e *env) ConnectionUsage() float64 { return e.n.socketUsage }
func (e *env) Cloud() controller.Cloud  { return &cloudClient{e} }

func (e *env) Call(name string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	w := e.n.w
	frame := m.Encode() // the real codec, so that it is covered too
	if m.AdmissionNotice != nil && len(m.AdmissionNotice.Accounts) > 0 {
		w.Notices[name]++
	}
	w.RelayedReports += len(m.RelayedReports)
	w.RelayedOrders += len(m.Orders)
	w.call(e.n.name, name, timeout, func(respond func(func())) {
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

func (e *env) SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report)) {
	w := e.n.w
	body := wire.Encode(o)
	late := w.NextOrderDelay
	w.NextOrderDelay = 0
	w.call(e.n.name, addr, 2*second, func(respond func(func())) {
		x := w.Cloud.Machines[addr]
		if x == nil || !x.up {
			return
		}
		w.After(late, func() {
			x.runWhenActive(func() {
				got := new(wire.Orders)
				if err := wire.Decode(body, got); err != nil {
					panic(err)
				}
				outcome, answer := x.executeOrders(got)
				report, err := wire.DecodeReport(wire.Encode(answer))
				if err != nil {
					panic(err)
				}
				if late == 0 {
					respond(e.whileRunning(func() { done(outcome, report) }))
				}
			})
		})
	}, e.whileRunning(func() { done(store.Unknown, nil) }))
}

func (w *World) node(name string) *Node {
	for _, n := range w.Nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Leader finds the node that the state service says leads.
func (w *World) Leader() *Node {
	name := w.State.Leader()
	return w.node(name)
}

// User is one user's view of one job.
type User struct {
	w         *World
	job       *wire.Job
	LastPhase string // last phase told
	lastCode  int

	connectedNode string // the node that its open connection leads to; "": the load balancer chooses
	firstAttempt  Micros // attempt to submit
	accepted      bool
	refused       int    // answers 429
	heard         string // queued, done or cancelled, by whatever answer
}

// Submit has a user submit a job and follow it until it is over.
func (w *World) Submit(job *wire.Job) { w.UserFor(job).submit() }

// Follow gives the user of a job.
func (w *World) UserFor(job *wire.Job) *User {
	u := w.Users[job.ID]
	if u == nil {
		u = &User{w: w, job: job, firstAttempt: w.now}
		w.Users[job.ID] = u
		w.Rules.AddJob(job)
	}
	return u
}

func (u *User) ask(f request, judge func(knownFacts, controller.Answer)) {
	w := u.w
	known := w.Rules.BeginRequest(u.job.ID)
	done := func(a controller.Answer) { judge(known, a) }
	var up []*Node
	for _, n := range w.Nodes {
		if n.Up() && (n.name == u.connectedNode || u.connectedNode == "" && !n.frozen && n.core.Ready()) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		w.After(100*millisecond, func() { done(controller.Answer{Code: 503}) })
		return
	}
	w.askAt(up[w.rng.IntN(len(up))], f, done)
}

// request is what a user asks of a node.
type request = func(c *controller.Core, reply func(controller.Answer))

// askAt has a user ask a node.
func (w *World) askAt(n *Node, f request, done func(controller.Answer)) {
	w.call("users", n.name, 5*second, func(respond func(func())) {
		n.runWhenActive(func() { f(n.core, func(a controller.Answer) { respond(func() { done(a) }) }) })
	}, func() { done(controller.Answer{Code: 0}) })
}

// looks is the users' trouble of that name: as soon as a job is accepted, has ended, or is
// called done or cancelled, they ask at all nodes again and again within milliseconds, and
// repeat the submission; of a share of the jobs that end they ask that it be cancelled.
type prober struct {
	cancels float64
	rng     *rand.Rand
}

// lookAt has a user look closely at a job of which something new is known.
func (w *World) lookAt(id string, over bool) {
	l, u := w.prober, w.Users[id]
	if l == nil || u == nil {
		return
	}
	ask := func(after Micros, n *Node, f request, judge func(string, knownFacts, controller.Answer)) {
		w.After(after, func() {
			bound := w.Rules.factsFor(id)
			w.askAt(n, f, func(a controller.Answer) {
				w.ProbeAnswers++
				judge(id, bound, a)
				if a.Code == 200 || a.Code == 201 {
					u.told(a.Status.Phase)
				}
			})
		})
	}
	status := func(c *controller.Core, reply func(controller.Answer)) { c.Status(id, reply) }
	for _, n := range w.Nodes {
		for _, within := range []Micros{5 * millisecond, 100 * millisecond, 2 * second} {
			ask(Micros(l.rng.Int64N(int64(within))), n, status, w.Rules.CheckStatusAnswer)
		}
	}
	again := w.Nodes[l.rng.IntN(len(w.Nodes))]
	ask(Micros(l.rng.Int64N(int64(500*millisecond))), again, u.submission, w.Rules.CheckSubmitAnswer)
	if over && l.rng.Float64() < l.cancels { // the leader learns of the end within a report's interval
		n := w.Nodes[l.rng.IntN(len(w.Nodes))]
		ask(Micros(l.rng.Int64N(int64(w.Config.Params.Workers.Report*1.5e6))), n, func(c *controller.Core, reply func(controller.Answer)) {
			w.Rules.CancelRequested(id)
			c.Cancel(id, reply)
		}, w.Rules.CheckStatusAnswer)
	}
}

// completed notes that a task is done.
func (w *World) completed(task string) {
	if w.Rules.TaskCompleted(task) {
		id, _, _ := wire.SplitTask(task)
		w.lookAt(id, true)
	}
}

func (u *User) submit() { u.submitWith(u.submission) }

// submission is the job as its user submits it, malformed the same without a field.
func (u *User) submission(c *controller.Core, reply func(controller.Answer)) { c.Submit(u.job, reply) }

func (u *User) malformedSubmission(c *controller.Core, reply func(controller.Answer)) {
	c.RejectMalformed(u.job.ID, "a field is missing", reply)
}

// submitAs submits the job in whatever form until there is an answer to it.
func (u *User) submitWith(form request) {
	asked := u.w.now
	u.ask(form,
		func(f knownFacts, a controller.Answer) {
			u.lastCode = a.Code
			u.w.Rules.CheckSubmitAnswer(u.job.ID, f, a)
			if a.Code > 0 {
				u.w.SubmitLatencies = append(u.w.SubmitLatencies, u.w.now-asked)
			}
			switch a.Code {
			case 200, 201:
				u.accepted = true
				u.LastPhase = a.Status.Phase
				u.told(a.Status.Phase)
				u.w.After(5*second, u.poll)
			case 400, 422:
			default:
				wait := max(second, Micros(min(a.RetryAfter, 30))*second)
				if u.w.RetryInterval > 0 {
					wait = u.w.RetryInterval
				}
				if a.Code == 429 {
					u.refused++
					if f.accepted {
						u.w.AcceptedJobRefusals++
					}
				}
				u.w.After(wait, func() { u.submitWith(form) })
			}
		})
}

func (u *User) poll() {
	if u.LastPhase == wire.PhaseDone || u.LastPhase == wire.PhaseCancelled {
		return
	}
	u.Poll(func() { u.w.After(5*second, u.poll) })
}

// Poll asks once for the job's state.
func (u *User) Poll(then func()) {
	u.ask(func(c *controller.Core, reply func(controller.Answer)) { c.Status(u.job.ID, reply) },
		func(f knownFacts, a controller.Answer) {
			u.w.Rules.CheckStatusAnswer(u.job.ID, f, a)
			if a.Code == 200 {
				u.LastPhase = a.Status.Phase
				u.told(a.Status.Phase)
			}
			if then != nil {
				then()
			}
		})
}

// Cancel has the user cancel until told that it is over. By then, all that needed
// the job when the user asked is over as well.
func (u *User) Cancel() {
	u.w.Rules.CancelRequested(u.job.ID)
	needed := u.w.Rules.Dependents(u.job.ID)
	u.ask(func(c *controller.Core, reply func(controller.Answer)) { c.Cancel(u.job.ID, reply) },
		func(f knownFacts, a controller.Answer) {
			u.w.Rules.CheckStatusAnswer(u.job.ID, f, a)
			if a.Code != 200 {
				u.w.After(second, u.Cancel)
				return
			}
			u.LastPhase = a.Status.Phase
			if a.Status.Phase == wire.PhaseCancelled {
				for _, id := range needed {
					if !u.w.CheckCancelCascade {
						break
					}
					if u.w.State.finalPhase(id) == "" {
						u.w.Rules.addViolation("half_cancelled", "%s is told of before %s", u.job.ID, id)
					}
				}
				u.told(a.Status.Phase)
			}
		})
}

// told has the checker count from when the user heard, by whatever answer, that the job
// is cancelled.
func (u *User) told(phase string) {
	if phase == wire.PhaseQueued || phase == wire.PhaseRunning {
		phase = wire.PhaseQueued // as far as it may not go back
	}
	if phase != u.heard && (u.heard == "" || phase != wire.PhaseQueued) {
		u.heard = phase
		u.w.lookAt(u.job.ID, false)
	}
	if phase == wire.PhaseCancelled {
		u.w.Rules.CancelConfirmed(u.job.ID, u.w.now+Micros(u.w.Config.Params.Workers.Cancel*1e6))
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
