package controller

import "lilacthread/wire"

// A transaction that was carried out may reach the state service once more, minutes later. The
// condition on the leader key holds for all of them as long as the key is not rewritten, and a copy
// would write old records over newer ones. Each transaction of the leader therefore has a condition
// that its own effect makes false for ever: either on the present version of a record that it writes
// or deletes, since versions only grow, or, if it only creates records, on that of the leader key,
// which it then rewrites. That a record does not exist would be no such condition: it holds again
// once the record is deleted.

// recordVersions holds, by key, the versions of records in the state service that the leader has read
// or written in its term and that nobody else changes. An entry that is missing costs one more change
// in a transaction; one that is wrong makes the transaction fail and is forgotten then.
type recordVersions map[string]uint64

// learn records the versions of items that were read.
func (v recordVersions) learn(items []wire.Item) {
	for i := range items {
		v[items[i].Key] = items[i].Version
	}
}

// commit records the effect of changes that the state service made at the revision.
func (v recordVersions) commit(changes []wire.Change, revision uint64) {
	for i := range changes {
		if changes[i].DeleteKey != "" {
			delete(v, changes[i].DeleteKey)
		} else {
			v[changes[i].PutKey] = revision
		}
	}
}

// forget removes the versions of keys that may have changed.
func (v recordVersions) forget(keys []string) {
	for _, key := range keys {
		delete(v, key)
	}
}

// forgetChanged removes the versions of the keys of changes that may have been made.
func (v recordVersions) forgetChanged(changes []wire.Change) {
	for i := range changes {
		delete(v, changes[i].PutKey)
		delete(v, changes[i].DeleteKey)
	}
}

// guardAgainstCopies returns a condition that the changes make false for ever. ok is false if no
// version of the changed records is known.
func (v recordVersions) guardAgainstCopies(changes []wire.Change) (guard wire.Guard, ok bool) {
	for i := range changes {
		key := changes[i].PutKey + changes[i].DeleteKey // one of them is empty
		if version := v[key]; version != 0 {
			return wire.Guard{Key: key, Version: version}, true
		}
	}
	return wire.Guard{}, false
}
