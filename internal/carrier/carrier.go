// Package carrier lets controllers that do not lead carry workers' connections: a Relay
// hands their reports on to the leader in batches and sends the leader's orders to them; a
// Router is the leader's side of it. The leader decides and answers every report as ever.
// Both run on the owner goroutine and do no I/O of their own.
package carrier

import (
	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// Answer is the reply to a worker's report.
type ReportAnswer struct {
	Code   int
	Body   wire.ReportAnswer
	Leader string // with 421: where to report
}

// Host is the controller that carries.
type Host interface {
	Now() Micros
	After(d Micros, f func())
	// Message begins a message to another controller.
	NewMessage(kind fb.Kind) *peer.Msg
	// Ask sends it; done gets nil when no answer came in time.
	Call(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg))
	// Order sends commands to the worker at addr; see controller.Env.
	SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report))
	// Leader is the controller that leads as far as is known, or "".
	Leader() string
	// Reaches reports whether another controller was heard of late and relays.
	Reachable(node string) bool
}

// Codes between controllers, beside those that a worker gets.
const (
	codeNeedFullReport = 409 // the leader needs the whole report
	codeNotLeader      = 421 // another node leads, or none
	codeMalformed      = 400
	codeBusy           = 503
)

// NotLeader answers a batch of reports at a node that does not lead.
func NotLeaderAnswers(reports int) []peer.RelayedAnswer {
	answers := make([]peer.RelayedAnswer, reports)
	for i := range answers {
		answers[i].Code = codeNotLeader
	}
	return answers
}

// Times of a relayed message. A worker drops answers later than 4 s after its report.
const (
	batchDelay = 10 * clock.Millisecond // of the first item of a batch
	// answerWithin is how long the leader's answer to a batch is awaited.
	answerTimeout = 5 * clock.Second / 2
	// retryWithin is how old a report may be to be sent again, to another leader.
	maxRetryAge = clock.Second
	// waitAtMost is how long an item may wait for its batch.
	maxQueueTime = clock.Second
	// receivedWithin is how long a batch of orders, or of results, is counted as in flight
	// without an answer.
	ackTimeout = 2 * clock.Second
	// OrderWithin is how long the result of an order through another controller is
	// awaited: what waits for its batch, the order's own time and the way back.
	OrderTimeout = maxQueueTime + 2*clock.Second + maxQueueTime
)

// batchBounds are those of batches to one controller; a frame holds 256 KB, a report 64 KB at most.
func batchLimits(maxQueued int) BatchLimits {
	return BatchLimits{MaxItems: 512, MaxBytes: 96 << 10, MaxInFlight: 4, MaxQueued: maxQueued}
}

// Counts are a controller's counters since its start.
type Counters struct {
	Relayed       uint64 // reports sent to the leader
	Repeated      uint64 // of these, without their tasks: nothing was new
	Batches       uint64
	Unanswered    uint64 // batches
	Redirected    uint64 // workers sent to the controller that carries them
	Shed          uint64 // reports refused because too many wait
	Orders        uint64 // sent to workers for the leader
	RefusedOrders uint64 // orders that this node had no connection for
	Malformed     uint64 // items of a batch that could not be read
	BatchLatency  Micros // of the latest batch, until it was answered
}
