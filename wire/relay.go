package wire

// Relays tells which controllers carry workers' connections, and what a node has relayed
// since it started: the answer to GET /relays, for operators.
type RelayStatus struct {
	Node     string   `msgpack:"node" json:"node"`
	IsLeader bool     `msgpack:"leads" json:"leads"`
	Active   bool     `msgpack:"in_force" json:"in_force"`
	Term     uint64   `msgpack:"term" json:"term"`     // of the leader who named the members
	Number   uint64   `msgpack:"number" json:"number"` // rises with each change in a term
	Members  []string `msgpack:"members" json:"members"`

	WorkersPerRelay map[string]int `msgpack:"carried" json:"carried"` // workers by controller, on the leader

	Workers            int    `msgpack:"workers" json:"workers"` // that report to this node
	QueuedReports      int    `msgpack:"waiting" json:"waiting"` // reports that wait for their batch
	Relayed            uint64 `msgpack:"relayed" json:"relayed"` // reports
	Repeated           uint64 `msgpack:"repeated" json:"repeated"`
	Batches            uint64 `msgpack:"batches" json:"batches"`
	Unanswered         uint64 `msgpack:"unanswered" json:"unanswered"`
	Redirected         uint64 `msgpack:"redirected" json:"redirected"`
	Shed               uint64 `msgpack:"shed" json:"shed"`
	Orders             uint64 `msgpack:"orders" json:"orders"`
	RefusedOrders      uint64 `msgpack:"refused_orders" json:"refused_orders"`
	Malformed          uint64 `msgpack:"malformed" json:"malformed"`
	BatchLatencyMicros int64  `msgpack:"delay_us" json:"delay_us"` // of the latest batch
}
