package controller

import (
	"slices"

	"lilacthread/internal/clock"
)

// namesakes notices that a peer's name is borne by two processes at once: an operator's
// mistake, which no restart looks like. A process that was replaced never speaks again
// but for what a cut held back, so one that is heard again and again after another was
// is alive.
type duplicateNameDetector struct {
	now     uint64   // who spoke last
	before  []uint64 // who spoke before, the latest last
	returns int      // how often one of those spoke again
	since   Micros   // of the first of the returns
	told    Micros   // when it was last told, or 0
}

const (
	namesakeMemory  = 16 // incarnations; a crash loop makes many
	namesakeReturns = 4  // a cut that ends delivers its messages in order: one return a link
	namesakeWindow  = 30 * clock.Second
)

// hear takes in who speaks; it reports whether that is to be told now.
func (n *duplicateNameDetector) observe(incarnation uint64, now Micros) bool {
	if incarnation == 0 || incarnation == n.now {
		return false
	}
	again := slices.Contains(n.before, incarnation)
	if n.now != 0 && !slices.Contains(n.before, n.now) {
		n.before = append(n.before, n.now)
		if len(n.before) > namesakeMemory {
			n.before = slices.Delete(n.before, 0, 1)
		}
	}
	n.now = incarnation
	if !again {
		return false
	}
	if now-n.since > namesakeWindow {
		n.since, n.returns = now, 0
	}
	n.returns++
	if n.returns < namesakeReturns || n.told != 0 && now-n.told < namesakeWindow {
		return false
	}
	n.told = now
	return true
}
