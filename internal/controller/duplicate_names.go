package controller

import (
	"slices"

	"lilacthread/internal/clock"
)

// duplicateNameDetector detects that two running processes use the same node name: an operator's
// mistake, which no sequence of restarts resembles. After a process is replaced, only messages
// that a network partition delayed still arrive from it. An incarnation whose messages keep
// returning after those of another one is therefore still running.
type duplicateNameDetector struct {
	current        uint64   // incarnation of the last message
	previous       []uint64 // earlier incarnations, the latest last
	returns        int      // how often a message of an earlier incarnation arrived again
	firstReturnAt  Micros   // time of the first of the returns
	lastReportedAt Micros   // when a duplicate was last reported, or 0
}

const (
	maxPreviousIncarnations = 16 // a crash loop produces many
	minDuplicateReturns     = 4  // when a partition ends, its messages arrive in order: one return per link
	duplicateNameWindow     = 30 * clock.Second
)

// observe records the incarnation that sent a message. It returns true if a duplicate name
// must be reported now.
func (d *duplicateNameDetector) observe(incarnation uint64, now Micros) bool {
	if incarnation == 0 || incarnation == d.current {
		return false
	}
	returned := slices.Contains(d.previous, incarnation)
	if d.current != 0 && !slices.Contains(d.previous, d.current) {
		d.previous = append(d.previous, d.current)
		if len(d.previous) > maxPreviousIncarnations {
			d.previous = slices.Delete(d.previous, 0, 1)
		}
	}
	d.current = incarnation
	if !returned {
		return false
	}
	if now-d.firstReturnAt > duplicateNameWindow {
		d.firstReturnAt, d.returns = now, 0
	}
	d.returns++
	if d.returns < minDuplicateReturns || d.lastReportedAt != 0 && now-d.lastReportedAt < duplicateNameWindow {
		return false
	}
	d.lastReportedAt = now
	return true
}
