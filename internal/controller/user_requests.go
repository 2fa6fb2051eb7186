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

// unavailable is the answer of a node that can neither determine nor do what was requested.
var unavailable = Answer{Code: 503, RetryAfter: 1}

// submissionBatcher queues submissions so that one transaction creates several jobs.
type submissionBatcher struct {
	queue *admit.Queue[*submission]
	busy  bool // a transaction is in flight or waits for the write budget
}

// submission is a job that waits to be written to the state service.
type submission struct {
	job        *wire.Job
	account    int
	receivedAt Micros
	changes    []wire.Change // the job's record first
	reply      func(Answer)
}

// submissionMemoryDivisor limits the records of queued submissions to this fraction
// (1/50) of the process's memory limit.
const submissionMemoryDivisor = 50

// Submit handles a job submitted by a user. A job that can never run is rejected;
// a node that does not reach the state service forwards the job to a peer that does.
func (c *Core) Submit(job *wire.Job, reply func(Answer)) {
	if c.catalog != nil {
		if reason := c.unrunnableReason(job); reason != "" {
			c.rejectUnlessKnown(job.ID, Answer{Code: 422, Status: wire.JobStatus{ID: reason}}, reply)
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

// RejectMalformed answers a submission in which a field is missing or invalid, or that is too
// large for the state service.
func (c *Core) RejectMalformed(id, reason string, reply func(Answer)) {
	c.rejectUnlessKnown(id, Answer{Code: 400, Status: wire.JobStatus{ID: reason}}, reply)
}

// rejectUnlessKnown gives a negative answer to a submission unless the job exists. An
// accepted job stays accepted even if this submission differs from the first one, or would be
// rejected now because of changed settings, dependencies or limits of the state service; the
// answer is then the job's status.
func (c *Core) rejectUnlessKnown(id string, rejection Answer, reply func(Answer)) {
	c.Status(id, func(a Answer) {
		if a.Code == 404 {
			a = rejection
		}
		reply(a)
	})
}

// submitToAnyPeer forwards a submission to a peer that reaches the state service,
// because this node does not reach it.
func (c *Core) submitToAnyPeer(job *wire.Job, reply func(Answer)) {
	for _, peer := range c.cfg.Peers { // the configured order, which is always the same
		if p := c.peers[peer.Name]; p.stateOK && c.env.Now()-p.lastMessageAt < 3*clock.Second {
			c.submitToPeer(peer.Name, job, reply)
			return
		}
	}
	reply(unavailable)
}

// submitToPeer forwards a submission to a peer.
func (c *Core) submitToPeer(node string, job *wire.Job, reply func(Answer)) {
	m := c.newMessage(fb.KindSubmit)
	m.Body = wire.Encode(job)
	c.env.Call(node, m, 2*clock.Second, func(r *peer.Msg) { reply(answerFromMessage(r)) })
}

// answerFromMessage converts a peer's reply to an answer to the user. A missing reply
// or one with an invalid code gives unavailable.
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

// submitLocally accepts a submission at this node once its dependencies are checked.
// With mayForward, the submission may go to the leader instead of the local queue.
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
		rejection := unavailable
		if result.rejectReason != "" {
			rejection = Answer{Code: 422, Status: wire.JobStatus{ID: result.rejectReason}}
		}
		c.rejectUnlessKnown(job.ID, rejection, reply)
	})
}

// enqueue queues a submission for the next transaction, forwards it to the leader, or
// refuses it with a time after which to retry.
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

// queueSubmission appends a submission to the queue.
func (c *Core) queueSubmission(s *submission) {
	bytes := 0
	for _, ch := range s.changes {
		bytes += len(ch.PutKey) + len(ch.Value)
	}
	c.submissions.queue.Push(s.account, c.submissionRank(s.job), len(s.changes), bytes, s.receivedAt, s)
}

// dependenciesKey returns the key of a record that holds some of a job's dependencies.
func dependenciesKey(job string, part int) string {
	return fmt.Sprintf("%s%s%s%04d", jobPrefix, job, dependenciesSuffix, part)
}

// jobChanges returns the changes that create a job, its record first. If its dependencies
// do not fit in the record, all of them go to further keys, written in the same
// transaction. If the job exceeds the limits of the state service, the reason is returned
// instead.
func (c *Core) jobChanges(job *wire.Job) ([]wire.Change, string) {
	limits := c.stateLimits()
	limit := limits.ValueBytes()
	rec := jobRecord{Job: *job, AcceptedAt: int64(c.env.Wall())}
	value := wire.Encode(&rec)
	changes := []wire.Change{{PutKey: jobPrefix + job.ID}}
	if wire.JSONSize(value) > limit {
		rec.Job.DependsOn, rec.ExtraDependencyKeys = nil, 1
		value = wire.Encode(&rec)
		if wire.JSONSize(value) > limit-16 {
			return nil, fmt.Sprintf("too large: a job's record without its awaits may take %d bytes", limit-16)
		}
		var part dependenciesRecord
		size := 0
		flush := func() {
			changes = append(changes, wire.Change{PutKey: dependenciesKey(job.ID, len(changes)-1), Value: wire.Encode(&part)})
			part, size = dependenciesRecord{}, 0
		}
		for _, id := range job.DependsOn {
			idSize := len(id) + 3
			if size+idSize > limit-16 {
				flush()
			}
			part.DependsOn = append(part.DependsOn, id)
			size += idSize
		}
		flush()
		rec.ExtraDependencyKeys = len(changes) - 1
		value = wire.Encode(&rec)
	}
	changes[0].Value = value
	if size := changesSize(changes) + txnOverhead; len(changes) > limits.TxnOps || size > wire.MaxBody {
		return nil, fmt.Sprintf("awaits: too long, a job may take %d records of %d bytes each and %d bytes in all", limits.TxnOps, limit, wire.MaxBody-txnOverhead)
	}
	return changes, ""
}

// unrunnableReason returns why a job can never run, or "" if it can.
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

// commitSubmissions creates queued jobs in one transaction. If a job exists already,
// unfinished or finished, its guard fails and its status is the answer instead.
func (c *Core) commitSubmissions() {
	c.writeBudget.SetWaiting(admit.SubmissionWrites, c.submissions.queue.Len() > 0)
	if c.submissions.busy || c.submissions.queue.Len() == 0 {
		return
	}
	now := c.env.Now()
	at := stdTime(now)
	// A submission with more changes than the budget's burst is sent once the budget is full.
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
	c.env.State().Txn(txn, func(outcome store.Outcome, answer *wire.TxnAnswer) {
		c.submissions.busy = false
		switch outcome {
		case store.OK:
			c.lastStateContact = c.env.Now()
			// In an unchanged term, only this leader can have ended the jobs since, and it would know.
			c.answerCreated(batch, leading && c.elector.Leading() && c.term == term && c.loaded)
		case store.Failed:
			c.handleFailedGuards(batch, answer.FailedGuards)
		case store.Invalid:
			c.resubmit(batch, txn.Then)
		default:
			// The jobs may or may not have been created: a retry by the user settles it.
			for _, s := range batch {
				s.reply(unavailable)
			}
		}
		c.commitSubmissions()
	})
}

// collectSubmissions removes submissions from the queue for one transaction of at most
// maxChanges changes; the first submission may exceed that.
func (c *Core) collectSubmissions(maxChanges int) ([]*submission, *wire.Txn) {
	txn := &wire.Txn{}
	var batch []*submission
	seen := map[string]bool{}
	bytes := txnOverhead
	fits := func(s *submission) bool {
		bytes += changesSize(s.changes) + 4*changeOverhead // the overhead covers the guards
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

// answerCreated answers submissions whose jobs were written. With addJobs, this node is
// the leader and adds the jobs to memory.
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

// handleFailedGuards handles a transaction that failed because some of its jobs exist:
// those are answered with their status, the others are queued again. If no failed guard is
// given, all users are answered that they should retry.
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
				if a.Code == 404 { // contradicts the failed guard: the job's record exists
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

// addSubmitted adds a job to memory that this node, the leader, has just created.
func (c *Core) addSubmitted(s *submission) {
	items := make([]wire.Item, 0, len(s.changes))
	for _, ch := range s.changes {
		items = append(items, wire.Item{Key: ch.PutKey, Value: ch.Value})
	}
	c.addJobRecords(items, nil)
}

// resubmit handles submissions that the state service rejected as invalid. If the
// rejection shows that the limits of the state service are lower now, the changes are
// rendered again within these limits and queued. Otherwise one of the submissions is
// invalid, and all users are answered that they should retry, so that the submissions come
// one by one.
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

// Status answers a user's query for a job. The leader answers from memory; any other
// node asks the leader and, if that fails, reads the state service, which holds every
// state that was ever sent to a user.
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

// statusOnLeader answers a query on the leader from memory, or from the state service if the
// job is not in memory or if it is uncertain whether its end was committed.
func (c *Core) statusOnLeader(id string, reply func(Answer)) {
	if j := c.jobs[id]; j == nil || !j.InDoubt() {
		if a, ok := c.answerFromMemory(id); ok {
			reply(a)
			return
		}
	}
	c.lookupStatus(id, reply)
}

// statusOf returns the committed status of a job: a state that was sent to a user must
// outlive this leader.
func statusOf(j *sched.Job) wire.JobStatus {
	status := wire.JobStatus{ID: j.ID, Phase: j.CommittedPhase, Done: j.DoneCount}
	if status.Phase != "" {
		return status
	}
	status.Phase = wire.PhaseQueued
	if j.PlacedCount > 0 {
		status.Phase = wire.PhaseRunning
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && p.RunningSince > 0 && !p.Exited {
				status.Running++
			}
		}
	}
	if j.DoneCount == len(j.Tasks) {
		status.Done, status.Phase = j.DoneCount-1, wire.PhaseRunning // the job's end is not committed yet
	}
	return status
}

// lookupStatus reads a job's status from the state service: first the job's record, then
// its final record. Archiving moves a job in the same direction, so it cannot be missed.
func (c *Core) lookupStatus(id string, reply func(Answer)) {
	c.lookupRecord(newStatusLookup(id), id, reply)
}

// lookupRecord is lookupStatus for one job of a lookup, which may visit the jobs that it depends
// on as well.
func (c *Core) lookupRecord(lookup *statusLookup, id string, reply func(Answer)) {
	if !c.stateOK() || !c.readBudget.Allow(stdTime(c.env.Now()), admit.UserReads) {
		reply(unavailable)
		return
	}
	term, leading := c.term, c.elector.Leading()
	c.env.State().List(jobPrefix+id, "", maxLookupItems, func(outcome store.Outcome, list *wire.ItemList) {
		if outcome != store.OK {
			reply(unavailable)
			return
		}
		var record []byte
		var progress progressRecord
		for i := range list.Items {
			switch it := &list.Items[i]; it.Key {
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
					c.addJobRecords(list.Items, nil) // the watch has not delivered the job yet
					c.requestSchedulingPass()
				}
				if progress.ReadyAt == 0 {
					c.answerUnlessCancelled(lookup, record, Answer{Code: 200, Status: status}, reply)
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

// maxLookupItems is how many items a status lookup reads: the job's record, its progress
// and the further keys of its dependencies. A job with more keys is not added to memory by
// the lookup, but once the watch delivers it.
const maxLookupItems = 16

// Cancel cancels a job for a user, at the leader.
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

// cancelOnLeader cancels a job on the leader: no task of the job starts from now on, and
// the user is answered once the cancellation is committed.
func (c *Core) cancelOnLeader(id string, reply func(Answer)) {
	if !c.Serving() {
		reply(unavailable)
		return
	}
	j := c.jobs[id]
	if j == nil {
		// The watch may not have delivered the job yet; statusOnLeader adds it if it exists.
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
	c.cancelWithDependents(answer, j)
}

// commitJobEnd writes the end of a job. Once that is committed, it calls onCommitted,
// if not nil, then resolves the dependents and archives the job.
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
			j.UpdateCancellationState()
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
				c.queueCommandBatch(p.Machine)
			}
		}
		c.resolveDependents(j)
		c.recordJobEnd(j)
		c.archive(j)
	}))
	c.committer.startTransaction()
}

// dropUnsentPlacements ends the placements of a job whose launch was never sent, so that
// their tasks cannot be on a machine.
func (c *Core) dropUnsentPlacements(j *sched.Job) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Placement; p != nil && !p.Sent {
			c.endPlacement(p)
		}
	}
}

// recordArrival updates the smoothed demand of a class: for services the CPUs requested
// per second, for batch work the number of CPUs that it keeps busy.
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

// arrivalWindow is the time constant with which the arrival rates decay.
const arrivalWindow = 150 * clock.Second
