package controller

import (
	"encoding/base64"
	"log/slog"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Keys in the state service. A job's record is written once by the node that
// accepted it, its progress by the leader, under the same prefix so that one
// list reads both at one instant.
const (
	jobPrefix     = "j/"
	finalPrefix   = "f/"
	machinePrefix = "m/"
	catalogKey    = "catalog"
	learntKey     = "learnt"
	progressTail  = "/s"
)

type jobRecord struct {
	Job wire.Job `msgpack:"job"`
	At  int64    `msgpack:"at"` // time of day of acceptance, microseconds
}

type progressRecord struct {
	Phase    string `msgpack:"phase,omitempty"` // final phases only
	Done     string `msgpack:"done"`            // bit per task, base64
	Count    int    `msgpack:"count"`
	Estimate int64  `msgpack:"est"`
	Good     bool   `msgpack:"good"`
}

type placeRecord struct {
	Task     string  `msgpack:"t"`
	Attempt  uint64  `msgpack:"a"`
	Session  uint64  `msgpack:"s"`
	CPUs     float64 `msgpack:"c"`
	GPUs     float64 `msgpack:"g,omitempty"`
	Memory   float64 `msgpack:"m"`
	Team     string  `msgpack:"w"`
	Priority int     `msgpack:"p"`
	Image    string  `msgpack:"i"`
}

type machineRecord struct {
	Addr   string        `msgpack:"addr"`
	Type   string        `msgpack:"type"`
	Zone   string        `msgpack:"zone"`
	Spot   bool          `msgpack:"spot"`
	At     int64         `msgpack:"at"` // time of day of the rental
	Images []string      `msgpack:"images"`
	Sizes  []float64     `msgpack:"sizes"`
	Places []placeRecord `msgpack:"places"`
}

type learntRecord struct {
	At       int64              `msgpack:"at"`
	Use      map[string]float64 `msgpack:"use"`
	Rates    map[string]float64 `msgpack:"rates"`
	Arrivals map[string]float64 `msgpack:"arrivals"`
	Since    map[string]int64   `msgpack:"since"` // time of day of a class's first arrival
	Batch    map[string]bool    `msgpack:"batch"`
}

func (c *Core) saveMachine(m *sched.Machine, done func()) {
	c.commit.put(machinePrefix+m.ID, func() []byte {
		if c.machines[m.ID] != m {
			return nil
		}
		rec := machineRecord{Addr: m.Addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot,
			At: int64(m.Since - c.env.Now() + c.env.Wall()), Places: []placeRecord{}}
		for image := range m.Images {
			rec.Images = append(rec.Images, image)
		}
		slices.Sort(rec.Images)
		for _, image := range rec.Images {
			rec.Sizes = append(rec.Sizes, m.Sizes[image])
		}
		for _, p := range m.Places {
			rec.Places = append(rec.Places, placeRecord{p.Task, p.Attempt, p.Session,
				p.Need.CPUs, p.Need.GPUs, p.Need.Memory, p.Team, p.Priority, p.Image})
		}
		slices.SortFunc(rec.Places, func(a, b placeRecord) int { return strings.Compare(a.Task, b.Task) })
		return wire.Encode(&rec)
	}, done)
}

func (c *Core) saveProgress(j *sched.Job, done func()) {
	c.commit.put(jobPrefix+j.ID+progressTail, func() []byte {
		return wire.Encode(progressOf(j, int(c.cfg.Params.State.ValueKB*1024)))
	}, done)
}

// progressOf renders a job's progress in at most limit bytes. Of a job whose
// tasks are too many for that, the last ones are not remembered as done: the
// next leader starts those again, and they exit with their result at once. A
// record that the state service refuses would hold up all others.
func progressOf(j *sched.Job, limit int) *progressRecord {
	r := &progressRecord{Count: j.DoneCount, Estimate: int64(j.Estimate), Good: j.Succeeded}
	switch {
	case j.Cancelled:
		r.Phase = wire.PhaseCancelled
	case j.Ended:
		r.Phase = wire.PhaseDone
	}
	if r.Phase == "" && j.DoneCount > 0 {
		bits := make([]byte, min((len(j.Tasks)+7)/8, max(limit-progressRest, 0)*3/4))
		for i := range j.Tasks[:min(len(j.Tasks), 8*len(bits))] {
			if j.Tasks[i].State == sched.Done {
				bits[i/8] |= 1 << (i % 8)
			}
		}
		r.Done = base64.StdEncoding.EncodeToString(bits)
	}
	return r
}

// progressRest is the room that a progress record needs beside its bits.
const progressRest = 256

// archive moves an ended job out of the records that a takeover reads.
func (c *Core) archive(j *sched.Job) {
	if j.Shown == "" || j.Placed > 0 || c.jobs[j.ID] != j {
		return
	}
	final := wire.JobStatus{ID: j.ID, Phase: j.Shown, Done: j.DoneCount}
	delete(c.jobs, j.ID)
	c.remember(final)
	c.commit.put(finalPrefix+j.ID, func() []byte { return wire.Encode(&final) }, c.during(func() {
		// Only after the final record exists: a reader looks for the job first.
		none := func() []byte { return nil }
		c.commit.put(jobPrefix+j.ID, none, c.during(func() {
			c.commit.put(jobPrefix+j.ID+progressTail, none, nil)
		}))
	}))
}

// maxFinals bounds the final states kept in memory; all are in the state
// service.
const maxFinals = 20_000

func (c *Core) remember(s wire.JobStatus) {
	if _, ok := c.finals[s.ID]; !ok {
		c.finalsOrder = append(c.finalsOrder, s.ID)
	}
	c.finals[s.ID] = s
	if len(c.finalsOrder) > maxFinals {
		delete(c.finals, c.finalsOrder[0])
		c.finalsOrder = c.finalsOrder[1:]
	}
}

// load reads everything at the beginning of a term.
func (c *Core) load(term uint64) {
	still := func() bool { return c.lead.Leading() && c.term == term }
	progress := map[string]*progressRecord{}
	var machines []wire.Item
	var since uint64
	finish := func() {
		for id, p := range progress {
			if j := c.jobs[id]; j != nil {
				c.restore(j, p)
			} else {
				c.commit.put(jobPrefix+id+progressTail, func() []byte { return nil }, nil)
			}
		}
		for i := range machines {
			c.restoreMachine(&machines[i])
		}
		for _, j := range c.jobs {
			c.requeue(j)
		}
		c.sortMachines()
		c.loaded = true
		slog.Info("loaded", "term", term, "jobs", len(c.jobs), "machines", len(c.machines))
		for _, j := range c.jobs {
			c.archive(j)
		}
		c.watchJobs(term, since)
		c.list(term, "")
		c.saveLearnt(term)
		c.wake()
	}
	c.listAll(still, jobPrefix, func(items []wire.Item, revision uint64) {
		since = revision
		for i := range items {
			id, isProgress := strings.CutSuffix(strings.TrimPrefix(items[i].Key, jobPrefix), progressTail)
			if isProgress {
				p := new(progressRecord)
				if msgpack.Unmarshal(items[i].Value, p) == nil {
					progress[id] = p
				}
				continue
			}
			c.addRecord(items[i].Value)
		}
		c.listAll(still, machinePrefix, func(items []wire.Item, _ uint64) {
			machines = items
			c.env.State().Get(learntKey, func(o store.Outcome, it *wire.Item) {
				if !still() {
					return
				}
				if o == store.OK {
					c.restoreLearnt(it.Value)
				}
				c.withCatalog(still, finish)
			})
		})
	})
}

// withCatalog waits for the machine types, without which no machine can be
// judged.
func (c *Core) withCatalog(still func() bool, then func()) {
	if !still() {
		return
	}
	if c.catalog == nil {
		c.env.After(100*clock.Millisecond, func() { c.withCatalog(still, then) })
		return
	}
	then()
}

// listAll reads all keys of a prefix; revision is that of the first page.
func (c *Core) listAll(still func() bool, prefix string, done func([]wire.Item, uint64)) {
	var all []wire.Item
	var revision uint64
	var page func(after string)
	page = func(after string) {
		c.env.State().List(prefix, after, 500, func(o store.Outcome, l *wire.ItemList) {
			switch {
			case !still():
			case o != store.OK:
				c.env.After(100*clock.Millisecond, func() { page(after) })
			default:
				if after == "" {
					revision = l.Revision
				}
				all = append(all, l.Items...)
				if l.More && len(l.Items) > 0 {
					page(l.Items[len(l.Items)-1].Key)
					return
				}
				done(all, revision)
			}
		})
	}
	page("")
}

// addRecord enters a job from its record, unless it is known.
func (c *Core) addRecord(value []byte) *sched.Job {
	var rec jobRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil || !wire.ValidID(rec.Job.ID) {
		slog.Error("job record cannot be read", "err", err)
		return nil
	}
	if j := c.jobs[rec.Job.ID]; j != nil {
		return j
	}
	if _, over := c.finals[rec.Job.ID]; over {
		return nil
	}
	spec := &rec.Job
	now := c.env.Now()
	j := &sched.Job{
		Spec: spec, ID: spec.ID, Priority: wire.PriorityOf(spec.Priority),
		Submitted: min(now, Micros(rec.At)-c.env.Wall()+now),
		Deadline:  clock.Forever,
		Estimate:  clock.FromSeconds(spec.Estimate),
		Tasks:     make([]sched.Task, spec.Tasks),
		FailedOn:  map[string]bool{},
	}
	if spec.Deadline != nil {
		j.Deadline = j.Submitted + clock.FromSeconds(*spec.Deadline)
	}
	for _, o := range c.cfg.Params.Objectives {
		if o.Kind == "finished" && o.Class == spec.Class {
			j.Targets = append(j.Targets, j.Submitted+clock.FromSeconds(o.Within))
		}
	}
	slices.Sort(j.Targets)
	c.jobs[j.ID] = j
	if c.loaded {
		c.requeue(j)
		c.noteArrival(j)
	}
	return j
}

// requeue fills a job's queue with its pending tasks.
func (c *Core) requeue(j *sched.Job) {
	j.Queue = j.Queue[:0]
	if !j.Active() {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == sched.Pending {
			j.Queue = append(j.Queue, int32(i))
		}
	}
}

func (c *Core) restore(j *sched.Job, p *progressRecord) {
	j.Succeeded = p.Good
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
	switch p.Phase {
	case wire.PhaseCancelled:
		j.Cancelled, j.Ended, j.Shown, j.DoneCount = true, true, p.Phase, p.Count
	case wire.PhaseDone:
		j.Ended, j.Shown, j.DoneCount = true, p.Phase, p.Count
	}
}

func (c *Core) restoreMachine(it *wire.Item) {
	var rec machineRecord
	id := strings.TrimPrefix(it.Key, machinePrefix)
	if err := msgpack.Unmarshal(it.Value, &rec); err != nil {
		slog.Error("machine record cannot be read", "machine", id, "err", err)
		return
	}
	m := c.addMachine(id, rec.Addr, rec.Type, rec.Zone, rec.Spot, Micros(rec.At)-c.env.Wall()+c.env.Now())
	if m == nil {
		return
	}
	for i, image := range rec.Images {
		if i < len(rec.Sizes) {
			m.Touch(image, rec.Sizes[i], c.env.Now())
		}
	}
	for _, r := range rec.Places {
		jobID, index, ok := wire.SplitTask(r.Task)
		if !ok {
			continue
		}
		pl := &sched.Placement{Index: index, Task: r.Task, Attempt: r.Attempt, Machine: m,
			Session: r.Session, Need: sched.Need{CPUs: r.CPUs, GPUs: r.GPUs, Memory: r.Memory}, Team: r.Team,
			Priority: r.Priority, Image: r.Image, Committed: true, Sent: true, Inherited: true}
		// A record may still hold a task that is done, or one that has since
		// been placed elsewhere after its absence was proven; the higher
		// attempt is the current one.
		if j := c.jobs[jobID]; j != nil && index < len(j.Tasks) && j.Tasks[index].State != sched.Done {
			if other := j.Tasks[index].Place; other == nil {
				pl.Job = j
			} else if other.Attempt < pl.Attempt {
				other.Job.Placed--
				other.Job = nil
				j.Tasks[index].Place = nil
				pl.Job = j
			}
			if pl.Job != nil && j.Gang() {
				j.GangAttempt = max(j.GangAttempt, pl.Attempt)
			}
		}
		sched.Attach(pl, c.teams)
	}
}

func (c *Core) restoreLearnt(value []byte) {
	var rec learntRecord
	if msgpack.Unmarshal(value, &rec) != nil {
		return
	}
	now := c.env.Now()
	at := min(now, Micros(rec.At)-c.env.Wall()+now)
	for name, use := range rec.Use {
		if t := c.teams[name]; t != nil {
			t.Use, t.UseAt = use, at
		}
	}
	for name, r := range rec.Rates {
		if r > 0 {
			c.rates[name] = r
		}
	}
	for class, r := range rec.Arrivals {
		c.arrivals[class] = &arrival{rate: r, at: at, batch: rec.Batch[class],
			since: min(at, Micros(rec.Since[class])-c.env.Wall()+now)}
	}
}

// saveLearnt writes what was learnt every ten seconds.
func (c *Core) saveLearnt(term uint64) {
	if !c.lead.Leading() || c.term != term {
		return
	}
	c.commit.put(learntKey, func() []byte {
		rec := learntRecord{At: int64(c.env.Wall()), Use: map[string]float64{},
			Rates: c.rates, Arrivals: map[string]float64{}, Since: map[string]int64{}, Batch: map[string]bool{}}
		now := c.env.Now()
		for name, t := range c.teams {
			t.Decay(now, c.pol.UseWindow)
			rec.Use[name] = t.Use
		}
		for class, a := range c.arrivals {
			rec.Arrivals[class], rec.Batch[class] = a.now(now), a.batch
			rec.Since[class] = int64(a.since - now + c.env.Wall())
		}
		return wire.Encode(&rec)
	}, nil)
	c.env.After(10*clock.Second, func() { c.saveLearnt(term) })
}

// watchJobs follows the jobs that other nodes accept.
func (c *Core) watchJobs(term, since uint64) {
	if !c.lead.Leading() || c.term != term {
		return
	}
	c.env.State().Watch(jobPrefix, since, 10_000, func(o store.Outcome, a *wire.WatchAnswer) {
		if !c.lead.Leading() || c.term != term {
			return
		}
		switch o {
		case store.OK:
			for _, e := range a.Events {
				if e.Put != "" && !strings.HasSuffix(e.Put, progressTail) {
					c.addRecord(e.Value)
				}
			}
			if len(a.Events) > 0 {
				c.wake()
			}
			c.watchJobs(term, a.Revision)
		case store.Gone:
			c.listAll(func() bool { return c.lead.Leading() && c.term == term }, jobPrefix,
				func(items []wire.Item, revision uint64) {
					for i := range items {
						if !strings.HasSuffix(items[i].Key, progressTail) {
							c.addRecord(items[i].Value)
						}
					}
					c.wake()
					c.watchJobs(term, revision)
				})
		default:
			c.env.After(200*clock.Millisecond, func() { c.watchJobs(term, since) })
		}
	})
}
