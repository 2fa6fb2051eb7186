package controller

import (
	"fmt"
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/admit"
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
type submissionBatcher struct {
	queue *admit.Queue[*submission]
	busy  bool
}

type submission struct {
	job        *wire.Job
	account    int
	receivedAt Micros
	changes    []wire.Change // its record first
	reply      func(Answer)
}

// intakeMemory is the part of the process's memory that the records of waiting
// submissions may take.
const submissionMemoryDivisor = 50

// Submit takes a job from a user.
func (c *Core) Submit(job *wire.Job, reply func(Answer)) {
	if c.catalog != nil {
		if reason := c.unrunnableReason(job); reason != "" {
			c.refuseNew(job.ID, Answer{Code: 422, Status: wire.JobStatus{ID: reason}}, reply)
			return
		}
	}
	if c.catalog == nil {
		reply(unavailable)
		return
	}
	if !c.stateOK() {
		c.submitToAnyPeer(job, reply)
		return
	}
	c.submitLocally(job, true, reply)
}

// Malformed takes a submission that lacks a field or has one that is not valid.
func (c *Core) RejectMalformed(id, reason string, reply func(Answer)) {
	c.refuseNew(id, Answer{Code: 400, Status: wire.JobStatus{ID: reason}}, reply)
}

// refuseNew refuses a job for good unless it is known: one that was accepted stays accepted,
// whatever the submission, the settings, its awaits and the limits of the state service say now.
func (c *Core) refuseNew(id string, refusal Answer, reply func(Answer)) {
	c.Status(id, func(a Answer) {
		if a.Code == 404 {
			a = refusal
		}
		reply(a)
	})
}

// submitElsewhere hands a submission to a peer that reaches the state service,
// which this node does not.
func (c *Core) submitToAnyPeer(job *wire.Job, reply func(Answer)) {
	for _, peer := range c.cfg.Peers { // in the same order each time
		if p := c.peers[peer.Name]; p.stateOK && c.env.Now()-p.lastMessageAt < 3*clock.Second {
			c.submitToPeer(peer.Name, job, reply)
			return
		}
	}
	reply(unavailable)
}

// submitTo hands a submission to a peer.
func (c *Core) submitToPeer(node string, job *wire.Job, reply func(Answer)) {
	m := c.newMessage(fb.KindSubmit)
	m.Body = wire.Encode(job)
	c.env.Call(node, m, 2*clock.Second, func(r *peer.Msg) { reply(answerFromMessage(r)) })
}

func answerFromMessage(message *peer.Msg) Answer {
	if message == nil || message.Code < 200 || message.Code > 599 {
		return unavailable
	}
	a := Answer{Code: message.Code, Status: wire.JobStatus{ID: message.Job, Phase: message.Phase, Done: message.Done, Running: message.Running}}
	if message.Code >= 429 {
		a.RetryAfter = max(message.RetryAfter, 1)
	}
	return a
}

// submitHere takes a submission at this node, or at the leader if it may be passed on.
func (c *Core) submitLocally(job *wire.Job, mayForward bool, reply func(Answer)) {
	if c.elector.Leading() && c.loaded {
		if _, known := c.jobs[job.ID]; known {
			c.Status(job.ID, reply)
			return
		}
	}
	if len(job.DependsOn) == 0 {
		c.enqueue(job, mayForward, reply)
		return
	}
	c.checkDependencies(job, func(result dependencyResult) {
		if result.rejectReason == "" && !result.incomplete {
			c.enqueue(job, mayForward, reply)
			return
		}
		refusal := unavailable
		if result.rejectReason != "" {
			refusal = Answer{Code: 422, Status: wire.JobStatus{ID: result.rejectReason}}
		}
		c.refuseNew(job.ID, refusal, reply)
	})
}

// enqueue lets a submission wait for the next transaction, or says when to come back.
func (c *Core) enqueue(job *wire.Job, mayForward bool, reply func(Answer)) {
	now, account := c.env.Now(), c.accountNumber(job)
	tableWait, queueWait := c.tableRetryAfter(job, account, now), c.localWait(job, account, now)
	if tableWait == 0 && mayForward && queueWait >= submissionForwardAfter && c.forwardSubmission(job, account, reply) {
		return
	}
	if wait := max(tableWait, c.queueRetryAfter(job, account, queueWait)); wait > 0 {
		c.refuseForOverload(job, account, wait, reply)
		return
	}
	changes, reason := c.jobChanges(job)
	if reason != "" {
		c.RejectMalformed(job.ID, reason, reply)
		return
	}
	c.allowance.RecordSubmission(account, len(changes), now)
	c.queueSubmission(&submission{job, account, now, changes, reply})
	c.commitSubmissions()
}

// await enters a submission into the queue.
func (c *Core) queueSubmission(s *submission) {
	bytes := 0
	for _, ch := range s.changes {
		bytes += len(ch.PutKey) + len(ch.Value)
	}
	c.submissions.queue.Push(s.account, c.submissionRank(s.job), len(s.changes), bytes, s.receivedAt, s)
}

func awaitsKey(job string, part int) string {
	return fmt.Sprintf("%s%s%s%04d", jobPrefix, job, awaitsSuffix, part)
}

// jobChanges renders the record of a job; what its awaits don't fit in beside it
// goes into keys of its own, written in the same transaction.
func (c *Core) jobChanges(job *wire.Job) ([]wire.Change, string) {
	limits := c.stateLimits()
	limit := limits.ValueBytes()
	rec := jobRecord{Job: *job, AcceptedAt: int64(c.env.Wall())}
	value := wire.Encode(&rec)
	changes := []wire.Change{{PutKey: jobPrefix + job.ID}}
	if wire.JSONSize(value) > limit {
		rec.Job.DependsOn, rec.AwaitsKeys = nil, 1
		value = wire.Encode(&rec)
		if wire.JSONSize(value) > limit-16 {
			return nil, fmt.Sprintf("too large: a job's record may take %d bytes beside its awaits", limit-16)
		}
		var part awaitsRecord
		size := 0
		flush := func() {
			changes = append(changes, wire.Change{PutKey: awaitsKey(job.ID, len(changes)-1), Value: wire.Encode(&part)})
			part, size = awaitsRecord{}, 0
		}
		for _, id := range job.DependsOn {
			idSize := len(id) + 3
			if size+idSize > limit-16 {
				flush()
			}
			part.Awaits = append(part.Awaits, id)
			size += idSize
		}
		flush()
		rec.AwaitsKeys = len(changes) - 1
		value = wire.Encode(&rec)
	}
	changes[0].Value = value
	if size := changesSize(changes) + txnOverhead; len(changes) > limits.TxnOps || size > wire.MaxBody {
		return nil, fmt.Sprintf("awaits: too long, a job may take %d records of %d bytes and %d in all", limits.TxnOps, limit, wire.MaxBody-txnOverhead)
	}
	return changes, ""
}

// impossible says why a job can never run, or "".
func (c *Core) unrunnableReason(job *wire.Job) string {
	team := sched.Team{}
	known := false
	for _, t := range c.cfg.Params.Teams {
		if t.Name == job.Team {
			known = true
			team.Limit = sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
		}
	}
	if !known {
		return "unknown team"
	}
	candidate := &sched.Job{Spec: job}
	fits := false
	for i := range c.catalog {
		for _, zone := range c.catalog[i].Zones {
			fits = fits || candidate.Allows(&c.catalog[i], zone, false)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	need := candidate.Need()
	if job.Kind != wire.KindArray {
		need.CPUs *= float64(job.Tasks)
		need.GPUs *= float64(job.Tasks)
	}
	if !team.Allows(need) {
		return "needs more than the team's limit"
	}
	return ""
}

// takeIn creates the waiting jobs in one transaction. A job that exists
// already, under way or over, makes its guard fail and gets its state instead.
func (c *Core) commitSubmissions() {
	c.writeBudget.SetWaiting(admit.SubmissionWrites, c.submissions.queue.Len() > 0)
	if c.submissions.busy || c.submissions.queue.Len() == 0 {
		return
	}
	now := c.env.Now()
	at := stdTime(now)
	// A submission of more changes than the budget ever holds goes when that is full.
	need := min(c.submissions.queue.HeadCost(), c.writeBudget.Burst())
	tokens := int(c.writeBudget.Available(at, admit.SubmissionWrites))
	if tokens < need && c.writeBudget.Remaining(at) < float64(c.writeBudget.Burst()) {
		c.submissions.busy = true
		c.env.After(50*clock.Millisecond, func() {
			c.submissions.busy = false
			c.commitSubmissions()
		})
		return
	}
	batch, txn := c.collectSubmissions(min(c.stateLimits().TxnOps, tokens))
	c.submissions.busy = true
	term, leading := c.term, c.elector.Leading()
	c.writeBudget.Spend(at, admit.SubmissionWrites, len(txn.Then))
	c.env.State().Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		c.submissions.busy = false
		switch o {
		case store.OK:
			c.lastStateContact = c.env.Now()
			// In this term only this node can have ended them since, and would know.
			c.answerCreated(batch, leading && c.elector.Leading() && c.term == term && c.loaded)
		case store.Failed:
			c.handleFailedGuards(batch, a.FailedGuards)
		case store.Invalid:
			c.resubmit(batch, txn.Then)
		default:
			// Perhaps created, perhaps not: the user asks again and finds out.
			for _, s := range batch {
				s.reply(unavailable)
			}
		}
		c.commitSubmissions()
	})
}

// collect takes submissions out of the queue for one transaction of at most so many changes.
func (c *Core) collectSubmissions(maxChanges int) ([]*submission, *wire.Txn) {
	txn := &wire.Txn{}
	var batch []*submission
	seen := map[string]bool{}
	bytes := txnOverhead
	fits := func(s *submission) bool {
		bytes += changesSize(s.changes) + 4*changeOverhead // with its guards
		return (len(batch) == 0 || bytes <= wire.MaxBody) && !seen[s.job.ID]
	}
	for {
		s, ok := c.submissions.queue.Pop(maxChanges-len(txn.Then), len(batch) == 0, fits)
		if !ok {
			return batch, txn
		}
		seen[s.job.ID] = true
		batch = append(batch, s)
		txn.If = append(txn.If, wire.Guard{Key: jobPrefix + s.job.ID}, wire.Guard{Key: finalPrefix + s.job.ID})
		txn.Then = append(txn.Then, s.changes...)
	}
}

// created answers submissions whose jobs were written; add: this leader takes them up.
func (c *Core) answerCreated(batch []*submission, addJobs bool) {
	for _, s := range batch {
		if s.job.Kind != wire.KindService {
			c.rememberAccepted(s.job.ID)
		}
		if addJobs {
			c.addSubmitted(s)
			c.requestSchedulingPass()
		}
		c.recordSubmission(s, false)
		s.reply(Answer{Code: 201, Status: wire.JobStatus{ID: s.job.ID, Phase: wire.PhaseQueued}})
	}
}

// notCreated deals with submissions of which some are known: those keys exist.
func (c *Core) handleFailedGuards(batch []*submission, failedKeys []string) {
	known := map[string]bool{}
	for _, key := range failedKeys {
		known[key[2:]] = true
	}
	for _, s := range batch {
		switch {
		case known[s.job.ID]:
			c.recordSubmission(s, true)
			c.Status(s.job.ID, func(a Answer) {
				if a.Code == 404 { // cannot be: its record exists
					a = unavailable
				}
				s.reply(a)
			})
		case len(known) == 0:
			s.reply(unavailable)
		default:
			c.queueSubmission(s)
		}
	}
}

// addSubmitted enters a job that this node, the leader, has just created.
func (c *Core) addSubmitted(s *submission) {
	items := make([]wire.Item, 0, len(s.changes))
	for _, ch := range s.changes {
		items = append(items, wire.Item{Key: ch.PutKey, Value: ch.Value})
	}
	c.addJobRecords(items, nil)
}

// resubmit deals with submissions that the state service called invalid. If that
// shows that its limits are lower now, they are rendered again under those;
// otherwise one of them is at fault, and all are asked to come again one by one.
func (c *Core) resubmit(batch []*submission, changes []wire.Change) {
	if !c.raiseLevelOnSizeRefusal(changes) {
		for _, s := range batch {
			s.reply(unavailable)
		}
		return
	}
	for _, s := range batch {
		changes, reason := c.jobChanges(s.job)
		if reason != "" {
			c.RejectMalformed(s.job.ID, reason, s.reply)
			continue
		}
		s.changes = changes
		c.queueSubmission(s)
	}
}

// Status answers a user's query: from memory on the leader, otherwise from the
// leader, otherwise from the state service, which holds every state that a
// user was ever told.
func (c *Core) Status(id string, reply func(Answer)) {
	if c.Serving() {
		c.statusOnLeader(id, reply)
		return
	}
	leader := c.elector.Leader()
	if p := c.peers[leader]; p == nil || !p.seenRecently(c.env.Now()) {
		c.lookupStatus(id, reply)
		return
	}
	m := c.newMessage(fb.KindStatus)
	m.Job = id
	c.env.Call(leader, m, 700*clock.Millisecond, func(r *peer.Msg) {
		if r == nil || r.Code != 200 && r.Code != 404 {
			c.lookupStatus(id, reply)
			return
		}
		reply(answerFromMessage(r))
	})
}

// statusHere answers on the leader: from memory, or from the state service for a job that is
// not there or whose end is in doubt.
func (c *Core) statusOnLeader(id string, reply func(Answer)) {
	if j := c.jobs[id]; j == nil || !j.InDoubt() {
		if a, ok := c.answerFromMemory(id); ok {
			reply(a)
			return
		}
	}
	c.lookupStatus(id, reply)
}

// statusOf tells only what is committed: a state that a user heard must
// survive this leader.
func statusOf(j *sched.Job) wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, Phase: j.CommittedPhase, Done: j.DoneCount}
	if s.Phase != "" {
		return s
	}
	s.Phase = wire.PhaseQueued
	if j.PlacedCount > 0 {
		s.Phase = wire.PhaseRunning
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && p.RunningSince > 0 && !p.Exited {
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
func (c *Core) lookupStatus(id string, reply func(Answer)) {
	if !c.stateOK() || !c.readBudget.Allow(stdTime(c.env.Now()), admit.UserReads) {
		reply(unavailable)
		return
	}
	term, leading := c.term, c.elector.Leading()
	c.env.State().List(jobPrefix+id, "", maxLookupItems, func(o store.Outcome, l *wire.ItemList) {
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
			case jobPrefix + id + progressSuffix:
				if msgpack.Unmarshal(it.Value, &progress) != nil {
					reply(unavailable)
					return
				}
			}
		}
		if record != nil {
			status := wire.JobStatus{ID: id, Phase: progress.Phase, Done: progress.DoneCount}
			if status.Phase == "" {
				status.Phase = wire.PhaseQueued
				if progress.DoneCount > 0 {
					status.Phase = wire.PhaseRunning
				}
				if leading && c.Serving() && c.term == term {
					c.addJobRecords(l.Items, nil) // the watch has not brought it yet
					c.requestSchedulingPass()
				}
				if progress.ReadyAt == 0 {
					c.answerUnlessCancelled(record, Answer{Code: 200, Status: status}, reply)
					return
				}
			}
			reply(Answer{Code: 200, Status: status})
			return
		}
		c.readFinalRecord(id, func(final *finalRecord, absent bool) {
			switch {
			case final != nil:
				reply(Answer{Code: 200, Status: final.JobStatus})
			case absent:
				reply(Answer{Code: 404})
			default:
				reply(unavailable)
			}
		})
	})
}

// lookupItems is enough for a job with its progress and the parts of its awaits;
// what is cut off of those is left to the watch.
const maxLookupItems = 16

// Cancel cancels a job for a user.
func (c *Core) Cancel(id string, reply func(Answer)) {
	if c.Serving() {
		c.cancelOnLeader(id, reply)
		return
	}
	leader := c.elector.Leader()
	if c.peers[leader] == nil {
		reply(unavailable)
		return
	}
	m := c.newMessage(fb.KindCancel)
	m.Job = id
	c.env.Call(leader, m, 2*clock.Second, func(r *peer.Msg) { reply(answerFromMessage(r)) })
}

// cancelHere cancels on the leader: no task starts from now on, and the answer
// follows the commit.
func (c *Core) cancelOnLeader(id string, reply func(Answer)) {
	if !c.Serving() {
		reply(unavailable)
		return
	}
	j := c.jobs[id]
	if j == nil {
		// The watch may not have brought the job yet; statusHere would add it.
		c.statusOnLeader(id, func(a Answer) {
			if a.Code == 200 && a.Status.Phase != wire.PhaseDone && a.Status.Phase != wire.PhaseCancelled {
				if c.Serving() && c.jobs[id] != nil {
					c.cancelOnLeader(id, reply)
					return
				}
				a = unavailable
			}
			reply(a)
		})
		return
	}
	answer := func() { reply(Answer{Code: 200, Status: statusOf(j)}) }
	if j.CommittedPhase == wire.PhaseDone || j.Ended && !j.Cancelled {
		c.commitJobEnd(j, answer)
		return
	}
	c.cancelWithDependents(j, answer)
}

// commitEnd writes a job's end and tells it once it is committed.
func (c *Core) commitJobEnd(j *sched.Job, onCommitted func()) {
	if j.CommittedPhase != "" {
		if onCommitted != nil {
			onCommitted()
		}
		return
	}
	c.saveProgress(j, classUrgent, c.whileInTerm(func() {
		firstCommit := j.CommittedPhase == ""
		if firstCommit {
			j.CommittedPhase = wire.PhaseDone
			if j.Cancelled {
				j.CommittedPhase = wire.PhaseCancelled
			}
			j.EndedAt = c.endTimeOrNow(j.EndedAt)
			slog.Debug("job over", "job", j.ID, "team", j.Spec.Team, "class", j.Spec.Class, "kind", j.Spec.Kind, "phase", j.CommittedPhase, "tasks", len(j.Tasks), "placed", j.PlacedCount, "cpus", j.Spec.CPUs,
				"submitted", j.Submitted.Seconds(), "ready", j.ReadyAt.Seconds(), "began", j.StartedAt.Seconds(), "over", j.EndedAt.Seconds(),
				"estimate", j.Estimate.Seconds(), "stated", j.Spec.Estimate, "deadline", (j.Deadline - j.Submitted).Seconds(), "again", j.Requeues)
		}
		if onCommitted != nil {
			onCommitted()
		}
		if !firstCommit {
			return
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && !p.Exited {
				c.queueOrder(p.Machine)
			}
		}
		c.resolveDependents(j)
		c.recordJobEnd(j)
		c.archive(j)
	}))
	c.committer.startTransaction()
}

// dropUnsent takes back placements whose launch was never sent: nothing of
// them can be on a machine.
func (c *Core) dropUnsentPlacements(j *sched.Job) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Placement; p != nil && !p.Sent {
			c.endPlacement(p)
		}
	}
}

// noteArrival smooths the demand of a class: the CPUs a second that services
// ask for, or the CPUs that batch work keeps busy.
func (c *Core) recordArrival(j *sched.Job) {
	stats := c.arrivals[j.Spec.Class]
	now := c.env.Now()
	if stats == nil {
		stats = &arrivalStats{updatedAt: now, firstArrival: now}
		c.arrivals[j.Spec.Class] = stats
	}
	stats.lastJob = j
	demand := j.TotalCPUs()
	if !j.Service() {
		stats.batch = true
		demand *= j.Estimate.Seconds()
	}
	stats.rate = stats.rateAt(now) + demand/arrivalWindow.Seconds()
	stats.updatedAt = now
}

// arrivalWindow is the memory of the arrival rates.
const arrivalWindow = 150 * clock.Second
