package node

import (
	"strings"
	"testing"
)

// TestOwnerFunctions checks that the log of a slow turn names the function that runs: without
// that, a hang of the owner goroutine can't be told from a process that gets no processor time.
func TestOwnerFunctions(t *testing.T) {
	n := &Node{wake: make(chan struct{}, 1)}
	release, entered := make(chan struct{}), make(chan struct{})
	n.Post(func() { blockOwner(entered, release) })
	finished := make(chan struct{})
	go func() {
		n.drain()
		close(finished)
	}()
	<-entered
	if n.turns.running() != 1 {
		t.Errorf("the running turn is %d, want 1", n.turns.running())
	}
	if got := ownerFunctions(); !strings.HasPrefix(got, "node.blockOwner < ") || !strings.Contains(got, "node.(*Node).drain") {
		t.Errorf("functions of the owner goroutine: %q", got)
	}
	close(release)
	<-finished
	if n.turns.running() != 0 {
		t.Errorf("turn %d is running after all have ended", n.turns.running())
	}
	recursive := "goroutine 7 [running]:\na/b.visit(0x1)\n\t/b.go:1\na/b.(*T).each(0x2)\n\t/b.go:3\na/b.visit(0x2)\n\t/b.go:1\na/b.(*T).start(...)\n\t/b.go:2\n"
	if got := functionNames(recursive, 5); got != "b.visit < b.(*T).each < b.(*T).start" {
		t.Errorf("a recursive function: %q", got)
	}
}

// blockOwner signals that it runs and waits.
//
//go:noinline
func blockOwner(entered, release chan struct{}) {
	close(entered)
	<-release
}
