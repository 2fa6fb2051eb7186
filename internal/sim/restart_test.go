package sim

import (
	"testing"

	"lilacthread/internal/lead"
)

// TestFleetRestartSharesTokens guards against a fleet that restarts whole and makes the leader raise
// its token once a machine, each of which would ask all workers for one more report (review/4).
func TestFleetRestartSharesTokens(t *testing.T) {
	const (
		machines  = 3100
		watched   = 20 * second
		maxRaises = 1 + int(watched/(2*second)) // one at once, then one in two seconds
	)
	w := newLoadedWorld(t, 3, machines)
	w.ReportChanges = true
	reportsBefore := w.reportsSent
	w.Run(w.now + watched)
	steadyReports := w.reportsSent - reportsBefore
	restartedAt := w.State.revision
	for _, id := range sortedKeys(w.Cloud.Machines) {
		w.Cloud.Machines[id].Restart()
	}
	reportsBefore = w.reportsSent
	w.Run(w.now + watched)
	reports := w.reportsSent - reportsBefore
	raises := 0
	for _, event := range w.State.eventsSince(lead.TermKey, restartedAt) {
		if event.PutKey == lead.TermKey {
			raises++
		}
	}
	t.Logf("%d machines restarted: the token was raised %d times, %d reports in %v s, %d in the same time before", machines, raises, reports, watched.Seconds(), steadyReports)
	if raises == 0 || raises > maxRaises {
		t.Errorf("the token was raised %d times, want 1 to %d", raises, maxRaises)
	}
	if len(w.Checker.Violations) > 0 {
		t.Errorf("rules broken: %v", w.Checker.Violations)
	}
}
