// Package store talks to the state service. Answers come in four kinds: ok,
// conflict or absence, refused (surely not executed) and unknown (executed,
// not executed, or yet to be executed).
package store

import (
	"lilacthread/wire"
)

// Outcome says what is known of a request.
type Outcome int

// Outcomes.
const (
	OK          Outcome = iota
	Failed              // 404 or 409: a guard did not hold, a key or lease does not exist
	Gone                // 410: the watch's revision is too old
	Refused             // 503 or an ended lease: not executed
	RateLimited         // 429: not executed, too many requests or changes
	Invalid             // 400: not executed, and it would not be another time; mostly a size
	Unknown             // no answer, or one that makes no sense
)

// Service is the state service as a client sees it. Calls return at once; done
// runs later on the caller's owner goroutine.
type Service interface {
	List(prefix, after string, limit int, done func(Outcome, *wire.ItemList))
	Get(key string, done func(Outcome, *wire.Item))
	Txn(txn *wire.Txn, done func(Outcome, *wire.TxnAnswer))
	Grant(ttlMillis int64, done func(Outcome, uint64))
	Renew(lease uint64, done func(Outcome))
	Revoke(lease uint64, done func(Outcome))
	Watch(prefix string, since uint64, waitMillis int64, done func(Outcome, *wire.WatchAnswer))
}
