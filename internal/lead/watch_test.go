package lead

import (
	"testing"

	"lilacthread/wire"
)

// TestKeepsLeader guards against followers that read the election's keys whenever the leader rewrites
// its key, and against one that overlooks a new leader.
func TestKeepsLeader(t *testing.T) {
	elector := New(nil, nil, Record{Node: "node-1"}, 0, Callbacks{})
	elector.watched = Record{Node: "node-0", Incarnation: 7, Term: 3}
	write := func(r Record) wire.Event { return wire.Event{PutKey: Key, Value: wire.Encode(&r)} }
	raise := wire.Event{PutKey: TermKey, Value: wire.Encode(&termRecord{4})}
	same := write(Record{Node: "node-0", Incarnation: 7, Term: 3, RewriteCount: 2})
	for name, test := range map[string]struct {
		events []wire.Event
		want   bool
	}{
		"no event":           {nil, true},
		"rewritten":          {[]wire.Event{same, same}, true},
		"token raised":       {[]wire.Event{raise}, true},
		"next term":          {[]wire.Event{same, write(Record{Node: "node-0", Incarnation: 7, Term: 4}), raise}, false},
		"other process":      {[]wire.Event{write(Record{Node: "node-0", Incarnation: 8, Term: 3})}, false},
		"other node":         {[]wire.Event{write(Record{Node: "node-2", Incarnation: 7, Term: 3})}, false},
		"key gone":           {[]wire.Event{same, {DeleteKey: Key}}, false},
		"not a leader's key": {[]wire.Event{{PutKey: Key, Value: wire.Encode("x")}}, false},
	} {
		if got := elector.keepsLeader(test.events); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
