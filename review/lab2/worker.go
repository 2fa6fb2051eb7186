package lab2

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lilacthread/wire"
)

// Worker is the worker of one machine. It runs arrays and services; the cases use no gangs.
type Worker struct {
	ID       string
	Type     *wire.MachineType
	Zone     string
	Spot     bool
	lab      *Lab
	addr     string
	rentedAt time.Time
	upAt     time.Time
	gone     bool
	goneAt   time.Time

	session, tick, token uint64
	renewedAt            time.Time // when the last answered report was sent, or the session began
	tokenNotedAt         time.Time
	tasks                []*task
	images               map[string]time.Time // by image: when the machine has it
	wake                 chan struct{}        // something has changed
	node                 int

	Sick bool // it fails every task that it starts
	// Deaf means that answers and direct commands to the machine are lost while its reports
	// arrive.
	Deaf bool
	// LostOrders counts the direct commands that were lost.
	LostOrders int
	// OnOrders, if set, is called for each direct command that the worker executes, with the lab's
	// lock held.
	OnOrders func(*Orders)
	restarts int // how often the machine has restarted
	down     bool
	// LostLaunches names the tasks whose launches were lost with direct commands.
	LostLaunches []string
}

// Orders is a direct command.
type Orders struct {
	Token    *uint64        `msgpack:"baton"`
	Session  *uint64        `msgpack:"spin"`
	Commands []wire.Command `msgpack:"orders"`
}

// task is one attempt to run a task.
type task struct {
	name    string
	attempt uint64
	phase   string
	cause   string
	stored  bool
	job     *Job
	onTimer int // incremented to void earlier timers
}

func newWorker(l *Lab, id string, t *wire.MachineType, zone string, spot bool) *Worker {
	return &Worker{ID: id, Type: t, Zone: zone, Spot: spot, lab: l, rentedAt: time.Now(), session: 1, images: map[string]time.Time{}, wake: make(chan struct{}, 1)}
}

// boot brings the machine up.
func (m *Worker) boot() {
	addr := m.lab.serve(http.HandlerFunc(m.serve))
	m.lab.mu.Lock()
	if m.gone {
		m.lab.mu.Unlock()
		return
	}
	m.addr, m.upAt, m.renewedAt = addr, time.Now(), time.Now()
	m.node = rand.IntN(len(m.lab.Nodes))
	m.lab.mu.Unlock()
	m.lab.Log("machine %s is up", m.ID)
	go m.watchLease()
	go m.reportLoop()
}

// end ends the machine with everything on it. The caller holds the lock.
func (m *Worker) end() {
	m.killAll("the machine is gone")
	m.gone, m.goneAt = true, time.Now()
}

func (m *Worker) killAll(why string) {
	for _, t := range m.tasks {
		t.onTimer++
		m.left(t, why)
	}
	m.tasks = nil
}

// left notes that a task is no longer on the machine.
func (m *Worker) left(t *task, why string) {
	if m.lab.onMachine[t.name][m.ID] {
		delete(m.lab.onMachine[t.name], m.ID)
		m.lab.Log("task %s try %d leaves %s: %s", t.name, t.attempt, m.ID, why)
	}
}

// watchLease ends the session when the lease is over.
func (m *Worker) watchLease() {
	lease := time.Duration(m.lab.Config.Params.Workers.Lease * float64(time.Second))
	for range time.Tick(20 * time.Millisecond) {
		m.lab.mu.Lock()
		if m.gone {
			m.lab.mu.Unlock()
			return
		}
		if time.Since(m.renewedAt) > lease {
			m.lab.Log("machine %s: the lease is over, session %d ends", m.ID, m.session)
			m.killAll("the lease is over")
			m.session++
			m.renewedAt = time.Now()
			m.changed()
		}
		m.lab.mu.Unlock()
	}
}

// changed makes the next report come soon.
func (m *Worker) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// snapshot returns a report. The caller holds the lock.
func (m *Worker) snapshot() *wire.Report {
	m.tick++
	r := &wire.Report{Machine: m.ID, Addr: m.addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, Session: m.session, Seq: m.tick, Token: m.token, Tasks: []wire.TaskReport{}}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.phase, Cause: t.cause, Saved: t.stored})
	}
	return r
}

// reportLoop reports until the machine is gone.
func (m *Worker) reportLoop() {
	l := m.lab
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	interval := time.Duration(l.Config.Params.Workers.Report * float64(time.Second))
	l.mu.Lock()
	restarts := m.restarts
	l.mu.Unlock()
	for {
		l.mu.Lock()
		if m.gone || m.restarts != restarts {
			l.mu.Unlock()
			return
		}
		report, node, sentAt := m.snapshot(), l.Nodes[m.node], time.Now()
		l.mu.Unlock()
		var answer struct {
			Token    uint64         `msgpack:"baton"`
			Commands []wire.Command `msgpack:"orders"`
			Foreman  string         `msgpack:"foreman"`
		}
		status, _ := callWith(client, http.MethodPost, "http://"+node.Listen+"/checkin", report, &answer, 4*time.Second)
		l.mu.Lock()
		if m.Deaf && status != 0 { // the answer is lost
			l.mu.Unlock()
			time.Sleep(time.Until(sentAt.Add(4 * time.Second)))
			l.mu.Lock()
			status = 0
		}
		if m.restarts != restarts {
			l.mu.Unlock()
			return
		}
		l.Log("machine %s reports to %s with spin %d, tick %d, baton %d, %d tasks: %d %s, baton %d, %d commands", m.ID, node.Name, report.Session, report.Seq, report.Token, len(report.Tasks), status, answer.Foreman, answer.Token, len(answer.Commands))
		pause := time.Second
		switch next := m.indexOf(answer.Foreman); {
		case status == http.StatusOK:
			if answer.Token >= m.token && answer.Token > 0 && report.Session == m.session && time.Since(sentAt) < 4*time.Second {
				m.accept(answer.Token)
				m.renewedAt = sentAt
				m.execute(answer.Commands)
			}
			pause = interval*3/4 + rand.N(interval/2)
		case status == http.StatusMisdirectedRequest && next >= 0 && next != m.node:
			m.node, pause = next, rand.N(500*time.Millisecond)
			client.CloseIdleConnections()
		default:
			m.node = (m.node + 1) % len(l.Nodes)
			client.CloseIdleConnections()
		}
		l.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(pause)
			continue
		}
		select {
		case <-time.After(pause):
		case <-m.wake:
			time.Sleep(time.Until(sentAt.Add(500 * time.Millisecond)))
		}
	}
}

// indexOf returns the index of the named controller, or -1.
func (m *Worker) indexOf(name string) int {
	return slices.IndexFunc(m.lab.Nodes, func(n *Node) bool { return n.Name == name })
}

// accept records the token of commands that are executed.
func (m *Worker) accept(token uint64) {
	if token > m.token {
		m.token = token
		if half := time.Duration(m.lab.Config.Params.Workers.Lease * float64(time.Second) / 2); time.Since(m.tokenNotedAt) > half {
			m.tokenNotedAt = time.Now()
			m.changed()
		}
	}
}

// serve answers direct commands.
func (m *Worker) serve(w http.ResponseWriter, r *http.Request) {
	l := m.lab
	var orders Orders
	if r.URL.Path == "/orders" && !readBody(w, r, &orders) {
		return
	}
	l.mu.Lock()
	if m.gone || m.Deaf || m.down { // lost: the sender gets no answer
		if m.Deaf {
			m.LostOrders++
			l.Log("machine %s: a direct command is lost: %d commands", m.ID, len(orders.Commands))
			for _, c := range orders.Commands {
				if c.Op == wire.OpStart {
					l.Log("machine %s: the lost command launches %s try %d", m.ID, c.Task, c.Attempt)
					m.LostLaunches = append(m.LostLaunches, c.Task)
				}
			}
		}
		l.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	status, body := m.answer(r.URL.Path, &orders)
	if orders.Token != nil && orders.Session != nil {
		l.Log("machine %s gets a direct command with baton %d, spin %d, %d commands: %d", m.ID, *orders.Token, *orders.Session, len(orders.Commands), status)
	}
	l.mu.Unlock()
	respond(w, status, body)
}

// answer executes a direct command and returns the answer. The caller holds the lock.
func (m *Worker) answer(path string, orders *Orders) (status int, body any) {
	status = http.StatusOK
	switch {
	case path == "/show":
		body = m.snapshot()
	case orders.Token == nil || orders.Session == nil:
		status, body = http.StatusBadRequest, map[string]any{"error": "missing"}
	case *orders.Token < m.token || *orders.Session != m.session:
		status, body = http.StatusConflict, m.snapshot()
	default:
		m.accept(*orders.Token)
		m.execute(orders.Commands)
		if m.OnOrders != nil {
			m.OnOrders(orders)
		}
		body = m.snapshot()
	}
	return status, body
}

// Repeat delivers a copy of a direct command. The caller holds the lock.
func (m *Worker) Repeat(orders *Orders) {
	status, _ := m.answer("/orders", orders)
	m.lab.Note("a copy of a direct command with token %d and session %d reaches %s, whose token is %d and session %d: %d", *orders.Token, *orders.Session, m.ID, m.token, m.session, status)
}

// Restart restarts the machine, which is back after the given time under its name and address:
// without tasks and images, and with a worker that begins anew. The caller holds the lock.
func (m *Worker) Restart(after time.Duration) {
	m.lab.Note("%s restarts; its last report had spin %d, tick %d, baton %d", m.ID, m.session, m.tick, m.token)
	m.killAll("the machine restarts")
	m.restarts++
	m.down = true
	time.AfterFunc(after, func() {
		m.lab.mu.Lock()
		defer m.lab.mu.Unlock()
		m.down = false
		m.session, m.tick, m.token, m.renewedAt, m.tokenNotedAt = 1, 0, 0, time.Now(), time.Time{}
		m.images = map[string]time.Time{}
		if !m.gone {
			go m.reportLoop()
		}
	})
}

// execute executes commands in order. The caller holds the lock.
func (m *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == c.Task && t.attempt == c.Attempt })
		switch c.Op {
		case wire.OpStart:
			if i < 0 {
				m.launch(c.Task, c.Attempt)
			}
		case wire.OpStop:
			if i >= 0 {
				m.stop(m.tasks[i], *c.GraceSeconds)
			}
		case wire.OpForget:
			if i >= 0 && m.tasks[i].phase == wire.TaskExited {
				m.tasks = slices.Delete(m.tasks, i, i+1)
			}
		}
	}
}

// launch starts a task, or refuses it.
func (m *Worker) launch(name string, attempt uint64) {
	l := m.lab
	l.Log("machine %s launches %s try %d", m.ID, name, attempt)
	id, _, _ := wire.SplitTask(name)
	t := &task{name: name, attempt: attempt, phase: wire.TaskFetching, job: l.jobs[id]}
	m.tasks = append(m.tasks, t)
	m.changed()
	refuse := func(cause string) { t.phase, t.cause = wire.TaskExited, cause }
	if t.job == nil {
		refuse(wire.CauseUnknown)
		return
	}
	cpus, mem := t.job.CPUs, t.job.MemoryGB
	for _, o := range m.tasks {
		if o == t || o.phase == wire.TaskExited {
			continue
		}
		if o.name == name {
			refuse(wire.CauseBusy)
			return
		}
		cpus, mem = cpus+o.job.CPUs, mem+o.job.MemoryGB
	}
	if cpus > m.Type.CPUs+1e-9 || mem > m.Type.MemoryGB+1e-9 {
		refuse(wire.CauseNoCapacity)
		return
	}
	ready, known := m.images[t.job.Image]
	if !known {
		ready = time.Now().Add(time.Duration(t.job.ImageGB / m.Type.FetchRate * float64(time.Second)))
		m.images[t.job.Image] = ready
	}
	m.later(t, time.Until(ready), func() { m.begin(t) })
}

// later runs f after a time unless the task's phase has changed by then.
func (m *Worker) later(t *task, d time.Duration, f func()) {
	t.onTimer++
	timer := t.onTimer
	time.AfterFunc(d, func() {
		m.lab.mu.Lock()
		defer m.lab.mu.Unlock()
		if !m.gone && t.onTimer == timer {
			f()
		}
	})
}

// begin starts the run of a task whose image is there.
func (m *Worker) begin(t *task) {
	l := m.lab
	t.phase = wire.TaskRunning
	if l.onMachine[t.name] == nil {
		l.onMachine[t.name] = map[string]bool{}
	}
	for other := range l.onMachine[t.name] {
		l.Note("task %s try %d starts on %s while it is on %s", t.name, t.attempt, m.ID, other)
		l.Twice = append(l.Twice, t.name)
	}
	l.onMachine[t.name][m.ID] = true
	l.Log("task %s try %d starts on %s", t.name, t.attempt, m.ID)
	if t.job.Started.IsZero() {
		t.job.Started = time.Now()
	}
	m.changed()
	switch {
	case t.job.done[t.name]:
		m.exit(t, wire.CauseDone)
	case m.Sick:
		m.later(t, 500*time.Millisecond, func() { m.exit(t, wire.CauseError) })
	case t.job.Run > 0:
		m.later(t, t.job.Run, func() {
			t.job.done[t.name] = true
			m.exit(t, wire.CauseDone)
		})
	}
}

// exit ends a task.
func (m *Worker) exit(t *task, cause string) {
	t.onTimer++
	t.phase, t.cause = wire.TaskExited, cause
	if cause == wire.CauseError {
		t.job.failed++
	}
	m.left(t, cause)
	m.changed()
}

// stop stops a task.
func (m *Worker) stop(t *task, ease float64) {
	switch {
	case t.phase == wire.TaskExited:
	case t.phase == wire.TaskRunning && t.job.CheckpointInterval > 0 && ease >= t.job.SaveDuration:
		t.phase = wire.TaskSaving
		m.changed()
		m.later(t, time.Duration(t.job.SaveDuration*float64(time.Second)), func() {
			t.stored = true
			m.exit(t, wire.CauseStopped)
		})
	case t.phase == wire.TaskSaving && ease > 0:
	default:
		m.exit(t, wire.CauseStopped)
	}
}

// Lock runs f under the lab's lock, for changes of a worker's or a service's faults.
func (l *Lab) Lock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Tasks returns the names of the tasks that are on the machine or being fetched. The caller
// holds the lock.
func (m *Worker) Tasks() []string {
	var out []string
	for _, t := range m.tasks {
		if t.phase != wire.TaskExited {
			out = append(out, t.name)
		}
	}
	return out
}

// Complete lets a task complete now. The caller holds the lock.
func (m *Worker) Complete(name string) {
	for _, t := range m.tasks {
		if t.name == name && t.phase == wire.TaskRunning {
			t.job.done[name] = true
			m.exit(t, wire.CauseDone)
		}
	}
}

// FreeCPUs returns the CPUs that no task takes. The caller holds the lock.
func (m *Worker) FreeCPUs() float64 {
	free := m.Type.CPUs
	for _, t := range m.tasks {
		if t.phase != wire.TaskExited && t.job != nil {
			free -= t.job.CPUs
		}
	}
	return free
}

// Up reports whether the machine is up. The caller holds the lock.
func (m *Worker) Up() bool { return !m.gone && !m.upAt.IsZero() }
