package wire

// AdmissionStatus is a node's view of admission control: how submissions and machines are
// shared among accounts. It is the answer to GET /admission, for operators.
type AdmissionStatus struct {
	Node          string             `msgpack:"node" json:"node"`
	Enabled       bool               `msgpack:"on" json:"on"`
	IsLeader      bool               `msgpack:"leads" json:"leads"`
	Overloaded    bool               `msgpack:"overload" json:"overload"`
	Term          uint64             `msgpack:"term" json:"term"`         // term of the admission table; 0 if the node holds no valid table
	Number        uint64             `msgpack:"number" json:"number"`     // number of the admission table within its term
	Rate          float64            `msgpack:"rate" json:"rate"`         // writes per second that this node may make to the state service
	Waiting       int                `msgpack:"waiting" json:"waiting"`   // submissions queued at this node
	OldestSeconds float64            `msgpack:"oldest_s" json:"oldest_s"` // wait of the oldest queued submission
	Accounts      []AdmissionAccount `msgpack:"accounts" json:"accounts"`
}

// AdmissionAccount is the part of AdmissionStatus for one account, that is, a team and a
// class of jobs.
type AdmissionAccount struct {
	Team  string `msgpack:"team" json:"team"`
	Class string `msgpack:"class" json:"class"` // empty for all classes that no objective names

	// CPUs, from the admission table.
	Held     uint32 `msgpack:"held" json:"held"`       // allocated to running tasks
	Waiting  uint32 `msgpack:"waiting" json:"waiting"` // requested by waiting tasks
	MinShare uint32 `msgpack:"floor" json:"floor"`     // guaranteed minimum; 0 unless the machines are overloaded
	Share    uint32 `msgpack:"share" json:"share"`

	Rate     float64 `msgpack:"rate" json:"rate"`   // writes per second granted to the account's submissions on all nodes
	NodeRate float64 `msgpack:"part" json:"part"`   // part of Rate that is granted to this node
	Slots    uint32  `msgpack:"slots" json:"slots"` // seconds over which submissions are spread

	Queued     int    `msgpack:"queued" json:"queued"`   // writes that the submissions queued at this node need
	Accepted   uint64 `msgpack:"taken" json:"taken"`     // submissions accepted by this node since it started
	Refused    uint64 `msgpack:"refused" json:"refused"` // submissions refused by this node since it started
	Duplicates uint64 `msgpack:"known" json:"known"`     // submissions, at this node since it started, of jobs that were accepted before

	// Time from a submission to its answer.
	AcceptP50Millis int64 `msgpack:"accept_p50_ms" json:"accept_p50_ms"`
	AcceptP99Millis int64 `msgpack:"accept_p99_ms" json:"accept_p99_ms"`
	// Time from when a job was accepted and its dependencies were done to the start of its
	// first task; known to the leader only.
	StartP50Millis int64 `msgpack:"start_p50_ms" json:"start_p50_ms"`
	StartP99Millis int64 `msgpack:"start_p99_ms" json:"start_p99_ms"`

	FinishedJobs   uint64 `msgpack:"over" json:"over"`       // jobs finished in this term; known to the leader only
	FinishedInTime uint64 `msgpack:"in_time" json:"in_time"` // of FinishedJobs, those that finished within the longest target time of their class
}
