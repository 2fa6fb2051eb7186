package wire

import "github.com/vmihailenco/msgpack/v5"

// Item is a key of the state service with its value and revision.
type Item struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version uint64             `msgpack:"mark"`
	Lease   uint64             `msgpack:"hold"`
}

// ItemList is a page of keys.
type ItemList struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"has_next"`
	Revision uint64 `msgpack:"epoch"`
}

// Guard demands that a key has a version; 0 means that it does not exist.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"mark"`
}

// Change puts or deletes one key.
type Change struct {
	PutKey    string             `msgpack:"write,omitempty"`
	Value     msgpack.RawMessage `msgpack:"value,omitempty"`
	Lease     uint64             `msgpack:"hold,omitempty"`
	DeleteKey string             `msgpack:"delete,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Guard  `msgpack:"guards"`
	Then []Change `msgpack:"then"`
}

// TxnAnswer tells whether a transaction was applied; Failed names the guards
// that did not hold.
type TxnAnswer struct {
	Revision     uint64   `msgpack:"epoch"`
	FailedGuards []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTL int64 `msgpack:"ttl_ms"`
}

// LeaseAnswer names the lease granted.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"hold"`
}

// Event is one change seen by a watch.
type Event struct {
	PutKey    string             `msgpack:"write"`
	DeleteKey string             `msgpack:"delete"`
	Value     msgpack.RawMessage `msgpack:"value"`
	Version   uint64             `msgpack:"mark"`
}

// WatchAnswer holds the changes after the revision asked for.
type WatchAnswer struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
