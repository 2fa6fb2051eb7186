package wire

import "github.com/vmihailenco/msgpack/v5"

// Item is a key of the state service with its value. Version is the revision of its last write.
type Item struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version uint64             `msgpack:"mark"`
	Lease   uint64             `msgpack:"hold"` // lease that the key is attached to; 0 for none
}

// ItemList is a page of keys, read at one revision of the state service.
type ItemList struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"has_next"`
	Revision uint64 `msgpack:"epoch"`
}

// Guard is a condition of a transaction: the key has the version. Version 0 means that the
// key does not exist.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"mark"`
}

// Change writes the key PutKey or deletes the key DeleteKey; the other one is empty.
type Change struct {
	PutKey    string             `msgpack:"write,omitempty"`
	Value     msgpack.RawMessage `msgpack:"value,omitempty"`
	Lease     uint64             `msgpack:"hold,omitempty"`
	DeleteKey string             `msgpack:"delete,omitempty"`
}

// Txn is an atomic transaction: all changes are applied if all guards hold, else none.
type Txn struct {
	If   []Guard  `msgpack:"guards"`
	Then []Change `msgpack:"then"`
}

// TxnAnswer is the result of a transaction. FailedGuards has the keys of the guards that
// did not hold.
type TxnAnswer struct {
	Revision     uint64   `msgpack:"epoch"`
	FailedGuards []string `msgpack:"failed"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTL int64 `msgpack:"ttl_ms"` // milliseconds
}

// LeaseAnswer has the id of the granted lease.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"hold"`
}

// Event is one change that a watch reports: a write of PutKey or a deletion of DeleteKey.
type Event struct {
	PutKey    string             `msgpack:"write"`
	DeleteKey string             `msgpack:"delete"`
	Value     msgpack.RawMessage `msgpack:"value"`
	Version   uint64             `msgpack:"mark"`
}

// WatchAnswer holds the changes after the requested revision, up to Revision.
type WatchAnswer struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"events"`
}
