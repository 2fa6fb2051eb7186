package relay

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
)

func nodeNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return out
}

// TestOnlyItsPartMoves: when a member leaves, or is back, no worker of another one moves.
func TestOnlyWorkersOfChangedMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := nodeNames(rapid.IntRange(2, 12).Draw(t, "members"))
		removed := rapid.SampledFrom(members).Draw(t, "gone")
		before := Table{Members: members}
		after := Table{Members: slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == removed })}
		for i := range 300 {
			machine := fmt.Sprintf("m-%06d", i)
			a, b := before.RelayFor(machine), after.RelayFor(machine)
			if a != removed && a != b {
				t.Fatalf("%s moves from %s to %s", machine, a, b)
			}
		}
	})
}

// TestEvenLoad: members carry about the same number of workers.
func TestEvenLoad(t *testing.T) {
	table, count := Table{Members: nodeNames(5)}, map[string]int{}
	for i := range 3100 {
		count[table.RelayFor(fmt.Sprintf("m-%06d", i))]++
	}
	for name, n := range count {
		if math.Abs(float64(n)-620) > 620*0.15 {
			t.Errorf("%s carries %d of 3100", name, n)
		}
	}
}

// view has every candidate heard just now but for those named, which fell silent.
func candidatesSeen(now Micros, silentSince map[string]Micros, all ...string) []Candidate {
	var out []Candidate
	for _, name := range all {
		lastSeen := now
		if at, ok := silentSince[name]; ok {
			lastSeen = at
		}
		out = append(out, Candidate{Name: name, LastSeen: lastSeen})
	}
	return out
}

// TestMembershipDoesNotFlap: a controller that comes and goes every few seconds moves no
// workers each time; one that stays away leaves, and is back after a while.
func TestMembershipDoesNotFlap(t *testing.T) {
	m, changes := NewMembership(1, 0), 0
	silentSince := map[string]Micros{}
	for now := Micros(0); now < 300*clock.Second; now += clock.Second / 2 {
		delete(silentSince, "node-1")
		if now > 20*clock.Second && now/clock.Second%4 < 3 { // heard one second of four
			silentSince["node-1"] = now/(4*clock.Second)*(4*clock.Second) - clock.Second
		}
		if m.Update(now, "self", 100, 50, candidatesSeen(now, silentSince, nodeNames(3)...)) {
			changes++
		}
	}
	if changes > 2 || slices.Contains(m.Table().Members, "node-1") {
		t.Errorf("%d changes, members %v", changes, m.Table().Members)
	}
}

// TestMembersLeaveAndJoin covers silence, connections that run short, too few members and
// too few workers.
func TestMembersLeaveAndJoin(t *testing.T) {
	m, now := NewMembership(1, 0), Micros(0)
	all := nodeNames(4)
	updatedMembers := func(workers int, change func([]Candidate)) []string {
		now += 20 * clock.Second
		for range 3 { // who joins must have been heard for a while
			now += joinDelay
			list := candidatesSeen(now, nil, all...)
			if change != nil {
				change(list)
			}
			m.Update(now, "self", workers, 50, list)
		}
		return m.Table().Members
	}
	steps := []struct {
		name    string
		workers int
		change  func([]Candidate)
		want    []string
	}{
		{"all heard", 100, nil, all},
		{"one silent", 100, func(c []Candidate) { c[2].LastSeen = 0 }, []string{"node-0", "node-1", "node-3"}},
		{"back", 100, nil, all},
		{"connections short", 100, func(c []Candidate) { c[0].ConnectionUsage = 0.8 }, all[1:]},
		{"still short", 100, func(c []Candidate) { c[0].ConnectionUsage = 0.7 }, all[1:]},
		{"short no more", 100, nil, all},
		{"one left", 100, func(c []Candidate) { c[0].LastSeen, c[1].LastSeen, c[2].LastSeen = 0, 0, 0 }, []string{"node-3", "self"}},
		{"nobody left", 100, func(c []Candidate) {
			for i := range c {
				c[i].LastSeen = 0
			}
		}, nil},
		{"fewer workers, but not by much", 45, nil, all},
		{"few workers", 30, nil, nil},
		{"more, but not enough", 45, nil, nil},
	}
	for _, step := range steps {
		if got := updatedMembers(step.workers, step.change); !slices.Equal(got, step.want) {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}

// TestBatches holds batches to their bounds, in order and without loss.
func TestBatcherLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBatcher[int](BatchLimits{MaxItems: 5, MaxBytes: 100, MaxInFlight: 2, MaxQueued: 20})
		added, taken := 0, 0
		for range 200 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				waiting := b.Len()
				if ok := b.Add(added, rapid.IntRange(1, 150).Draw(t, "size"), 0); ok {
					added++
				} else if waiting < 20 {
					t.Fatalf("refused with %d waiting", waiting)
				}
			case 2:
				batch := b.Next()
				if len(batch) > 5 || b.InFlight() > 2 {
					t.Fatalf("%d items, %d in flight", len(batch), b.InFlight())
				}
				for _, x := range batch {
					if x != taken {
						t.Fatalf("item %d after %d", x, taken)
					}
					taken++
				}
			case 3:
				if b.InFlight() > 0 {
					b.Done()
				}
			}
			if added-taken != b.Len() {
				t.Fatalf("%d added, %d taken, %d wait", added, taken, b.Len())
			}
		}
	})
}
