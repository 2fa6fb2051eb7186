// Package sched holds the scheduler's model of jobs, tasks, machines and teams, and decides
// which task runs on which machine. It does no I/O and reads no clock, and the same input
// gives the same output. It does not rent or return machines, store records or talk to
// workers: package controller does that with the decisions made here, and package fleet
// decides which machines to rent and return.
//
// "The paper" in comments of this package is "A Two-Tier Approach to Grid Workflow
// Scheduling" by Sommerfeld and Richter.
package sched

import (
	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/wire"
)

// Micros is an instant or a duration in microseconds.
type Micros = clock.Micros

// TaskState is the scheduling state of a task.
type TaskState uint8

// States of a task.
const (
	Pending TaskState = iota // not placed on any machine
	Placed                   // has a placement on a machine
	Done                     // completed
)

// Job is a submitted job with its tasks and its scheduling state. Its instants are on the
// owner's steady clock.
type Job struct {
	Spec               *wire.Job
	ID                 string
	Priority           int      // the highest among its own and those of the jobs that depend on it
	Submitted          Micros   // when the job was submitted
	ReadyAt            Micros   // when its last dependency was done; Submitted without dependencies
	PipelineStart      Micros   // the earliest submission among the job and all that it depends on
	Deadline           Micros   // the earlier of its own and what its dependents leave; clock.Forever if none
	FinishTargets      []Micros // finish times wanted by the objectives of its class, earliest first
	StartTargets       []Micros // start times wanted by those objectives, earliest first
	LastStartTarget    Micros   // the last of StartTargets; 0 if there is none
	StarvationDeadline Micros   // when the job goes before others if it has not begun, whatever its targets; 0 for never
	Estimate           Micros   // expected run time of one task

	Dependencies       []*Job // jobs that it depends on, except archived and unknown ones; emptied when it is ready or over
	directDependents   []*Job // jobs that depend on it directly, with some that don't any more, see DirectDependents
	removedDependents  int    // entries of directDependents that don't depend on it any more
	UnmetDependencies  int    // dependencies not known to be done; 0 means ready
	UnreadDependencies int    // dependencies whose state is not known because their final records are not read yet
	LastDependencyEnd  Micros // the latest known end of a dependency; at least Submitted once the dependencies are known
	dependentsRank     Micros // the largest UpwardRank among its dependents

	cancellationUncertain bool // see MayBeCancelled
	uncertainDependencies int  // entries of Dependencies whose cancellation is uncertain

	Tasks       []Task
	Queue       []int32 // indexes of pending tasks, in the order of placement
	PlacedCount int     // tasks with a placement
	DoneCount   int     // tasks in state Done

	Cancelled      bool   // cancellation decided, perhaps not yet committed
	CommittedPhase string // the final phase, set once it is committed
	FinalPhaseSent bool   // the final phase was sent to the state service, which may have stored it
	Ended          bool   // cancelled, or all tasks done

	HoldUntil        Micros          // no task is placed before this time; set after failures on several machines, or if a worker found the job unknown
	FailedOn         map[string]bool // machines on which its tasks failed
	Backoff          Micros          // delay before the next attempt after repeated failures; 0 for none
	AnyTaskSucceeded bool            // at least one task has completed

	StartedAt           Micros      // when a task was first reported as running, or 0
	EndedAt             Micros      // when the job ended, or 0
	Requeues            int         // placements that ended before their task was done
	ExtraDependencyKeys int         // further state service keys that hold the rest of its dependency list
	TaskRecords         map[int]int // parts of each task record that may exist, by the record's first task

	GangAttempt uint64 // attempt number shared by all tasks of a gang

	MinShareStatus admit.MinShareStatus // how the job relates to its account's minimum served share, used under overload

	taskCPUs    float64 // CPUs of one task by its dominant resource, see ComputeSize; 0 if unknown
	fastestBoot Micros  // shortest boot time among the machine types that the job may use
	largeTask   bool    // a task takes more than half of a machine of the best-fitting type

	reserved                     bool   // machines reserve room for the job, see reservation
	reservedMachines             []int  // indexes of those machines in the pass that made the reservations
	deferringSince, lastDeferred Micros // when the job began to leave reserved room unused, and when it last did
	passPosition                 int    // position among the sorted jobs of the current pass
}

// Task is one task of a job.
type Task struct {
	State     TaskState
	Placement *Placement
	Progress  Micros // run time already saved in checkpoints, as far as known
}

// InDoubt reports whether the state service may have stored the job's final phase although
// this controller does not know it: the transaction is in flight or was not answered. Other
// controllers may have read the final phase there and sent it to users.
func (j *Job) InDoubt() bool { return j.FinalPhaseSent && j.CommittedPhase == "" }

// Active reports whether the job is neither cancelled nor ended.
func (j *Job) Active() bool { return !j.Cancelled && !j.Ended }

// stableAfter is the running time after which a task no longer counts as failing at once.
const stableAfter = 10 * clock.Second

// HasRunningTask reports whether some task of the job, other than the one of the given
// placement, has been running for longer than stableAfter.
func (j *Job) HasRunningTask(now Micros, without *Placement) bool {
	for i := range j.Tasks {
		pl := j.Tasks[i].Placement
		if pl != nil && pl != without && pl.RunningSince > 0 && !pl.Exited && now-pl.RunningSince > stableAfter {
			return true
		}
	}
	return false
}

// Probing reports whether the job failed on several machines and no task of it has
// completed or is running stably. Such a job is retried with one task at a time, so that
// no machine is rented for its other tasks.
func (j *Job) Probing(now Micros) bool {
	return j.Backoff > 0 && !j.AnyTaskSucceeded && !j.HasRunningTask(now, nil)
}

// Gang reports whether the job is a gang, whose tasks start together.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }

// Service reports whether the job is a service, which runs until its user stops it.
func (j *Job) Service() bool { return j.Spec.Kind == wire.KindService }

// Array reports whether the job is an array of independent tasks.
func (j *Job) Array() bool { return j.Spec.Kind == wire.KindArray }

// Resources is an amount of CPUs, GPUs and memory; the memory is in GB.
type Resources struct{ CPUs, GPUs, Memory float64 }

// Need returns the resources that one task uses.
func (j *Job) Need() Resources { return Resources{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

const resourceTolerance = 1e-6 // rounding tolerance in comparisons of resource sums

// Fits reports whether a need of n fits into the free resources r.
func (n Resources) Fits(r Resources) bool {
	return n.CPUs <= r.CPUs+resourceTolerance && n.GPUs <= r.GPUs+resourceTolerance && n.Memory <= r.Memory+resourceTolerance
}

// Add returns the sum of n and o.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.Memory + o.Memory}
}

// Sub returns n less o.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.Memory - o.Memory}
}

// Placement is the assignment of a task to a machine. It exists from the decision to place
// the task until the task is known not to be on the machine any more.
type Placement struct {
	Job      *Job   // nil if the job is over and archived
	Index    int    // of the task in the job
	Task     string // task ID
	Attempt  uint64
	Machine  *Machine
	Session  uint64 // session of the machine when the placement was made
	Need     Resources
	Team     string
	Priority int
	Image    string

	FetchDelay       float64 // expected time to fetch the image, in seconds
	Committed        bool    // stored in the state service, so that a launch may be sent
	InTaskRecord     bool    // stored in the job's task records, so that the machine's record need not hold it
	Sent             bool    // a launch may have been sent
	DirectUnanswered bool    // sent in a direct command batch that is not answered; only the end of the session proves absence
	OutcomeUnknown   bool    // the direct command batch failed without an answer; whether it was executed is unknown
	SentAt           Micros  // when the launch was last sent, or 0
	Reported         bool    // the worker reported the task under this leader's token
	Inherited        bool    // made by an earlier leader; an acknowledged report without the task proves absence
	State            string  // task state in the last report
	RunningSince     Micros  // when the task was first reported as running, or 0
	Exited           bool    // the task was reported as exited and holds no room any more
	Stopping         bool    // the task is being stopped
	Grace            float64 // grace period of the stop, in seconds
}

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Task   string
	Number uint64
}

// DirectLaunch is a launch that was sent in a direct command batch.
type DirectLaunch struct {
	Token   uint64 // of the command batch
	LastSeq uint64 // sequence number of the latest message of the worker that listed the attempt; 0 if none did
}

// RemainingTime returns the expected run time of the task in this placement, from its start
// here: the job's estimate less the progress saved before.
func (pl *Placement) RemainingTime() Micros { return pl.Job.Estimate - pl.Job.Tasks[pl.Index].Progress }

// Machine is a rented machine as the leader knows it.
type Machine struct {
	ID          string
	Addr        string
	Type        *wire.MachineType
	Zone        string
	Spot        bool
	RequestedAt Micros // when the machine was requested, on the owner's steady clock
	KnownSince  Micros // when this leader first knew of the machine

	Session              uint64 // session number of the worker process
	Seq                  uint64 // sequence number of the last report in this session
	LastCommandSeq       uint64 // highest sequence number in answers to direct command batches in this session
	CommandInFlight      bool   // a direct command batch was sent and is not answered
	Up                   bool   // the worker has reported
	LastReportAt         Micros // receipt of the last report
	LastAnsweredReportAt Micros // receipt of the last report that this leader answered
	LastCommandAt        Micros // when a direct command batch was last answered, or sent if it may start a task
	ReclaimAt            Micros // when the cloud reclaims the machine; 0 without a notice

	Placements     map[string]*Placement // by task ID
	allocated      Resources             // resources of all placements that are not exited, see adjustAllocated
	productionCPUs float64               // CPUs that production tasks hold, by their dominant resource
	passIndex      int                   // index among the usable machines of the current pass, or -1
	Images         map[string]Micros     // last use of each cached image
	ImageSizes     map[string]float64    // size of each cached image, in GB

	Downlink              oneway.Detector // detects a one-way partition towards the worker
	LastRefusedAt         Micros          // when a report was last refused so that the worker searches for another leader
	StaleTokenAnswered    bool            // a report under an older token was answered in this term
	LastCommandUnanswered bool            // the latest direct command batch was not answered
	UnansweredProbes      int             // probes without an answer since the last report
	LastProbeAt           Micros          // when the latest probe was sent
	LastRestartCheckAt    Micros          // when the machine was last checked for a restart of its worker
	Restarted             bool            // the worker has restarted: it has forgotten its token and its attempts
	RestartedSession      uint64          // session of a restarted worker, as last shown

	// Token is the highest token in the worker's reports to this leader, 0 before it has
	// acknowledged the leader's first one.
	Token uint64
	// DirectLaunches holds the launches in direct command batches of the present session which the
	// worker may still execute, perhaps once more. It must keep their attempts on record.
	DirectLaunches map[Attempt]*DirectLaunch
	// LastLaunchToken is the highest token of a direct launch to the machine, in whatever session.
	// A restarted worker may execute copies of all launches until it has seen a higher token.
	LastLaunchToken uint64

	Errors           int             // task failures since the last success
	ErrorJobs        map[string]bool // IDs of the jobs with those failures
	SuspectedAt      Micros          // when several jobs, none of them known to be healthy, had failed on the machine; 0 if not
	AvoidUntil       Micros          // no new tasks are placed before this time
	IdleSince        Micros          // when the last placement ended
	Recorded         bool            // the state service holds a record of the machine
	InGroupRecord    bool            // the machine is stored in a record shared with others
	MayHaveOwnRecord bool            // the machine may also have a record of its own
	Draining         bool            // takes no new tasks and is returned when its tasks have ended or moved
	Retiring         bool            // takes no new tasks, so that it becomes empty and can be returned
	Releasing        bool            // is being returned to the cloud
	Failed           bool            // the cloud's list shows the machine as failed
	Unlisted         bool            // the cloud's list, although recent enough, does not contain the machine
}

// Available returns the machine's free resources. A task holds its resources until it is
// reported as exited or known to be absent.
func (m *Machine) Available() Resources { return m.Size().Sub(m.allocated) }

// AvailableCPUs returns the free resources as CPUs, see RemainingCPUs.
func (m *Machine) AvailableCPUs() float64 { return m.Available().RemainingCPUs(m.Type) }

// ProductionCPUs returns the CPUs held by production tasks, which are never preempted.
func (m *Machine) ProductionCPUs() float64 { return m.productionCPUs }

// adjustAllocated adds a placement to the machine's allocation, or with sign -1 subtracts it.
func (m *Machine) adjustAllocated(pl *Placement, sign float64) {
	m.allocated = m.allocated.Add(Resources{sign * pl.Need.CPUs, sign * pl.Need.GPUs, sign * pl.Need.Memory})
	if pl.Priority == wire.PriorityProduction {
		m.productionCPUs += sign * pl.Need.DominantCPUs(m.Type)
	}
}

// Size returns the machine's total resources.
func (m *Machine) Size() Resources { return Resources{m.Type.CPUs, m.Type.GPUs, m.Type.MemoryGB} }

// Inherited reports whether the machine was requested under an earlier leader, so long
// before this leader knew it that it should have been up by then.
func (m *Machine) Inherited() bool {
	return m.KnownSince-m.RequestedAt > 2*clock.FromSeconds(m.Type.BootTime)
}

// Acked reports whether the worker has acknowledged a token of this leader.
func (m *Machine) Acked() bool { return m.Token > 0 }

// Busy reports whether the machine has any placement.
func (m *Machine) Busy() bool { return len(m.Placements) > 0 }

// Usable reports whether new tasks may be placed on the machine.
func (m *Machine) Usable(now, maxReportAge Micros) bool {
	return m.Up && m.Acked() && !m.Draining && !m.Retiring && !m.Releasing && m.ReclaimAt == 0 && !m.Failed && !m.Downlink.Partitioned &&
		now-m.LastReportAt <= maxReportAge && now >= m.AvoidUntil
}

// TouchImage records the use of an image of the given size in GB, and drops the least
// recently used images that exceed the cache. It reports whether the image was not cached.
func (m *Machine) TouchImage(image string, gb float64, now Micros) bool {
	_, known := m.Images[image]
	m.Images[image] = now
	if known { // the usual case in a report
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

// Allows reports whether the job may run on an empty machine of the given type, in the
// given zone, spot or on-demand.
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

// Team holds a team's limits and usage.
type Team struct {
	Name             string
	Guarantee, Limit Resources // CPUs and GPUs; 0 means no guarantee or no limit
	Allocated        Resources // resources of all the team's placements
	AllocatedCPUs    float64   // the same as CPUs, see DominantCPUs
	Usage            float64   // CPU-seconds used, with exponential decay, see DecayUsage
	UsageUpdatedAt   Micros    // when Usage was last brought up to date
}

// Allows reports whether the team may allocate n more within its limit.
func (t *Team) Allows(n Resources) bool {
	return (t.Limit.CPUs == 0 || t.Allocated.CPUs+n.CPUs <= t.Limit.CPUs+resourceTolerance) &&
		(t.Limit.GPUs == 0 || t.Allocated.GPUs+n.GPUs <= t.Limit.GPUs+resourceTolerance)
}
