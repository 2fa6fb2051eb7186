package wire

// Admission tells how a node shares submissions, and the leader machines, among
// accounts: the answer to GET /admission, for operators.
type AdmissionStatus struct {
	Node          string             `msgpack:"node" json:"node"`
	Enabled       bool               `msgpack:"on" json:"on"`
	IsLeader      bool               `msgpack:"leads" json:"leads"`
	Overloaded    bool               `msgpack:"overload" json:"overload"`
	Term          uint64             `msgpack:"term" json:"term"`     // of the table; 0 without a valid one
	Number        uint64             `msgpack:"number" json:"number"` // of the table in its term
	Rate          float64            `msgpack:"rate" json:"rate"`     // changes a second that this node may make
	Waiting       int                `msgpack:"waiting" json:"waiting"`
	OldestSeconds float64            `msgpack:"oldest_s" json:"oldest_s"`
	Accounts      []AdmissionAccount `msgpack:"accounts" json:"accounts"`
}

// AdmissionAccount is one account of it.
type AdmissionAccount struct {
	Team  string `msgpack:"team" json:"team"`
	Class string `msgpack:"class" json:"class"` // empty: all classes that no objective names

	Held     uint32 `msgpack:"held" json:"held"` // CPUs
	Waiting  uint32 `msgpack:"waiting" json:"waiting"`
	MinShare uint32 `msgpack:"floor" json:"floor"` // 0 unless overloaded
	Share    uint32 `msgpack:"share" json:"share"`

	Rate     float64 `msgpack:"rate" json:"rate"` // of submissions, over all nodes, in changes a second
	NodeRate float64 `msgpack:"part" json:"part"` // of it, this node's
	Slots    uint32  `msgpack:"slots" json:"slots"`

	Queued     int    `msgpack:"queued" json:"queued"` // changes, at this node
	Accepted   uint64 `msgpack:"taken" json:"taken"`   // submissions, at this node since it started
	Refused    uint64 `msgpack:"refused" json:"refused"`
	Duplicates uint64 `msgpack:"known" json:"known"`

	AcceptP50Millis int64 `msgpack:"accept_p50_ms" json:"accept_p50_ms"` // until a submission was answered
	AcceptP99Millis int64 `msgpack:"accept_p99_ms" json:"accept_p99_ms"`
	StartP50Millis  int64 `msgpack:"start_p50_ms" json:"start_p50_ms"` // until a job's first task ran, on the leader
	StartP99Millis  int64 `msgpack:"start_p99_ms" json:"start_p99_ms"`

	FinishedJobs   uint64 `msgpack:"over" json:"over"` // jobs done in this term, on the leader
	FinishedInTime uint64 `msgpack:"in_time" json:"in_time"`
}
