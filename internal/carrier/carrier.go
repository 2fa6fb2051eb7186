// Package carrier lets controllers that do not lead hold workers' connections. On a relaying
// controller, a Relay forwards workers' reports to the leader in batches and sends the
// leader's command batches to the workers. On the leader, a Router receives those reports and
// chooses the controller through which a command batch is sent. The package makes no
// decision on a report: the leader does, as for a worker that reports to it directly. Relay
// and Router run on the owner goroutine and do no I/O themselves. Package relay decides which
// controller relays for which worker.
package carrier

import (
	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// ReportAnswer is the answer to a worker's report.
type ReportAnswer struct {
	Code   int // HTTP status
	Body   wire.ReportAnswer
	Leader string // with status 421: the controller to report to
}

// Host is the controller that a Relay or a Router is part of.
type Host interface {
	Now() Micros
	After(d Micros, f func())
	// NewMessage returns a message to another controller with the common fields set.
	NewMessage(kind fb.Kind) *peer.Msg
	// Call sends a message to a controller. done gets the answer, or nil if none arrives
	// within the timeout.
	Call(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg))
	// SendOrders sends a command batch to the worker at addr; see controller.Env.
	SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report))
	// Leader returns the name of the controller that leads as far as is known, or "".
	Leader() string
	// Reachable reports whether another controller sent a message recently and supports
	// relaying.
	Reachable(node string) bool
}

// Codes of the leader's answers to relayed reports, besides 200. The relay handles 409 and
// 421 itself; the worker receives 200 or codeBusy.
const (
	codeNeedFullReport = 409 // the leader lacks the report that the item refers to
	codeNotLeader      = 421 // another node leads, or none does
	codeMalformed      = 400
	codeBusy           = 503
)

// NotLeaderAnswers returns the answers of a node that does not lead to a batch with the
// given number of reports.
func NotLeaderAnswers(reports int) []peer.RelayedAnswer {
	answers := make([]peer.RelayedAnswer, reports)
	for i := range answers {
		answers[i].Code = codeNotLeader
	}
	return answers
}

// Timeouts of relayed messages. A worker ignores an answer that arrives more than 4 s after
// its report.
const (
	// batchDelay is how long the first item of a batch waits for further items.
	batchDelay = 10 * clock.Millisecond
	// answerTimeout is how long a relay waits for the leader's answer to a batch of reports.
	answerTimeout = 5 * clock.Second / 2
	// maxRetryAge is the maximum age of a report that is sent again, to another leader.
	maxRetryAge = clock.Second
	// maxQueueTime is how long an item may be queued before it expires.
	maxQueueTime = clock.Second
	// ackTimeout is how long a message with command batches, or with results, counts as in
	// flight without an answer.
	ackTimeout = 2 * clock.Second
	// OrderTimeout is how long the leader waits for the result of a command batch sent
	// through another controller: the queue time at the leader, 2 s for the worker's
	// answer, and the queue time of the result at the relay.
	OrderTimeout = maxQueueTime + 2*clock.Second + maxQueueTime
)

// batchLimits returns the limits of the batches to one controller. They keep a batch within
// a frame: a frame holds at most 256 KiB, and a report has at most 64 KiB.
func batchLimits(maxQueued int) BatchLimits {
	return BatchLimits{MaxItems: 512, MaxBytes: 96 << 10, MaxInFlight: 4, MaxQueued: maxQueued}
}

// Counters counts the events of a relay since its process started.
type Counters struct {
	Relayed       uint64 // reports sent to the leader
	Repeated      uint64 // of Relayed: reports sent without their body because nothing changed
	Batches       uint64 // batches of reports sent to the leader
	Unanswered    uint64 // batches of reports without a valid answer
	Redirected    uint64 // redirects of a worker to the controller that should relay for it
	Shed          uint64 // reports refused because too many were queued
	Orders        uint64 // command batches sent to workers for the leader
	RefusedOrders uint64 // command batches refused because too many, each on its own connection, were in flight
	Malformed     uint64 // items of a batch that could not be decoded
	BatchLatency  Micros // time until the latest batch of reports was answered or timed out
}
