// Package wire defines the messages exchanged with users, workers, the cloud and the
// state service, with their MessagePack encoding and validation. The names of the protocol
// appear only as struct tags and string values; identifiers use the usual terms of cluster
// scheduling. The package makes no calls: the clients are in other packages. Messages between
// controllers are defined in peer.fbs; package peer encodes them.
package wire

// Limits of the protocol.
const (
	MaxBody  = 64 << 10 // bytes of a request body
	MaxTasks = 100_000  // tasks of a job
)

// Kinds of jobs.
const (
	KindArray   = "array"
	KindGang    = "ensemble"
	KindService = "daemon"
)

// Job is a job as a user submits it. CPUs, GPUs and MemoryGB are those of one task;
// Estimate, CheckpointInterval, SaveDuration and Deadline are in seconds.
type Job struct {
	ID                 string   `msgpack:"uid"`
	Class              string   `msgpack:"skein"`
	Team               string   `msgpack:"crew"`
	Kind               string   `msgpack:"weave"`
	Priority           string   `msgpack:"rank"`
	Tasks              int      `msgpack:"stitches"`
	CPUs               float64  `msgpack:"cores"`
	GPUs               float64  `msgpack:"accelerators"`
	MemoryGB           float64  `msgpack:"mem_gb"`
	Image              string   `msgpack:"pattern"`
	ImageGB            float64  `msgpack:"pull_gb"`
	Types              []string `msgpack:"looms"`            // allowed machine types; empty for all
	Zone               string   `msgpack:"bolt,omitempty"`   // the only allowed zone; empty for all
	OneZone            bool     `msgpack:"together"`         // all tasks run in the same zone
	Spread             bool     `msgpack:"apart"`            // at most half of the tasks, rounded up, run in one zone
	Spot               bool     `msgpack:"remnant"`          // spot machines are allowed
	Estimate           float64  `msgpack:"expect_s"`         // estimated run time of a task
	CheckpointInterval float64  `msgpack:"knot_s"`           // 0: the tasks write no checkpoints
	SaveDuration       float64  `msgpack:"tie_s"`            // time that a task needs to save its state when it is stopped
	Deadline           *float64 `msgpack:"due_s"`            // time after the submission; nil for none
	DependsOn          []string `msgpack:"awaits,omitempty"` // jobs that must be done before this job starts
}

// Phases of a job in JobStatus.
const (
	PhaseQueued    = "queued"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "aborted"
)

// JobStatus is the answer to submissions, status queries and cancellations.
type JobStatus struct {
	ID      string `msgpack:"uid"`
	Phase   string `msgpack:"phase"`
	Done    int    `msgpack:"done"`    // number of tasks
	Running int    `msgpack:"running"` // number of tasks
}

// Problem is the body of an error response.
type Problem struct {
	Error string `msgpack:"error"`
}

// States of a task on a machine.
const (
	TaskFetching = "fetching"  // the machine fetches the image
	TaskWaiting  = "gathering" // the task waits for the other tasks of its gang
	TaskRunning  = "running"
	TaskSaving   = "saving" // the task saves its state before it stops
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"
	CausePeersLost      = "peers"      // other tasks of the gang ended
	CauseGangIncomplete = "incomplete" // the gang was not complete in time
	CauseError          = "error"
	CauseNoCapacity     = "no_room" // the task does not fit on the machine
	CauseBusy           = "busy"    // another attempt of the task is on the machine
	CauseUnknown        = "no_such" // the job is unknown
)

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	Task    string `msgpack:"stitch"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"phase"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"stored"` // the task saved its state before it stopped
}

// Report is a worker's periodic report of its machine and its tasks. Session identifies a
// run of the worker's process, Seq counts the reports of a session, and Token is the highest
// fencing token that the worker has received.
type Report struct {
	Machine              string       `msgpack:"spindle"`
	Addr                 string       `msgpack:"endpoint"`
	Type                 string       `msgpack:"loom"`
	Zone                 string       `msgpack:"bolt"`
	Spot                 bool         `msgpack:"remnant"`
	Session              uint64       `msgpack:"spin"`
	Seq                  uint64       `msgpack:"tick"`
	Token                uint64       `msgpack:"baton"`
	ReclaimNoticeSeconds *float64     `msgpack:"warn_s"` // time until the cloud reclaims the spot machine; nil if it is not reclaimed
	Tasks                []TaskReport `msgpack:"stitches"`
}

// Operations of a command.
const (
	OpStart  = "launch"
	OpStop   = "stop"
	OpForget = "reap"
)

// Command is an operation of a worker on one attempt of a task.
type Command struct {
	Op           string   `msgpack:"verb"`
	Task         string   `msgpack:"stitch"`
	Attempt      uint64   `msgpack:"try"`
	GraceSeconds *float64 `msgpack:"ease_s,omitempty"` // time that a stopped task has to save its state
}

// ReportAnswer is the leader's answer to a worker's report.
type ReportAnswer struct {
	Token    uint64    `msgpack:"baton"`
	Commands []Command `msgpack:"orders"`
}

// Orders is a command batch sent directly to a worker. The worker executes none of it if
// Session is not the worker's session or if Token is lower than the highest fencing token
// that the worker has received.
type Orders struct {
	Token    uint64    `msgpack:"baton"`
	Session  uint64    `msgpack:"spin"`
	Commands []Command `msgpack:"orders"`
}

// Redirect names the node that a worker is to report to.
type Redirect struct {
	ReportTo string `msgpack:"foreman,omitempty"` // address; empty if unknown
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `msgpack:"name"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"accelerators"`
	MemoryGB  float64  `msgpack:"mem_gb"`
	CacheGB   float64  `msgpack:"cache_gb"`
	FetchRate float64  `msgpack:"pull_gb_per_s"` // GB per second
	Price     float64  `msgpack:"rate"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootTime  float64  `msgpack:"ready_s"` // seconds
	Zones     []string `msgpack:"bolts"`
}

// Catalog lists the machine types that the cloud rents.
type Catalog struct {
	Types []MachineType `msgpack:"looms"`
}

// RentRequest rents Count machines. RequestID identifies the request permanently, so that
// a repeated request rents no further machines.
type RentRequest struct {
	RequestID string `msgpack:"bid"`
	Type      string `msgpack:"loom"`
	Zone      string `msgpack:"bolt"`
	Spot      bool   `msgpack:"remnant"`
	Count     int    `msgpack:"number"`
}

// MachineIDs lists machines, in answers to rentals and in releases.
type MachineIDs struct {
	Machines []string `msgpack:"spindles"`
}

// Phases of a listed machine.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	ID         string  `msgpack:"uid"`
	Addr       string  `msgpack:"endpoint"`
	Type       string  `msgpack:"loom"`
	Zone       string  `msgpack:"bolt"`
	Spot       bool    `msgpack:"remnant"`
	State      string  `msgpack:"phase"`
	AgeSeconds float64 `msgpack:"age_s"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"spindles"`
	More     bool            `msgpack:"has_next"`
}
