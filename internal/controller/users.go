package controller

import (
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// unavailable is the answer of a node that cannot know or do what was asked.
var unavailable = Answer{Code: 503, RetryAfter: 1}

// intake gathers submissions, so that one transaction creates several jobs.
type intake struct {
	waiting []*submission
	busy    bool
}

type submission struct {
	job   *wire.Job
	value []byte
	reply func(Answer)
}

// maxWaiting bounds the submissions that wait for the state service.
const maxWaiting = 200

// Submit takes a job from a user.
func (c *Core) Submit(job *wire.Job, reply func(Answer)) {
	if c.catalog != nil {
		if why := c.impossible(job); why != "" {
			// A job that was accepted stays accepted, whatever the settings say now.
			c.Status(job.ID, func(a Answer) {
				if a.Code == 404 {
					a = Answer{Code: 422, Status: wire.JobStatus{ID: why}}
				}
				reply(a)
			})
			return
		}
	}
	if c.catalog == nil {
		reply(unavailable)
		return
	}
	if !c.stateOK() {
		c.submitElsewhere(job, reply)
		return
	}
	c.submitHere(job, reply)
}

// submitElsewhere hands a submission to a peer that reaches the state service,
// which this node does not.
func (c *Core) submitElsewhere(job *wire.Job, reply func(Answer)) {
	for name, p := range c.peers {
		if p.stateOK && c.env.Now()-p.at < 3*clock.Second {
			m := c.self(fb.KindSubmit)
			m.Body = wire.Encode(job)
			c.env.Ask(name, m, 2*clock.Second, func(r *peer.Msg) { reply(answerOf(r)) })
			return
		}
	}
	reply(unavailable)
}

func answerOf(m *peer.Msg) Answer {
	if m == nil || m.Code < 200 || m.Code > 599 {
		return unavailable
	}
	a := Answer{Code: m.Code, Status: wire.JobStatus{ID: m.Job, Phase: m.Phase, Done: m.Done, Running: m.Running}}
	if m.Code >= 429 {
		a.RetryAfter = 1
	}
	return a
}

func (c *Core) submitHere(job *wire.Job, reply func(Answer)) {
	if c.lead.Leading() && c.loaded {
		if _, known := c.jobs[job.ID]; known {
			c.Status(job.ID, reply)
			return
		}
	}
	if len(c.intake.waiting) >= maxWaiting {
		reply(Answer{Code: 429, RetryAfter: 2})
		return
	}
	value := wire.Encode(&jobRecord{Job: *job, At: int64(c.env.Wall())})
	if float64(2*len(value)) > c.cfg.Params.State.ValueKB*1024 {
		reply(Answer{Code: 400, Status: wire.JobStatus{ID: "too large"}})
		return
	}
	c.intake.waiting = append(c.intake.waiting, &submission{job, value, reply})
	c.takeIn()
}

// impossible says why a job can never run, or "".
func (c *Core) impossible(job *wire.Job) string {
	limit := sched.Team{}
	known := false
	for _, t := range c.cfg.Params.Teams {
		if t.Name == job.Team {
			known = true
			limit.Limit = sched.Need{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
		}
	}
	if !known {
		return "unknown team"
	}
	j := &sched.Job{Spec: job}
	fits := false
	for i := range c.catalog {
		for _, zone := range c.catalog[i].Zones {
			fits = fits || j.Allows(&c.catalog[i], zone, false)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	need := j.Need()
	if job.Kind != wire.KindArray {
		need.CPUs *= float64(job.Tasks)
		need.GPUs *= float64(job.Tasks)
	}
	if !limit.Allows(need) {
		return "needs more than the team's limit"
	}
	return ""
}

// takeIn creates the waiting jobs in one transaction. A job that exists
// already, under way or over, makes its guard fail and gets its state instead.
func (c *Core) takeIn() {
	if c.intake.busy || len(c.intake.waiting) == 0 {
		return
	}
	now := c.env.Now()
	room := min(c.cfg.Params.State.TxnOps, int(c.writes.TokensAt(stdTime(now))))
	if room < 1 {
		c.intake.busy = true
		c.env.After(50*clock.Millisecond, func() {
			c.intake.busy = false
			c.takeIn()
		})
		return
	}
	txn := &wire.Txn{}
	var batch, later []*submission
	seen := map[string]bool{}
	bytes := 0
	for _, s := range c.intake.waiting {
		bytes += 2 * len(s.value)
		if len(batch) >= room || seen[s.job.ID] || bytes > wire.MaxBody*3/4 && len(batch) > 0 {
			later = append(later, s)
			continue
		}
		seen[s.job.ID] = true
		batch = append(batch, s)
		txn.If = append(txn.If, wire.Guard{Key: jobPrefix + s.job.ID}, wire.Guard{Key: finalPrefix + s.job.ID})
		txn.Then = append(txn.Then, wire.Change{Put: jobPrefix + s.job.ID, Value: s.value})
	}
	c.intake.waiting = later
	c.intake.busy = true
	c.writes.AllowN(stdTime(now), len(batch))
	c.env.State().Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		c.intake.busy = false
		switch o {
		case store.OK:
			c.stateSeen = c.env.Now()
			for _, s := range batch {
				if c.lead.Leading() && c.loaded {
					c.addRecord(s.value)
					c.wake()
				}
				s.reply(Answer{Code: 201, Status: wire.JobStatus{ID: s.job.ID, Phase: wire.PhaseQueued}})
			}
		case store.Failed:
			known := map[string]bool{}
			for _, key := range a.Failed {
				known[key[2:]] = true
			}
			var again []*submission
			for _, s := range batch {
				switch {
				case known[s.job.ID]:
					c.Status(s.job.ID, func(a Answer) {
						if a.Code == 404 { // cannot be: its record exists
							a = unavailable
						}
						s.reply(a)
					})
				case len(known) == 0:
					s.reply(unavailable)
				default:
					again = append(again, s)
				}
			}
			c.intake.waiting = append(again, c.intake.waiting...)
		default:
			// Perhaps created, perhaps not: the user asks again and finds out.
			for _, s := range batch {
				s.reply(unavailable)
			}
		}
		c.takeIn()
	})
}

// Status answers a user's query: from memory on the leader, otherwise from the
// leader, otherwise from the state service, which holds every state that a
// user was ever told.
func (c *Core) Status(id string, reply func(Answer)) {
	if c.serving() {
		c.statusHere(id, reply)
		return
	}
	leader := c.lead.Leader()
	if p := c.peers[leader]; p == nil || c.env.Now()-p.at > 2500*clock.Millisecond {
		c.lookup(id, reply)
		return
	}
	m := c.self(fb.KindStatus)
	m.Job = id
	c.env.Ask(leader, m, 700*clock.Millisecond, func(r *peer.Msg) {
		if r == nil || r.Code != 200 && r.Code != 404 {
			c.lookup(id, reply)
			return
		}
		reply(answerOf(r))
	})
}

func (c *Core) statusHere(id string, reply func(Answer)) {
	if j := c.jobs[id]; j != nil {
		reply(Answer{Code: 200, Status: statusOf(j)})
		return
	}
	if s, ok := c.finals[id]; ok {
		reply(Answer{Code: 200, Status: s})
		return
	}
	c.lookup(id, reply)
}

// statusOf tells only what is committed: a state that a user heard must
// survive this leader.
func statusOf(j *sched.Job) wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, Phase: j.Shown, Done: j.DoneCount}
	if s.Phase != "" {
		return s
	}
	s.Phase = wire.PhaseQueued
	if j.Placed > 0 {
		s.Phase = wire.PhaseRunning
		for i := range j.Tasks {
			if p := j.Tasks[i].Place; p != nil && p.Running > 0 && !p.Exited {
				s.Running++
			}
		}
	}
	if j.DoneCount == len(j.Tasks) {
		s.Done, s.Phase = j.DoneCount-1, wire.PhaseRunning // not committed yet
	}
	return s
}

// lookup reads a job's state from the state service. The job is looked for
// first and its final record second, the order in which archiving moves it.
func (c *Core) lookup(id string, reply func(Answer)) {
	if !c.stateOK() || !c.lookups.AllowN(stdTime(c.env.Now()), 1) {
		reply(unavailable)
		return
	}
	term, leading := c.term, c.lead.Leading()
	c.env.State().List(jobPrefix+id, "", 4, func(o store.Outcome, l *wire.ItemList) {
		if o != store.OK {
			reply(unavailable)
			return
		}
		var record []byte
		var progress progressRecord
		for i := range l.Items {
			switch it := &l.Items[i]; it.Key {
			case jobPrefix + id:
				record = it.Value
			case jobPrefix + id + progressTail:
				if msgpack.Unmarshal(it.Value, &progress) != nil {
					reply(unavailable)
					return
				}
			}
		}
		if record != nil {
			st := wire.JobStatus{ID: id, Phase: progress.Phase, Done: progress.Count}
			if st.Phase == "" {
				st.Phase = wire.PhaseQueued
				if progress.Count > 0 {
					st.Phase = wire.PhaseRunning
				}
				if leading && c.serving() && c.term == term {
					c.addRecord(record) // the watch has not brought it yet
					c.wake()
				}
			}
			reply(Answer{Code: 200, Status: st})
			return
		}
		c.env.State().Get(finalPrefix+id, func(o store.Outcome, it *wire.Item) {
			var st wire.JobStatus
			switch {
			case o == store.Failed:
				reply(Answer{Code: 404})
			case o == store.OK && msgpack.Unmarshal(it.Value, &st) == nil && st.Phase != "":
				reply(Answer{Code: 200, Status: st})
			default:
				reply(unavailable)
			}
		})
	})
}

// Cancel cancels a job for a user.
func (c *Core) Cancel(id string, reply func(Answer)) {
	if c.serving() {
		c.cancelHere(id, reply)
		return
	}
	leader := c.lead.Leader()
	if c.peers[leader] == nil {
		reply(unavailable)
		return
	}
	m := c.self(fb.KindCancel)
	m.Job = id
	c.env.Ask(leader, m, 2*clock.Second, func(r *peer.Msg) { reply(answerOf(r)) })
}

// cancelHere cancels on the leader: no task starts from now on, and the answer
// follows the commit.
func (c *Core) cancelHere(id string, reply func(Answer)) {
	if !c.serving() {
		reply(unavailable)
		return
	}
	j := c.jobs[id]
	if j == nil {
		// The watch may not have brought the job yet; statusHere would add it.
		c.statusHere(id, func(a Answer) {
			if a.Code == 200 && a.Status.Phase != wire.PhaseDone && a.Status.Phase != wire.PhaseCancelled {
				if c.serving() && c.jobs[id] != nil {
					c.cancelHere(id, reply)
					return
				}
				a = unavailable
			}
			reply(a)
		})
		return
	}
	if j.Shown != "" {
		reply(Answer{Code: 200, Status: statusOf(j)})
		return
	}
	if !j.Ended {
		slog.Debug("cancel", "job", id)
		j.Cancelled, j.Ended, j.Queue = true, true, nil
		c.dropUnsent(j)
		c.wake()
	}
	c.commitEnd(j, func() { reply(Answer{Code: 200, Status: statusOf(j)}) })
}

// commitEnd writes a job's end and tells it once it is committed.
func (c *Core) commitEnd(j *sched.Job, then func()) {
	c.saveProgress(j, c.during(func() {
		if j.Shown == "" {
			j.Shown = wire.PhaseDone
			if j.Cancelled {
				j.Shown = wire.PhaseCancelled
			}
		}
		if then != nil {
			then()
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Place; p != nil && p.Machine != nil && !p.Exited {
				c.orderSoon(p.Machine)
			}
		}
		c.archive(j)
	}))
	c.commit.pump()
}

// dropUnsent takes back placements whose launch was never sent: nothing of
// them can be on a machine.
func (c *Core) dropUnsent(j *sched.Job) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil && !p.Sent {
			c.leave(p)
		}
	}
}

// noteArrival smooths the demand of a class: the CPUs a second that services
// ask for, or the CPUs that batch work keeps busy.
func (c *Core) noteArrival(j *sched.Job) {
	a := c.arrivals[j.Spec.Class]
	now := c.env.Now()
	if a == nil {
		a = &arrival{at: now, since: now}
		c.arrivals[j.Spec.Class] = a
	}
	asked := j.Spec.CPUs * float64(j.Spec.Tasks)
	if j.Service() {
		a.job = j
	} else {
		a.batch = true
		asked *= j.Estimate.Seconds()
	}
	a.rate = a.now(now) + asked/arrivalWindow.Seconds()
	a.at = now
}

// arrivalWindow is the memory of the arrival rates.
const arrivalWindow = 150 * clock.Second
