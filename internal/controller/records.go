package controller

import (
	"encoding/base64"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Keys in the state service. The node that accepts a job writes its record once, and those
// of the job's dependencies that do not fit in the record under further keys beside it. The
// leader writes the job's progress under the same prefix, so that one list request reads
// all of them as of one instant. From LevelTasks on, the records of a job's tasks have a
// prefix of their own.
const (
	jobPrefix          = "j/"
	finalPrefix        = "f/"
	machinePrefix      = "m/"
	taskPrefix         = "t/"
	catalogKey         = "catalog"
	learnedKey         = "learnt"
	progressSuffix     = "/s"
	dependenciesSuffix = "/w" // followed by a number; sorts after the progress
)

// jobRecord is an accepted job.
type jobRecord struct {
	Job                 wire.Job `msgpack:"job"`
	AcceptedAt          int64    `msgpack:"at"`              // time of day of acceptance, microseconds
	ExtraDependencyKeys int      `msgpack:"parts,omitempty"` // number of further keys that hold the dependencies; 0 if Job holds them
}

// dependenciesRecord holds some dependencies of a job whose jobRecord has no room for them.
type dependenciesRecord struct {
	DependsOn []string `msgpack:"awaits"`
}

// progressRecord is the progress of a job and, in the end, its final phase.
type progressRecord struct {
	Phase            string `msgpack:"phase,omitempty"` // final phases only
	Done             string `msgpack:"done"`            // one bit per task, base64; at LevelPlacements only
	DoneCount        int    `msgpack:"count"`
	Estimate         int64  `msgpack:"est"` // microseconds
	AnyTaskSucceeded bool   `msgpack:"good"`
	// Times of day in microseconds, which version 0.1 neither reads nor writes.
	ReadyAt       int64 `msgpack:"ready,omitempty"` // of a job with dependencies: when the last of them was done
	PipelineStart int64 `msgpack:"start,omitempty"` // when the pipeline of a job with dependencies started
	EndedAt       int64 `msgpack:"over,omitempty"`  // when the job ended
}

// finalRecord is the permanent record of an ended job.
type finalRecord struct {
	wire.JobStatus `msgpack:",inline"`
	EndedAt        int64 `msgpack:"over,omitempty"` // time of day, microseconds
	Service        bool  `msgpack:"service,omitempty"`
}

// placementRecord is a placement in the record of its machine, at LevelPlacements.
type placementRecord struct {
	Task     string  `msgpack:"t"`
	Attempt  uint64  `msgpack:"a"`
	Session  uint64  `msgpack:"s"`
	CPUs     float64 `msgpack:"c"`
	GPUs     float64 `msgpack:"g,omitempty"`
	Memory   float64 `msgpack:"m"` // GB
	Team     string  `msgpack:"w"`
	Priority int     `msgpack:"p"`
	Image    string  `msgpack:"i"`
}

// machineRecord is a machine with a record of its own, as below LevelGroups.
type machineRecord struct {
	Addr        string            `msgpack:"addr"`
	Type        string            `msgpack:"type"`
	Zone        string            `msgpack:"zone"`
	Spot        bool              `msgpack:"spot"`
	RequestedAt int64             `msgpack:"at"` // time of day of the rental, microseconds
	Images      []string          `msgpack:"images"`
	ImageSizes  []float64         `msgpack:"sizes"`
	Placements  []placementRecord `msgpack:"places"`
}

// learnedRecord holds statistics that the leader gathers and a new leader takes over.
type learnedRecord struct {
	SavedAt       int64              `msgpack:"at"`             // time of day, microseconds
	TeamUsage     map[string]float64 `msgpack:"use"`            // CPU-seconds of a team, decayed
	FetchRates    map[string]float64 `msgpack:"rates"`          // GB per second of a machine type
	ArrivalRates  map[string]float64 `msgpack:"arrivals"`       // of a class; see arrivalStats
	FirstArrivals map[string]int64   `msgpack:"since"`          // time of day of the first arrival of a class, microseconds
	Batch         map[string]bool    `msgpack:"batch"`          // whether a class is batch work
	SpotLosses    float64            `msgpack:"lost,omitempty"` // spot machines lost, decayed; see spotLosses
	SpotUpSeconds float64            `msgpack:"held,omitempty"` // seconds that spot machines were up, decayed; see spotLosses
	// ServedCounts holds two numbers for each account: recent jobs, and how many of them
	// were served in time. Their order is that of the settings; AccountsDigest identifies it.
	AccountsDigest uint32    `msgpack:"digest,omitempty"`
	ServedCounts   []float64 `msgpack:"served,omitempty"`
}

// saveMachine queues a machine's record: its properties, the images in its cache, and the
// placements that no task record of their jobs holds.
func (c *Core) saveMachine(m *sched.Machine, done func()) {
	class := classBackground
	if done != nil {
		class = classUrgent
	}
	if c.format.level >= LevelGroups {
		c.saveMachineInGroup(m, class, done)
		return
	}
	key := machinePrefix + m.ID
	c.committer.add(key, class, func() ([]wire.Change, bool) {
		if c.machines[m.ID] != m {
			return []wire.Change{{DeleteKey: key}}, true
		}
		rec := machineRecord{Addr: m.Addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot,
			RequestedAt: c.toWallTime(m.RequestedAt), Placements: []placementRecord{}}
		for image := range m.Images {
			rec.Images = append(rec.Images, image)
		}
		slices.Sort(rec.Images)
		for _, image := range rec.Images {
			rec.ImageSizes = append(rec.ImageSizes, m.ImageSizes[image])
		}
		for _, p := range m.Placements {
			if !p.InTaskRecord {
				rec.Placements = append(rec.Placements, placementRecord{p.Task, p.Attempt, p.Session,
					p.Need.CPUs, p.Need.GPUs, p.Need.Memory, p.Team, p.Priority, p.Image})
			}
		}
		slices.SortFunc(rec.Placements, func(a, b placementRecord) int { return strings.Compare(a.Task, b.Task) })
		value, limit := wire.Encode(&rec), c.stateLimits().ValueBytes()
		for len(rec.Images) > 0 && wire.JSONSize(value) > limit {
			// Tasks whose images are left out here only fetch them again.
			n := len(rec.Images) / 2
			rec.Images, rec.ImageSizes = rec.Images[:n], rec.ImageSizes[:n]
			value = wire.Encode(&rec)
		}
		if c.format.level >= LevelTasks && len(rec.Placements) > 0 && wire.JSONSize(value) > limit {
			return nil, false // until the task records hold the placements
		}
		return []wire.Change{{PutKey: key, Value: value}}, true
	}, c.whileInTerm(func() {
		m.Recorded, m.MayHaveOwnRecord = true, true
		if done != nil {
			done()
		}
	}))
}

// saveProgress queues a job's progress record.
func (c *Core) saveProgress(j *sched.Job, class int, done func()) {
	key := jobPrefix + j.ID + progressSuffix
	c.committer.add(key, class, func() ([]wire.Change, bool) {
		// If the job was archived meanwhile, its progress record must exist as long as its
		// job record: readers that find a job record alone take the job for queued.
		if c.jobs[j.ID] != j && c.committer.pending[finalPrefix+j.ID] == nil {
			return []wire.Change{{DeleteKey: key}}, true
		}
		rec := c.progressRecordOf(j)
		j.FinalPhaseSent = j.FinalPhaseSent || rec.Phase != ""
		return []wire.Change{{PutKey: key, Value: wire.Encode(rec)}}, true
	}, done)
}

// progressRecordOf returns a job's progress record in the format of the level in force.
func (c *Core) progressRecordOf(j *sched.Job) *progressRecord {
	if c.format.level < LevelTasks {
		rec := renderProgress(j, c.stateLimits().ValueBytes())
		c.setReadyTimes(j, rec)
		return rec
	}
	rec := renderProgress(j, 0) // the tasks have records of their own
	c.setReadyTimes(j, rec)
	if j.CommittedPhase == "" && rec.Phase != "" && j.EndedAt == 0 {
		j.EndedAt = c.env.Now()
	}
	if j.EndedAt != 0 {
		rec.EndedAt = c.toWallTime(j.EndedAt)
	}
	return rec
}

// setReadyTimes sets when a job with dependencies became ready and when its pipeline
// started.
func (c *Core) setReadyTimes(j *sched.Job, rec *progressRecord) {
	if len(j.Spec.DependsOn) > 0 && !j.HasUnmetDependencies() && j.ReadyAt > 0 {
		rec.ReadyAt, rec.PipelineStart = c.toWallTime(j.ReadyAt), c.toWallTime(j.PipelineStart)
	}
}

// toWallTime converts a reading of the steady clock to a time of day in microseconds.
func (c *Core) toWallTime(steadyTime Micros) int64 {
	return int64(steadyTime - c.env.Now() + c.env.Wall())
}

// toSteadyTime converts a time of day in microseconds to a reading of the steady clock,
// which is at most the present one.
func (c *Core) toSteadyTime(wallTime int64) Micros {
	return min(c.env.Now(), Micros(wallTime)-c.env.Wall()+c.env.Now())
}

// renderProgress returns a job's progress record, which takes at most limit bytes when
// encoded. If the job has too many tasks for that, its last ones are not recorded as done:
// the next leader starts them again, and they exit with their result at once. A larger
// record would be refused by the state service and block all others.
func renderProgress(j *sched.Job, limit int) *progressRecord {
	rec := &progressRecord{DoneCount: j.DoneCount, Estimate: int64(j.Estimate), AnyTaskSucceeded: j.AnyTaskSucceeded}
	switch {
	case j.Cancelled:
		rec.Phase = wire.PhaseCancelled
	case j.Ended:
		rec.Phase = wire.PhaseDone
	}
	if rec.Phase == "" && j.DoneCount > 0 {
		bits := make([]byte, min((len(j.Tasks)+7)/8, max(limit-progressOverhead, 0)*3/4))
		for i := range j.Tasks[:min(len(j.Tasks), 8*len(bits))] {
			if j.Tasks[i].State == sched.Done {
				bits[i/8] |= 1 << (i % 8)
			}
		}
		rec.Done = base64.StdEncoding.EncodeToString(bits)
	}
	return rec
}

// progressOverhead is an upper bound, in bytes, of what a progress record needs besides
// the bits of its tasks.
const progressOverhead = 256

// archive replaces the records of an ended job by a final record, which a new leader need
// not load. A job on which others still depend is kept, so that a new leader need not read
// its final record separately.
func (c *Core) archive(j *sched.Job) {
	if j.CommittedPhase == "" || j.PlacedCount > 0 || j.HasDependents() || c.jobs[j.ID] != j {
		return
	}
	final := finalRecord{JobStatus: wire.JobStatus{ID: j.ID, Phase: j.CommittedPhase, Done: j.DoneCount}, Service: j.Service()}
	if j.EndedAt != 0 {
		final.EndedAt = c.toWallTime(j.EndedAt)
	}
	delete(c.jobs, j.ID)
	c.cacheFinalRecord(&final)
	// One transaction, so that a reader sees either the job or its final record.
	c.committer.add(finalPrefix+j.ID, classBackground, func() ([]wire.Change, bool) {
		return []wire.Change{{PutKey: finalPrefix + j.ID, Value: wire.Encode(&final)},
			{DeleteKey: jobPrefix + j.ID}, {DeleteKey: jobPrefix + j.ID + progressSuffix}}, true
	}, nil)
	for first, parts := range j.TaskRecords {
		c.deleteTasks(j.ID, first, parts)
	}
	for i := range j.ExtraDependencyKeys {
		c.committer.put(dependenciesKey(j.ID, i), func() []byte { return nil }, nil)
	}
}

// cacheFinalRecord keeps a final record in memory and drops the oldest beyond the limit.
func (c *Core) cacheFinalRecord(record *finalRecord) {
	if _, ok := c.finalRecords[record.ID]; !ok {
		c.finalRecordOrder = append(c.finalRecordOrder, record.ID)
	}
	c.finalRecords[record.ID] = *record
	if len(c.finalRecordOrder) > c.cfg.MaxFinalRecords() {
		delete(c.finalRecords, c.finalRecordOrder[0])
		c.finalRecordOrder = c.finalRecordOrder[1:]
	}
}

// cachedFinalRecord returns the final record of a job from memory, or nil.
func (c *Core) cachedFinalRecord(id string) *finalRecord {
	if record, ok := c.finalRecords[id]; ok {
		return &record
	}
	return nil
}

// load reads all records from the state service at the beginning of a term.
func (c *Core) load(term uint64) {
	stillLeading := func() bool { return c.elector.Leading() && c.term == term }
	progress := map[string]*progressRecord{}
	var groups, machines, tasks, intents []wire.Item
	var jobsRevision uint64
	finish := func() {
		for id, p := range progress {
			if j := c.jobs[id]; j != nil {
				c.restoreProgress(j, p)
			} else {
				c.committer.put(jobPrefix+id+progressSuffix, func() []byte { return nil }, nil)
			}
		}
		// Done tasks first: a record that still holds a placement of one may be older.
		taskRecords := c.restoreDoneTasks(tasks)
		for i := range machines {
			c.restoreMachine(&machines[i])
		}
		for i := range groups {
			c.restoreGroup(&groups[i])
		}
		for _, stored := range taskRecords {
			c.restorePlacements(stored)
		}
		for _, j := range c.jobs {
			c.queuePendingTasks(j)
		}
		c.sortMachines()
		c.resumeIntents(intents)
		c.loaded = true
		slog.Info("records loaded", "term", term, "jobs", len(c.jobs), "machines", len(c.machines), "level", c.format.level)
		if c.format.level >= LevelTasks {
			c.migrateRecords()
		}
		c.linkLoadedJobs()
		for _, j := range c.jobs {
			c.archive(j)
		}
		c.watchJobs(term, jobsRevision)
		c.reconcileMachineList(term, "", nil, 0)
		c.saveLearned(term)
		c.handleDeferredReports()
		c.requestSchedulingPass()
	}
	readAll := func(prefix string, then func([]wire.Item, uint64)) {
		c.listAll(stillLeading, prefix, func(items []wire.Item, revision uint64) {
			c.committer.versions.learn(items)
			then(items, revision)
		})
	}
	c.readLevelsBeforeLoad(stillLeading, func() {
		readAll(jobPrefix, func(items []wire.Item, revision uint64) {
			jobsRevision = revision
			c.addJobRecords(items, progress)
			readAll(taskPrefix, func(items []wire.Item, _ uint64) {
				tasks = items
				// A machine's own record is deleted only after its group's record is written, so
				// reading the machines' own records before the groups misses no machine.
				readAll(machinePrefix, func(items []wire.Item, _ uint64) {
					machines = items
					readAll(groupPrefix, func(items []wire.Item, _ uint64) {
						groups = items
						readAll(intentPrefix, func(items []wire.Item, _ uint64) {
							intents = items
							c.env.State().Get(learnedKey, func(outcome store.Outcome, item *wire.Item) {
								if !stillLeading() {
									return
								}
								if outcome == store.OK {
									c.committer.versions.learn([]wire.Item{*item})
									c.restoreLearned(item.Value)
								}
								c.awaitCatalog(stillLeading, finish)
							})
						})
					})
				})
			})
		})
	})
}

// readLevelsBeforeLoad reads the format levels, with retries, before the new leader
// writes anything.
func (c *Core) readLevelsBeforeLoad(stillLeading func() bool, then func()) {
	c.readLevels(func(ok bool) {
		switch {
		case !stillLeading():
		case ok:
			then()
		default:
			c.env.After(100*clock.Millisecond, func() { c.readLevelsBeforeLoad(stillLeading, then) })
		}
	})
}

// addJobRecords adds the jobs among the items and, once the term's records are loaded, links them.
// If progress is not nil, it receives the progress records among the items, by job id.
func (c *Core) addJobRecords(items []wire.Item, progress map[string]*progressRecord) {
	dependencyValues := map[string][][]byte{}
	for i := range items {
		key := strings.TrimPrefix(items[i].Key, jobPrefix)
		if id, tail, found := strings.Cut(key, "/"); found && strings.HasPrefix("/"+tail, dependenciesSuffix) {
			dependencyValues[id] = append(dependencyValues[id], items[i].Value)
		}
	}
	var added []*sched.Job
	for i := range items {
		id, tail, found := strings.Cut(strings.TrimPrefix(items[i].Key, jobPrefix), "/")
		switch {
		case !found:
			if j := c.addJobRecord(items[i].Value, dependencyValues[id]); j != nil {
				added = append(added, j)
			}
		case "/"+tail == progressSuffix && progress != nil:
			p := new(progressRecord)
			if msgpack.Unmarshal(items[i].Value, p) == nil {
				progress[id] = p
			}
		}
	}
	if c.loaded {
		c.linkDependencies(added...)
	}
}

// awaitCatalog calls then once the catalog of machine types is known, without which no
// machine can be restored.
func (c *Core) awaitCatalog(stillLeading func() bool, then func()) {
	if !stillLeading() {
		return
	}
	if c.catalog == nil {
		c.env.After(100*clock.Millisecond, func() { c.awaitCatalog(stillLeading, then) })
		return
	}
	then()
}

// listAll reads all keys of a prefix, page by page with retries, and passes the items and
// the revision of the first page to done.
func (c *Core) listAll(stillLeading func() bool, prefix string, done func([]wire.Item, uint64)) {
	var all []wire.Item
	var revision uint64
	var page func(after string)
	page = func(after string) {
		c.env.State().List(prefix, after, 500, func(outcome store.Outcome, list *wire.ItemList) {
			switch {
			case !stillLeading():
			case outcome != store.OK:
				c.env.After(100*clock.Millisecond, func() { page(after) })
			default:
				if after == "" {
					revision = list.Revision
				}
				all = append(all, list.Items...)
				if list.More && len(list.Items) > 0 {
					page(list.Items[len(list.Items)-1].Key)
					return
				}
				done(all, revision)
			}
		})
	}
	page("")
}

// decodeJobRecord decodes a job's record and the values of the further keys that hold its
// dependencies, if there are any.
func decodeJobRecord(value []byte, dependencyValues [][]byte) (*jobRecord, error) {
	rec := new(jobRecord)
	if err := msgpack.Unmarshal(value, rec); err != nil {
		return nil, err
	}
	if !wire.ValidID(rec.Job.ID) {
		return nil, fmt.Errorf("invalid job id %q", rec.Job.ID)
	}
	if len(dependencyValues) != rec.ExtraDependencyKeys {
		return nil, fmt.Errorf("job %s has %d of %d further dependency keys", rec.Job.ID, len(dependencyValues), rec.ExtraDependencyKeys)
	}
	for _, raw := range dependencyValues {
		var rest dependenciesRecord
		if err := msgpack.Unmarshal(raw, &rest); err != nil {
			return nil, err
		}
		rec.Job.DependsOn = append(rec.Job.DependsOn, rest.DependsOn...)
	}
	return rec, nil
}

// addJobRecord adds a job from its record, without linking it. It returns nil if the job is known
// already or the record cannot be read.
func (c *Core) addJobRecord(value []byte, dependencyValues [][]byte) *sched.Job {
	rec, err := decodeJobRecord(value, dependencyValues)
	if err != nil {
		slog.Error("job record cannot be read", "err", err)
		return nil
	}
	if c.jobs[rec.Job.ID] != nil {
		return nil
	}
	if _, final := c.finalRecords[rec.Job.ID]; final {
		return nil
	}
	spec := &rec.Job
	if c.format.maxLevel < LevelTasks {
		spec.DependsOn = nil // version 0.1 does not support dependencies
	}
	j := &sched.Job{
		Spec: spec, ID: spec.ID,
		Submitted:           c.toSteadyTime(rec.AcceptedAt),
		Estimate:            clock.FromSeconds(spec.Estimate),
		Tasks:               make([]sched.Task, spec.Tasks),
		FailedOn:            map[string]bool{},
		TaskRecords:         map[int]int{},
		ExtraDependencyKeys: rec.ExtraDependencyKeys,
	}
	j.Init()
	j.ComputeSize(c.catalog)
	c.allowance.MarkAccepted(j.ID)
	c.jobs[j.ID] = j
	if len(spec.DependsOn) == 0 {
		c.setReady(j, j.Submitted)
	} else {
		j.UnmetDependencies = 1 // until linkDependencies has run
	}
	return j
}

// setReady marks a job as ready and computes the target times of its objectives, which
// count from then.
func (c *Core) setReady(j *sched.Job, at Micros) {
	j.UnmetDependencies, j.ReadyAt, j.FinishTargets, j.StartTargets, j.LastStartTarget = 0, at, nil, nil, 0
	for _, o := range c.cfg.Params.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch target := j.ReadyAt + clock.FromSeconds(o.Within); o.Kind {
		case "finished":
			j.FinishTargets = append(j.FinishTargets, target)
		case "wait":
			j.StartTargets, j.LastStartTarget = append(j.StartTargets, target), max(j.LastStartTarget, target)
		}
	}
	slices.Sort(j.FinishTargets)
	slices.Sort(j.StartTargets)
	if j.StarvationDeadline = 0; c.policy.StartWaitLimit > 0 {
		j.StarvationDeadline = at + c.policy.StartWaitLimit
	}
}

// queuePendingTasks fills a job's queue with its pending tasks.
func (c *Core) queuePendingTasks(j *sched.Job) {
	j.Queue = j.Queue[:0]
	if !j.Active() || j.HasUnmetDependencies() {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == sched.Pending {
			j.Queue = append(j.Queue, int32(i))
		}
	}
}

// restoreProgress applies a progress record to a job that was just loaded.
func (c *Core) restoreProgress(j *sched.Job, p *progressRecord) {
	j.AnyTaskSucceeded = p.AnyTaskSucceeded
	if p.Estimate > 0 {
		j.Estimate = Micros(p.Estimate)
	}
	bits, _ := base64.StdEncoding.DecodeString(p.Done)
	for i := range j.Tasks {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			j.Tasks[i].State = sched.Done
			j.DoneCount++
		}
	}
	if p.EndedAt != 0 {
		j.EndedAt = c.toSteadyTime(p.EndedAt)
	}
	if p.ReadyAt != 0 {
		j.PipelineStart = min(j.PipelineStart, c.toSteadyTime(p.PipelineStart))
		c.setReady(j, c.toSteadyTime(p.ReadyAt))
	}
	switch p.Phase {
	case wire.PhaseCancelled:
		j.Cancelled, j.Ended, j.CommittedPhase, j.DoneCount = true, true, p.Phase, p.DoneCount
	case wire.PhaseDone:
		j.Ended, j.CommittedPhase, j.DoneCount = true, p.Phase, p.DoneCount
	}
}

// restoreMachine adds a machine from a record of its own, with the placements in it.
func (c *Core) restoreMachine(item *wire.Item) {
	var rec machineRecord
	id := strings.TrimPrefix(item.Key, machinePrefix)
	if err := msgpack.Unmarshal(item.Value, &rec); err != nil {
		slog.Error("machine record cannot be read", "machine", id, "err", err)
		return
	}
	m := c.addMachine(id, rec.Addr, rec.Type, rec.Zone, rec.Spot, Micros(rec.RequestedAt)-c.env.Wall()+c.env.Now())
	if m == nil {
		return
	}
	for i, image := range rec.Images {
		if i < len(rec.ImageSizes) {
			m.TouchImage(image, rec.ImageSizes[i], c.env.Now())
		}
	}
	m.Recorded, m.MayHaveOwnRecord = true, true
	for _, r := range rec.Placements {
		if jobID, index, ok := wire.SplitTask(r.Task); ok {
			c.restorePlacement(c.jobs[jobID], &sched.Placement{Index: index, Task: r.Task, Attempt: r.Attempt, Machine: m,
				Session: r.Session, Need: sched.Resources{CPUs: r.CPUs, GPUs: r.GPUs, Memory: r.Memory}, Team: r.Team,
				Priority: r.Priority, Image: r.Image})
		}
	}
}

// restorePlacement adds a placement from a record. The record may still hold a task that
// is done, or one that was placed elsewhere after proof that it does not run there; the
// placement with the highest attempt is the current one.
func (c *Core) restorePlacement(j *sched.Job, placement *sched.Placement) {
	if old := placement.Machine.Placements[placement.Task]; old != nil && old.Attempt >= placement.Attempt {
		old.InTaskRecord = old.InTaskRecord || placement.InTaskRecord && old.Attempt == placement.Attempt
		return
	}
	placement.Committed, placement.Sent, placement.Inherited = true, true, true
	if j != nil && placement.Index < len(j.Tasks) && j.Tasks[placement.Index].State != sched.Done {
		if earlier := j.Tasks[placement.Index].Placement; earlier == nil {
			placement.Job = j
		} else if earlier.Attempt < placement.Attempt {
			earlier.Job.PlacedCount--
			earlier.Job = nil
			j.Tasks[placement.Index].Placement = nil
			placement.Job = j
		}
		if placement.Job != nil && j.Gang() {
			j.GangAttempt = max(j.GangAttempt, placement.Attempt)
		}
	}
	sched.Attach(placement, c.teams)
}

// restoreLearned applies the statistics of an earlier leader.
func (c *Core) restoreLearned(value []byte) {
	var rec learnedRecord
	if msgpack.Unmarshal(value, &rec) != nil {
		return
	}
	now := c.env.Now()
	at := c.toSteadyTime(rec.SavedAt)
	for name, use := range rec.TeamUsage {
		if t := c.teams[name]; t != nil {
			t.Usage, t.UsageUpdatedAt = use, at
		}
	}
	for name, r := range rec.FetchRates {
		if r > 0 {
			c.fetchRates[name] = r
		}
	}
	c.spotLosses.lost, c.spotLosses.upSeconds = rec.SpotLosses, rec.SpotUpSeconds
	if rec.AccountsDigest == c.accountIndex.Digest {
		c.objectiveTracker.Restore(rec.ServedCounts, at)
	}
	for class, r := range rec.ArrivalRates {
		c.arrivals[class] = &arrivalStats{rate: r, updatedAt: at, batch: rec.Batch[class],
			firstArrival: min(at, Micros(rec.FirstArrivals[class])-c.env.Wall()+now)}
	}
}

// saveLearned queues the learned statistics now and every ten seconds of the term.
func (c *Core) saveLearned(term uint64) {
	if !c.elector.Leading() || c.term != term {
		return
	}
	c.committer.put(learnedKey, func() []byte { return c.renderLearned(c.stateLimits().ValueBytes()) }, nil)
	c.env.After(10*clock.Second, func() { c.saveLearned(term) })
}

// renderLearned returns the encoded statistics, at most limit bytes in JSON. If they do not fit,
// it leaves out first the served counts, then the arrivals of the classes with the lowest
// rates, then the fetch rates and last the usage of teams; the next leader learns them
// again.
func (c *Core) renderLearned(limit int) []byte {
	rec := learnedRecord{SavedAt: int64(c.env.Wall()), TeamUsage: map[string]float64{},
		FetchRates: map[string]float64{}, ArrivalRates: map[string]float64{}, FirstArrivals: map[string]int64{}, Batch: map[string]bool{}}
	now := c.env.Now()
	rec.SpotLosses, rec.SpotUpSeconds = roundToSixDigits(c.spotLosses.lost), roundToSixDigits(c.spotLosses.upSeconds)
	if c.policy.Admission.Enabled {
		rec.AccountsDigest = c.accountIndex.Digest
		for _, x := range c.objectiveTracker.Counts(now) {
			rec.ServedCounts = append(rec.ServedCounts, roundToSixDigits(x))
		}
	}
	for name, r := range c.fetchRates {
		rec.FetchRates[name] = roundToSixDigits(r)
	}
	for name, t := range c.teams {
		t.DecayUsage(now, c.policy.UsageWindow)
		rec.TeamUsage[name] = roundToSixDigits(t.Usage)
	}
	for class, a := range c.arrivals {
		rec.ArrivalRates[class], rec.Batch[class] = roundToSixDigits(a.rateAt(now)), a.batch
		rec.FirstArrivals[class] = c.toWallTime(a.firstArrival)
	}
	value := wire.Encode(&rec)
	for wire.JSONSize(value) > limit {
		class, least := "", math.Inf(1)
		for _, name := range slices.Sorted(maps.Keys(rec.ArrivalRates)) {
			if rec.ArrivalRates[name] < least {
				class, least = name, rec.ArrivalRates[name]
			}
		}
		switch {
		case rec.ServedCounts != nil:
			rec.ServedCounts, rec.AccountsDigest = nil, 0
		case class != "":
			delete(rec.ArrivalRates, class)
			delete(rec.FirstArrivals, class)
			delete(rec.Batch, class)
		case len(rec.FetchRates) > 0:
			rec.FetchRates = nil
		default:
			rec.TeamUsage = nil
			return wire.Encode(&rec)
		}
		value = wire.Encode(&rec)
	}
	return value
}

// roundToSixDigits rounds to six significant digits, more than the accuracy of the
// statistics. That shortens their JSON form, in which the state service counts sizes.
func roundToSixDigits(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	lastDigit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-5)
	if lastDigit >= 1 {
		return math.Round(x/lastDigit) * lastDigit
	}
	return math.Round(x/lastDigit) / math.Round(1/lastDigit)
}

// watchJobs adds the jobs that other nodes accept, from the given revision on.
func (c *Core) watchJobs(term, revision uint64) {
	if !c.elector.Leading() || c.term != term {
		return
	}
	c.env.State().Watch(jobPrefix, revision, 10_000, func(outcome store.Outcome, answer *wire.WatchAnswer) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		switch outcome {
		case store.OK:
			items := make([]wire.Item, 0, len(answer.Events))
			for _, e := range answer.Events {
				if e.PutKey != "" {
					items = append(items, wire.Item{Key: e.PutKey, Value: e.Value})
				}
			}
			c.addJobRecords(items, nil)
			if len(answer.Events) > 0 {
				c.requestSchedulingPass()
			}
			c.watchJobs(term, answer.Revision)
		case store.Gone:
			c.listAll(func() bool { return c.elector.Leading() && c.term == term }, jobPrefix,
				func(items []wire.Item, revision uint64) {
					c.addJobRecords(items, nil)
					c.requestSchedulingPass()
					c.watchJobs(term, revision)
				})
		default:
			c.env.After(200*clock.Millisecond, func() { c.watchJobs(term, revision) })
		}
	})
}
