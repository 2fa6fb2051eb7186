package node

import (
	"bytes"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// A function on the owner goroutine that takes long delays everything else, including the renewal
// of the leader's lease. turnWatch logs what such a function does while it still runs, since it
// may take too long for a log line at its end.

const (
	// slowTurnCheckInterval is how often the owner goroutine is checked. A turn is slow if two
	// checks in a row find it running.
	slowTurnCheckInterval = time.Second / 2
	// ownerStackFrames is how many of the innermost functions are logged.
	ownerStackFrames = 12
	// stackBufferSize is the space, in bytes, for the stacks of all goroutines.
	stackBufferSize = 1 << 20
)

// ownerFrame is the function of the owner goroutine that runs the queued functions; it tells
// the owner's stack from those of other goroutines.
const ownerFrame = "node.(*Node).drain("

// turnWatch detects functions that keep the owner goroutine busy for long. The zero value is
// ready for use.
type turnWatch struct {
	started  atomic.Uint64 // turns begun
	finished atomic.Uint64 // turns ended
}

// run runs f as one turn of the owner goroutine.
func (w *turnWatch) run(f func()) {
	w.started.Add(1)
	f()
	w.finished.Add(1)
}

// running returns the number of the turn that runs now, or 0 between turns.
func (w *turnWatch) running() uint64 {
	finished := w.finished.Load()
	if started := w.started.Load(); started > finished {
		return started
	}
	return 0
}

// watch logs slow turns until the channel is closed, each once.
func (w *turnWatch) watch(done <-chan struct{}) {
	ticker := time.NewTicker(slowTurnCheckInterval)
	defer ticker.Stop()
	previous, logged := uint64(0), uint64(0)
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		turn := w.running()
		if turn != 0 && turn == previous && turn != logged {
			logged = turn
			slog.Info("owner goroutine busy for long", "more_than", slowTurnCheckInterval, "in", ownerFunctions())
		}
		previous = turn
	}
}

// ownerFunctions returns the innermost functions on the owner goroutine's stack, the innermost
// first, or "" if there is none. It stops all goroutines for a moment.
func ownerFunctions() string {
	stacks := make([]byte, stackBufferSize)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, stack := range bytes.Split(stacks, []byte("\n\n")) {
		if bytes.Contains(stack, []byte(ownerFrame)) {
			return functionNames(string(stack), ownerStackFrames)
		}
	}
	return ""
}

// functionNames returns the names of at most limit functions of a goroutine's stack in the form
// of runtime.Stack. A function that occurs several times is named once, so that a recursion leaves
// room for its callers.
func functionNames(stack string, limit int) string {
	var names []string
	for _, line := range strings.Split(stack, "\n")[1:] {
		if line == "" || strings.HasPrefix(line, "\t") { // the position in the source of the function above
			continue
		}
		name := line
		if arguments := strings.LastIndexByte(line, '('); arguments > 0 {
			name = line[:arguments]
		}
		name = name[strings.LastIndexByte(name, '/')+1:]
		if slices.Contains(names, name) {
			continue
		}
		if len(names) == limit {
			break
		}
		names = append(names, name)
	}
	return strings.Join(names, " < ")
}
