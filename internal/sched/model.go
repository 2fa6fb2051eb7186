// Package sched holds the scheduler's model and its decisions. It is pure: no
// I/O, no clock of its own, and the same input gives the same output.
package sched

import (
	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/wire"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// TaskState is the scheduler's view of a task.
type TaskState uint8

// States of a task.
const (
	Pending TaskState = iota // may be placed
	Placed                   // holds a place on a machine
	Done
)

// Job is a job with its tasks.
type Job struct {
	Spec      *wire.Job
	ID        string
	Priority  int      // its own, or that of a job which needs it if that is higher
	Submitted Micros   // on the owner's steady clock
	Ready     Micros   // when all that it needs was done; Submitted if it needs nothing
	Start     Micros   // of its pipeline: the earliest submission among it and what it needs
	Deadline  Micros   // its own, or what the jobs that need it leave; clock.Forever without one
	Targets   []Micros // when its class's objectives want it done, earliest first
	Starts    []Micros // when they want its tasks started, earliest first
	StartBy   Micros   // the last of those; 0: none does
	BeginBy   Micros   // whatever its aims, it should have begun by then; 0: nobody cares
	Estimate  Micros   // expected run time of a task

	Before  []*Job // jobs that it needs, as far as they are not over for good
	After   []*Job // jobs that need it
	Blocked int    // needs that are not known to be done; 0: ready
	tail    Micros // the largest rank among After

	Tasks     []Task
	Queue     []int32 // pending tasks, in order of placing
	Placed    int
	DoneCount int

	Cancelled bool   // decided, perhaps not yet committed
	Shown     string // the final phase once committed
	EndSent   bool   // the final phase was sent to the state service, which may hold it
	Ended     bool   // cancelled, or all tasks done

	HoldUntil Micros          // failed on several machines: not placed before
	FailedOn  map[string]bool // machines on which its tasks failed
	Backoff   Micros
	Succeeded bool // some task of it has completed

	Began       Micros      // when its first task was seen running, or 0
	Over        Micros      // when it ended, or 0
	Again       int         // places that its tasks left without being done
	AwaitsParts int         // keys that hold the rest of its awaits
	Parts       map[int]int // of the records of its tasks that may exist, by first task

	GangAttempt uint64 // attempt shared by a gang's tasks

	Turn admit.Turn // under overload

	size  float64 // see Measure
	boot  Micros  // what the quickest machine that it may use takes to come
	large bool    // a task takes more than half of each machine

	booked          bool   // machines keep room for it, see booking
	at              []int  // which
	yields, yielded Micros // since when it leaves room to such jobs, and when it did last
	rank            int    // in the pass under way
}

// Task is one task of a job.
type Task struct {
	State    TaskState
	Place    *Placement
	Progress Micros // saved progress, as far as known
}

// InDoubt reports whether the state service may hold the job's end though that is not known:
// the transaction is under way, or got no answer. Others may have read it there and told it.
func (j *Job) InDoubt() bool { return j.EndSent && j.Shown == "" }

// Active reports whether the job still wants to run.
func (j *Job) Active() bool { return !j.Cancelled && !j.Ended }

// soundAfter is how long a task runs that does not fail at once.
const soundAfter = 10 * clock.Second

// Runs reports whether some task of the job, other than the one at the given place, has
// been running for a while.
func (j *Job) Runs(now Micros, without *Placement) bool {
	for i := range j.Tasks {
		pl := j.Tasks[i].Place
		if pl != nil && pl != without && pl.Running > 0 && !pl.Exited && now-pl.Running > soundAfter {
			return true
		}
	}
	return false
}

// Probing reports whether the job failed on several machines and no task of it has run
// since: it is tried with one task at a time, which needs no machine rented for it.
func (j *Job) Probing(now Micros) bool {
	return j.Backoff > 0 && !j.Succeeded && !j.Runs(now, nil)
}

// Gang, Service and Array name the job's kind.
func (j *Job) Gang() bool    { return j.Spec.Kind == wire.KindGang }
func (j *Job) Service() bool { return j.Spec.Kind == wire.KindService }
func (j *Job) Array() bool   { return j.Spec.Kind == wire.KindArray }

// Need is what one task takes of a machine.
type Need struct{ CPUs, GPUs, Memory float64 }

// Need gives the resources of one task.
func (j *Job) Need() Need { return Need{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

const slack = 1e-6 // tolerance of resource sums

// Fits reports whether a task needing n fits into the room r.
func (n Need) Fits(r Need) bool {
	return n.CPUs <= r.CPUs+slack && n.GPUs <= r.GPUs+slack && n.Memory <= r.Memory+slack
}

// Add and Sub move resources between sums.
func (n Need) Add(o Need) Need { return Need{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.Memory + o.Memory} }
func (n Need) Sub(o Need) Need { return Need{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.Memory - o.Memory} }

// Placement is a task's place on a machine, from the decision until its
// absence is proven.
type Placement struct {
	Job      *Job // nil when the job is over and archived
	Index    int
	Task     string
	Attempt  uint64
	Machine  *Machine
	Session  uint64
	Need     Need
	Team     string
	Priority int
	Image    string

	Delay     float64 // seconds that the image was expected to take
	Committed bool    // written ahead: a launch may be sent
	InJob     bool    // its job's records hold it, so that its machine's need not
	Sent      bool    // a launch may have been sent
	Direct    bool    // by an order that is not answered: only the session's end proves absence
	Lost      bool    // and will not be: its outcome is unknown
	Resent    bool    // the launch was sent again since, so that two may be on their way
	SentAt    Micros
	Seen      bool // reported under our token
	Inherited bool // from an earlier leader: an acknowledged report proves absence
	State     string
	Running   Micros // when first seen running, or 0
	Exited    bool   // seen exited; takes no room any more
	Stopping  bool
	Grace     float64
}

// Attempt names one start of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Left is how long a placed task is expected to run yet from when it began here.
func (pl *Placement) Left() Micros { return pl.Job.Estimate - pl.Job.Tasks[pl.Index].Progress }

// Machine is a rented machine.
type Machine struct {
	ID    string
	Addr  string
	Type  *wire.MachineType
	Zone  string
	Spot  bool
	Since Micros // rental request, on the owner's steady clock
	Known Micros // since when this leader has known it

	Session  uint64
	Seq      uint64
	OrderSeq uint64 // of the newest answer to an order in this session
	Ordering bool   // an order is under way
	Up       bool   // has reported
	Acked    bool   // has acknowledged our token
	Heard    Micros
	Answered Micros // receipt of the last report that we answered
	Lives    Micros // when it last answered an order, or one that may start something was sent
	Notice   Micros // when the cloud takes it; 0: no notice

	Places map[string]*Placement
	held   Need              // by the places that are not exited; see hold
	prod   float64           // the CPUs of it that production work holds, see Need.On
	slot   int               // in the pass under way
	Images map[string]Micros // last use
	Sizes  map[string]float64

	Downlink   oneway.Detector // whether it hears us
	Away       Micros          // when it was last sent away, to look for a successor
	Greeted    bool            // a report of it under an older token was answered in this term
	LostOrder  bool            // the latest order was not answered
	Unanswered int             // questions without an answer since its last report
	Asked      Micros          // when the latest of those was put
	Doubted    Micros          // when it was last asked whether it was started anew
	Anew       bool            // it was

	// Unreaped are attempts that a launch still on its way would start again if the worker
	// forgot them, in the present session.
	Unreaped map[Attempt]bool

	Errors    int             // failures since the last success
	ErrorJobs map[string]bool // whose failures those were
	Suspected Micros          // when several jobs, none known to be sound, had failed on it; 0: they have not
	AvoidTill Micros
	IdleSince Micros
	Recorded  bool // the state service has its record
	Grouped   bool // with others, in a record that they share
	Own       bool // and it may have one of its own
	Draining  bool
	Retiring  bool // takes no new tasks, so as to empty and be returned
	Releasing bool
	Failed    bool
	Unlisted  bool // the cloud's list, new enough to name it, does not
}

// Room is what the machine has free. Tasks without proof of absence hold
// theirs; exited tasks hold none.
func (m *Machine) Room() Need { return m.Size().Sub(m.held) }

// Free is the room that it has, in its CPUs.
func (m *Machine) Free() float64 { return m.Room().Left(m.Type) }

// Production is the CPUs that production work holds, which nothing may stop.
func (m *Machine) Production() float64 { return m.prod }

// hold adds a place to what the machine holds, or with sign -1 takes it away.
func (m *Machine) hold(p *Placement, sign float64) {
	m.held = m.held.Add(Need{sign * p.Need.CPUs, sign * p.Need.GPUs, sign * p.Need.Memory})
	if p.Priority == wire.PriorityProduction {
		m.prod += sign * p.Need.On(m.Type)
	}
}

// Size is the machine's whole room.
func (m *Machine) Size() Need { return Need{m.Type.CPUs, m.Type.GPUs, m.Type.MemoryGB} }

// Inherited reports whether an earlier leader knew the machine, old enough to have
// been up then.
func (m *Machine) Inherited() bool { return m.Known-m.Since > 2*clock.FromSeconds(m.Type.Boot) }

// Busy reports whether any task holds a place.
func (m *Machine) Busy() bool { return len(m.Places) > 0 }

// Usable reports whether new tasks may be placed.
func (m *Machine) Usable(now, fresh Micros) bool {
	return m.Up && m.Acked && !m.Draining && !m.Retiring && !m.Releasing && m.Notice == 0 && !m.Failed && !m.Downlink.Partitioned &&
		now-m.Heard <= fresh && now >= m.AvoidTill
}

// Touch notes the use of an image and forgets the least recently used ones
// beyond the cache. It reports whether the image is new there.
func (m *Machine) Touch(image string, gb float64, now Micros) bool {
	_, known := m.Images[image]
	m.Images[image] = now
	if known { // most reports bring nothing new
		return false
	}
	m.Sizes[image] = gb
	for {
		total, oldest := 0.0, ""
		for name, size := range m.Sizes {
			total += size
			if name != image && (oldest == "" || m.Images[name] < m.Images[oldest] ||
				m.Images[name] == m.Images[oldest] && name < oldest) {
				oldest = name
			}
		}
		if total <= m.Type.CacheGB || oldest == "" {
			return true
		}
		delete(m.Images, oldest)
		delete(m.Sizes, oldest)
	}
}

// Allows reports whether the job may run on machines of this type, zone and
// kind at all.
func (j *Job) Allows(t *wire.MachineType, zone string, spot bool) bool {
	if spot && !j.Spec.Spot || j.Spec.Zone != "" && j.Spec.Zone != zone {
		return false
	}
	if !j.Need().Fits(Need{t.CPUs, t.GPUs, t.MemoryGB}) {
		return false
	}
	if len(j.Spec.Types) == 0 {
		return true
	}
	for _, name := range j.Spec.Types {
		if name == t.Name {
			return true
		}
	}
	return false
}

// Team is a team's limits and use.
type Team struct {
	Name             string
	Guarantee, Limit Need    // CPUs and GPUs; 0 means none
	Held             Need    // by placements without proof of absence
	Size             float64 // the same in CPUs, see Need.On
	Use              float64 // CPU-seconds decayed over the window
	UseAt            Micros
}

// Allows reports whether the team may take n more.
func (t *Team) Allows(n Need) bool {
	return (t.Limit.CPUs == 0 || t.Held.CPUs+n.CPUs <= t.Limit.CPUs+slack) &&
		(t.Limit.GPUs == 0 || t.Held.GPUs+n.GPUs <= t.Limit.GPUs+slack)
}
