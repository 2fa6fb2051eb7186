package oneway

import (
	"testing"

	"lilacthread/internal/clock"
	"pgregory.net/rapid"
)

const span = 4 * clock.Second

// TestDeaf covers what makes a machine deaf, and what gives it up.
func TestDeaf(t *testing.T) {
	var e Detector
	for i := range 10 { // copies of one sign weigh nothing
		if e.See(OrderLost, Micros(i)*clock.Millisecond, span) {
			t.Fatal("deaf by one sign")
		}
	}
	if e.See(TokenLost, 5*clock.Second, span) || !e.See(LaunchLost, 10*clock.Second, span) {
		t.Fatal("three signs make it deaf")
	}
	now := 10 * clock.Second
	for e.silent < questions {
		if now += clock.Second; e.Ask(now) {
			if e.Hopeless(now, 30*clock.Second) {
				t.Fatal("given up before it was asked")
			}
			e.Answered(false)
		}
	}
	if e.Hopeless(now, 100*clock.Second) || !e.Hopeless(now+60*clock.Second, 100*clock.Second) {
		t.Error("given up when its lease must be ending")
	}
	e.Answered(true)
	if e.Partitioned || e.Hopeless(now+clock.Second, 0) {
		t.Error("an answer is a proof that it hears")
	}
	if !e.See(SessionLost, now, span) {
		t.Error("a lease that ended though it was renewed is enough")
	}
}

// TestProofs: whatever came before, a proof clears it, and without a sign nothing is asked
// and nobody is deaf.
func TestProofs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Detector
		now, weight := Micros(0), Sign(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 9000).Draw(t, "ms")) * clock.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				e.Proof()
				weight = 0
			case 1:
				s := rapid.SampledFrom([]Sign{OrderLost, SessionLost}).Draw(t, "sign")
				weight += s
				e.See(s, now, span)
			case 2:
				if e.Ask(now) {
					if weight == 0 {
						t.Fatal("asked without a sign")
					}
					e.Answered(false)
				}
			}
			if e.Partitioned && weight < enough {
				t.Fatalf("deaf by signs of weight %d", weight)
			}
		}
	})
}
