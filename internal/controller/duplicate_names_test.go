package controller

import (
	"testing"

	"lilacthread/internal/clock"
)

// TestDuplicateNames checks that neither frequent restarts nor messages delayed by a partition
// are reported as a duplicate name, and that two processes that send messages in turn are
// reported, but not with each message.
func TestDuplicateNames(t *testing.T) {
	var detector duplicateNameDetector
	now := Micros(0)
	for i := range uint64(1000) {
		now += 50 * clock.Millisecond
		for range 2 { // a process sends more than one message
			if detector.observe(i+1, now) {
				t.Fatalf("restart %d was reported as a duplicate name", i)
			}
		}
	}
	if detector.observe(999, now) || detector.observe(1000, now) || detector.observe(998, now) {
		t.Error("messages delayed by a partition were reported as a duplicate name")
	}
	detector, reported := duplicateNameDetector{}, 0
	for i := range 600 { // ten minutes
		now += clock.Second
		if detector.observe(uint64(1+i%2), now) {
			reported++
		}
	}
	if reported < 10 || reported > 25 {
		t.Errorf("a duplicate name was reported %d times in ten minutes, want 10 to 25", reported)
	}
}
