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
	current        uint64   // who spoke last
	previous       []uint64 // who spoke before, the latest last
	returns        int      // how often one of those spoke again
	firstReturnAt  Micros   // of the first of the returns
	lastReportedAt Micros   // when it was last told, or 0
}

const (
	maxPreviousIncarnations = 16 // incarnations; a crash loop makes many
	minDuplicateReturns     = 4  // a cut that ends delivers its messages in order: one return a link
	duplicateNameWindow     = 30 * clock.Second
)

// hear takes in who speaks; it reports whether that is to be told now.
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
