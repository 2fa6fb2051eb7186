// Package wire holds every format that lilacthread speaks: the MessagePack
// bodies of users, workers, cloud and state service. The protocol's own words
// appear here as tags only; code uses the field's usual terms.
package wire

// Limits of the protocol.
const (
	MaxBody  = 64 << 10
	MaxTasks = 100_000
)

// Kinds of job.
const (
	KindArray   = "array"
	KindGang    = "ensemble"
	KindService = "daemon"
)

// Job is a submission, as a user sends it.
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
	Types              []string `msgpack:"looms"`
	Zone               string   `msgpack:"bolt,omitempty"`
	OneZone            bool     `msgpack:"together"`
	Spread             bool     `msgpack:"apart"`
	Spot               bool     `msgpack:"remnant"`
	Estimate           float64  `msgpack:"expect_s"`
	CheckpointInterval float64  `msgpack:"knot_s"`
	SaveDuration       float64  `msgpack:"tie_s"`
	Deadline           *float64 `msgpack:"due_s"`
	DependsOn          []string `msgpack:"awaits,omitempty"` // jobs that must be done first
}

// Phases of a job, as users see them.
const (
	PhaseQueued    = "queued"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "aborted"
)

// JobStatus answers submissions, queries and cancellations.
type JobStatus struct {
	ID      string `msgpack:"uid"`
	Phase   string `msgpack:"phase"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Problem is the body of an answer that refuses something.
type Problem struct {
	Error string `msgpack:"error"`
}

// States of a task on a machine.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "gathering"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"
	CausePeersLost      = "peers"
	CauseGangIncomplete = "incomplete"
	CauseError          = "error"
	CauseNoCapacity     = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "no_such"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `msgpack:"stitch"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"phase"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"stored"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine              string       `msgpack:"spindle"`
	Addr                 string       `msgpack:"endpoint"`
	Type                 string       `msgpack:"loom"`
	Zone                 string       `msgpack:"bolt"`
	Spot                 bool         `msgpack:"remnant"`
	Session              uint64       `msgpack:"spin"`
	Seq                  uint64       `msgpack:"tick"`
	Token                uint64       `msgpack:"baton"`
	ReclaimNoticeSeconds *float64     `msgpack:"warn_s"`
	Tasks                []TaskReport `msgpack:"stitches"`
}

// Operations of a command.
const (
	OpStart  = "launch"
	OpStop   = "stop"
	OpForget = "reap"
)

// Command tells a worker what to do with one task.
type Command struct {
	Op           string   `msgpack:"verb"`
	Task         string   `msgpack:"stitch"`
	Attempt      uint64   `msgpack:"try"`
	GraceSeconds *float64 `msgpack:"ease_s,omitempty"`
}

// ReportAnswer answers a worker's report.
type ReportAnswer struct {
	Token    uint64    `msgpack:"baton"`
	Commands []Command `msgpack:"orders"`
}

// Orders are commands sent straight to a worker; it executes them only if both
// its session and its highest token match.
type Orders struct {
	Token    uint64    `msgpack:"baton"`
	Session  uint64    `msgpack:"spin"`
	Commands []Command `msgpack:"orders"`
}

// Redirect sends a worker to the node in charge.
type Redirect struct {
	ReportTo string `msgpack:"foreman,omitempty"`
}

// MachineType is an entry of the cloud's catalogue.
type MachineType struct {
	Name      string   `msgpack:"name"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"accelerators"`
	MemoryGB  float64  `msgpack:"mem_gb"`
	CacheGB   float64  `msgpack:"cache_gb"`
	FetchRate float64  `msgpack:"pull_gb_per_s"`
	Price     float64  `msgpack:"rate"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootTime  float64  `msgpack:"ready_s"`
	Zones     []string `msgpack:"bolts"`
}

// Catalog lists what the cloud rents.
type Catalog struct {
	Types []MachineType `msgpack:"looms"`
}

// RentRequest rents machines; Request names it for ever.
type RentRequest struct {
	RequestID string `msgpack:"bid"`
	Type      string `msgpack:"loom"`
	Zone      string `msgpack:"bolt"`
	Spot      bool   `msgpack:"remnant"`
	Count     int    `msgpack:"number"`
}

// MachineNames names machines, in answers to rentals and in releases.
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
