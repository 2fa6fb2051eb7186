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
	Spec               *wire.Job
	ID                 string
	Priority           int      // its own, or that of a job which needs it if that is higher
	Submitted          Micros   // on the owner's steady clock
	ReadyAt            Micros   // when all that it needs was done; Submitted if it needs nothing
	PipelineStart      Micros   // of its pipeline: the earliest submission among it and what it needs
	Deadline           Micros   // its own, or what the jobs that need it leave; clock.Forever without one
	FinishTargets      []Micros // when its class's objectives want it done, earliest first
	StartTargets       []Micros // when they want its tasks started, earliest first
	LastStartTarget    Micros   // the last of those; 0: none does
	StarvationDeadline Micros   // whatever its aims, it should have begun by then; 0: nobody cares
	Estimate           Micros   // expected run time of a task

	Dependencies      []*Job // jobs that it needs, as far as they are not over for good
	DirectDependents  []*Job // jobs that need it
	UnmetDependencies int    // needs that are not known to be done; 0: ready
	dependentsRank    Micros // the largest rank among After

	Tasks       []Task
	Queue       []int32 // pending tasks, in order of placing
	PlacedCount int
	DoneCount   int

	Cancelled      bool   // decided, perhaps not yet committed
	CommittedPhase string // the final phase once committed
	FinalPhaseSent bool   // the final phase was sent to the state service, which may hold it
	Ended          bool   // cancelled, or all tasks done

	HoldUntil        Micros          // failed on several machines: not placed before
	FailedOn         map[string]bool // machines on which its tasks failed
	Backoff          Micros
	AnyTaskSucceeded bool // some task of it has completed

	StartedAt       Micros      // when its first task was seen running, or 0
	EndedAt         Micros      // when it ended, or 0
	Requeues        int         // places that its tasks left without being done
	ExtraAwaitsKeys int         // keys that hold the rest of its awaits
	TaskRecords     map[int]int // of the records of its tasks that may exist, by first task

	GangAttempt uint64 // attempt shared by a gang's tasks

	MinShareStatus admit.MinShareStatus // under overload

	taskCPUs    float64 // see Measure
	fastestBoot Micros  // what the quickest machine that it may use takes to come
	largeTask   bool    // a task takes more than half of each machine

	reserved                     bool   // machines keep room for it, see booking
	reservedMachines             []int  // which
	deferringSince, lastDeferred Micros // since when it leaves room to such jobs, and when it did last
	passPosition                 int    // in the pass under way
}

// Task is one task of a job.
type Task struct {
	State     TaskState
	Placement *Placement
	Progress  Micros // saved progress, as far as known
}

// InDoubt reports whether the state service may hold the job's end though that is not known:
// the transaction is under way, or got no answer. Others may have read it there and told it.
func (j *Job) InDoubt() bool { return j.FinalPhaseSent && j.CommittedPhase == "" }

// Active reports whether the job still wants to run.
func (j *Job) Active() bool { return !j.Cancelled && !j.Ended }

// soundAfter is how long a task runs that does not fail at once.
const stableAfter = 10 * clock.Second

// Runs reports whether some task of the job, other than the one at the given place, has
// been running for a while.
func (j *Job) HasRunningTask(now Micros, without *Placement) bool {
	for i := range j.Tasks {
		pl := j.Tasks[i].Placement
		if pl != nil && pl != without && pl.RunningSince > 0 && !pl.Exited && now-pl.RunningSince > stableAfter {
			return true
		}
	}
	return false
}

// Probing reports whether the job failed on several machines and no task of it has run
// since: it is tried with one task at a time, which needs no machine rented for it.
func (j *Job) Probing(now Micros) bool {
	return j.Backoff > 0 && !j.AnyTaskSucceeded && !j.HasRunningTask(now, nil)
}

// Gang, Service and Array name the job's kind.
func (j *Job) Gang() bool    { return j.Spec.Kind == wire.KindGang }
func (j *Job) Service() bool { return j.Spec.Kind == wire.KindService }
func (j *Job) Array() bool   { return j.Spec.Kind == wire.KindArray }

// Need is what one task takes of a machine.
type Resources struct{ CPUs, GPUs, Memory float64 }

// Need gives the resources of one task.
func (j *Job) Need() Resources { return Resources{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

const resourceTolerance = 1e-6 // tolerance of resource sums

// Fits reports whether a task needing n fits into the room r.
func (n Resources) Fits(r Resources) bool {
	return n.CPUs <= r.CPUs+resourceTolerance && n.GPUs <= r.GPUs+resourceTolerance && n.Memory <= r.Memory+resourceTolerance
}

// Add and Sub move resources between sums.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.Memory + o.Memory}
}
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.Memory - o.Memory}
}

// Placement is a task's place on a machine, from the decision until its
// absence is proven.
type Placement struct {
	Job      *Job // nil when the job is over and archived
	Index    int
	Task     string
	Attempt  uint64
	Machine  *Machine
	Session  uint64
	Need     Resources
	Team     string
	Priority int
	Image    string

	FetchDelay       float64 // seconds that the image was expected to take
	Committed        bool    // written ahead: a launch may be sent
	InJobRecord      bool    // its job's records hold it, so that its machine's need not
	Sent             bool    // a launch may have been sent
	DirectUnanswered bool    // by an order that is not answered: only the session's end proves absence
	OutcomeUnknown   bool    // and will not be: its outcome is unknown
	Resent           bool    // the launch was sent again since, so that two may be on their way
	SentAt           Micros
	Reported         bool // reported under our token
	Inherited        bool // from an earlier leader: an acknowledged report proves absence
	State            string
	RunningSince     Micros // when first seen running, or 0
	Exited           bool   // seen exited; takes no room any more
	Stopping         bool
	Grace            float64
}

// Attempt names one start of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Left is how long a placed task is expected to run yet from when it began here.
func (pl *Placement) RemainingTime() Micros { return pl.Job.Estimate - pl.Job.Tasks[pl.Index].Progress }

// Machine is a rented machine.
type Machine struct {
	ID          string
	Addr        string
	Type        *wire.MachineType
	Zone        string
	Spot        bool
	RequestedAt Micros // rental request, on the owner's steady clock
	KnownSince  Micros // since when this leader has known it

	Session              uint64
	Seq                  uint64
	LastCommandSeq       uint64 // of the newest answer to an order in this session
	CommandInFlight      bool   // an order is under way
	Up                   bool   // has reported
	Acked                bool   // has acknowledged our token
	LastReportAt         Micros
	LastAnsweredReportAt Micros // receipt of the last report that we answered
	LastCommandAt        Micros // when it last answered an order, or one that may start something was sent
	ReclaimAt            Micros // when the cloud takes it; 0: no notice

	Placements     map[string]*Placement
	allocated      Resources         // by the places that are not exited; see hold
	productionCPUs float64           // the CPUs of it that production work holds, see Need.On
	passIndex      int               // in the pass under way
	Images         map[string]Micros // last use
	ImageSizes     map[string]float64

	Downlink              oneway.Detector // whether it hears us
	LastRedirectAt        Micros          // when it was last sent away, to look for a successor
	StaleTokenAnswered    bool            // a report of it under an older token was answered in this term
	LastCommandUnanswered bool            // the latest order was not answered
	UnansweredProbes      int             // questions without an answer since its last report
	LastProbeAt           Micros          // when the latest of those was put
	LastRestartCheckAt    Micros          // when it was last asked whether it was started anew
	Restarted             bool            // it was

	// Unreaped are attempts that a launch still on its way would start again if the worker
	// forgot them, in the present session.
	Unreaped map[Attempt]bool

	Errors           int             // failures since the last success
	ErrorJobs        map[string]bool // whose failures those were
	SuspectedAt      Micros          // when several jobs, none known to be sound, had failed on it; 0: they have not
	AvoidUntil       Micros
	IdleSince        Micros
	Recorded         bool // the state service has its record
	InGroupRecord    bool // with others, in a record that they share
	MayHaveOwnRecord bool // and it may have one of its own
	Draining         bool
	Retiring         bool // takes no new tasks, so as to empty and be returned
	Releasing        bool
	Failed           bool
	Unlisted         bool // the cloud's list, new enough to name it, does not
}

// Room is what the machine has free. Tasks without proof of absence hold
// theirs; exited tasks hold none.
func (m *Machine) Available() Resources { return m.Size().Sub(m.allocated) }

// Free is the room that it has, in its CPUs.
func (m *Machine) AvailableCPUs() float64 { return m.Available().RemainingCPUs(m.Type) }

// Production is the CPUs that production work holds, which nothing may stop.
func (m *Machine) ProductionCPUs() float64 { return m.productionCPUs }

// hold adds a place to what the machine holds, or with sign -1 takes it away.
func (m *Machine) adjustAllocated(pl *Placement, sign float64) {
	m.allocated = m.allocated.Add(Resources{sign * pl.Need.CPUs, sign * pl.Need.GPUs, sign * pl.Need.Memory})
	if pl.Priority == wire.PriorityProduction {
		m.productionCPUs += sign * pl.Need.DominantCPUs(m.Type)
	}
}

// Size is the machine's whole room.
func (m *Machine) Size() Resources { return Resources{m.Type.CPUs, m.Type.GPUs, m.Type.MemoryGB} }

// Inherited reports whether an earlier leader knew the machine, old enough to have
// been up then.
func (m *Machine) Inherited() bool {
	return m.KnownSince-m.RequestedAt > 2*clock.FromSeconds(m.Type.BootTime)
}

// Busy reports whether any task holds a place.
func (m *Machine) Busy() bool { return len(m.Placements) > 0 }

// Usable reports whether new tasks may be placed.
func (m *Machine) Usable(now, maxReportAge Micros) bool {
	return m.Up && m.Acked && !m.Draining && !m.Retiring && !m.Releasing && m.ReclaimAt == 0 && !m.Failed && !m.Downlink.Partitioned &&
		now-m.LastReportAt <= maxReportAge && now >= m.AvoidUntil
}

// Touch notes the use of an image and forgets the least recently used ones
// beyond the cache. It reports whether the image is new there.
func (m *Machine) TouchImage(image string, gb float64, now Micros) bool {
	_, known := m.Images[image]
	m.Images[image] = now
	if known { // most reports bring nothing new
		return false
	}
	m.ImageSizes[image] = gb
	for {
		total, oldest := 0.0, ""
		for name, size := range m.ImageSizes {
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
		delete(m.ImageSizes, oldest)
	}
}

// Allows reports whether the job may run on machines of this type, zone and
// kind at all.
func (j *Job) Allows(t *wire.MachineType, zone string, spot bool) bool {
	if spot && !j.Spec.Spot || j.Spec.Zone != "" && j.Spec.Zone != zone {
		return false
	}
	if !j.Need().Fits(Resources{t.CPUs, t.GPUs, t.MemoryGB}) {
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
	Guarantee, Limit Resources // CPUs and GPUs; 0 means none
	Allocated        Resources // by placements without proof of absence
	AllocatedCPUs    float64   // the same in CPUs, see Need.On
	Usage            float64   // CPU-seconds decayed over the window
	UsageUpdatedAt   Micros
}

// Allows reports whether the team may take n more.
func (t *Team) Allows(n Resources) bool {
	return (t.Limit.CPUs == 0 || t.Allocated.CPUs+n.CPUs <= t.Limit.CPUs+resourceTolerance) &&
		(t.Limit.GPUs == 0 || t.Allocated.GPUs+n.GPUs <= t.Limit.GPUs+resourceTolerance)
}
