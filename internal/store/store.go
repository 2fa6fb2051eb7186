// Package store is the client of the state service. Each request ends with an Outcome that
// says whether the service executed it; the package does not retry and does not interpret
// keys or values. Packages cloud and worker report their outcomes with the same type.
package store

import (
	"lilacthread/wire"
)

// Outcome says whether a request was executed, as far as the client knows.
type Outcome int

// Outcomes of a request.
const (
	OK          Outcome = iota // executed
	Failed                     // 404 or 409: a guard did not hold, or a key or lease does not exist
	Gone                       // 410: the revision of a watch is too old
	Refused                    // not executed: no connection, 503, another 4xx, or the lease of a change has ended
	RateLimited                // 429: not executed because of too many requests or writes
	Invalid                    // 400: not executed, and a retry would fail too; usually a size limit
	Unknown                    // no valid answer: executed, not executed, or still to be executed
)

// Service is the interface of the state service. All methods return immediately and call
// done later on the caller's owner goroutine.
type Service interface {
	// List reads a page of at most limit keys that begin with prefix and follow after.
	List(prefix, after string, limit int, done func(Outcome, *wire.ItemList))
	// Get reads one key.
	Get(key string, done func(Outcome, *wire.Item))
	// Txn applies a transaction.
	Txn(txn *wire.Txn, done func(Outcome, *wire.TxnAnswer))
	// Grant creates a lease and passes its id to done.
	Grant(ttlMillis int64, done func(Outcome, uint64))
	// Renew extends a lease by its time to live.
	Renew(lease uint64, done func(Outcome))
	// Revoke ends a lease.
	Revoke(lease uint64, done func(Outcome))
	// Watch reads the changes of keys that begin with prefix since a revision. If there are
	// none it waits for a change for at most waitMillis.
	Watch(prefix string, since uint64, waitMillis int64, done func(Outcome, *wire.WatchAnswer))
}
