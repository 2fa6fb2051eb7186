package wire

// RelayStatus is a node's view of relaying: which controllers hold workers' connections for
// the leader, and what this node has relayed since it started. It is the answer to GET
// /relays, for operators.
type RelayStatus struct {
	Node     string   `msgpack:"node" json:"node"`
	IsLeader bool     `msgpack:"leads" json:"leads"`
	Active   bool     `msgpack:"in_force" json:"in_force"` // false: workers report to the leader
	Term     uint64   `msgpack:"term" json:"term"`         // term of the leader that chose the members
	Number   uint64   `msgpack:"number" json:"number"`     // increases with each change of the members in a term
	Members  []string `msgpack:"members" json:"members"`   // names of the relaying controllers

	WorkersPerRelay map[string]int `msgpack:"carried" json:"carried"` // number of workers by relaying controller; known to the leader only

	Workers            int    `msgpack:"workers" json:"workers"`               // workers that report to this node
	QueuedReports      int    `msgpack:"waiting" json:"waiting"`               // reports that wait to be sent in a batch
	Relayed            uint64 `msgpack:"relayed" json:"relayed"`               // reports sent to the leader
	Repeated           uint64 `msgpack:"repeated" json:"repeated"`             // of Relayed, those sent without their body because nothing changed
	Batches            uint64 `msgpack:"batches" json:"batches"`               // batches of reports sent to the leader
	Unanswered         uint64 `msgpack:"unanswered" json:"unanswered"`         // batches of reports without a valid answer
	Redirected         uint64 `msgpack:"redirected" json:"redirected"`         // times a worker was redirected to its relaying controller
	Shed               uint64 `msgpack:"shed" json:"shed"`                     // reports refused because the queue was full
	Orders             uint64 `msgpack:"orders" json:"orders"`                 // command batches sent to workers for the leader
	RefusedOrders      uint64 `msgpack:"refused_orders" json:"refused_orders"` // command batches refused because too many were in flight
	Malformed          uint64 `msgpack:"malformed" json:"malformed"`           // batch items that could not be decoded
	BatchLatencyMicros int64  `msgpack:"delay_us" json:"delay_us"`             // time until the latest batch of reports was answered or timed out
}
