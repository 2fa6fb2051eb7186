package controller

import (
	"testing"

	"lilacthread/wire"
)

// TestGuardAgainstCopies guards against a transaction that can be carried out twice (review/5): its
// condition must not hold any more after its own changes, whatever is done to the records later.
func TestGuardAgainstCopies(t *testing.T) {
	versions := recordVersions{}
	versions.learn([]wire.Item{{Key: "j/req-000001", Version: 5}, {Key: "t/req-000001/0", Version: 9}})
	update := []wire.Change{{PutKey: "t/req-000002/0"}, {PutKey: "t/req-000001/0"}}
	archive := []wire.Change{{PutKey: "f/req-000001"}, {DeleteKey: "j/req-000001"}}
	creation := []wire.Change{{PutKey: "t/req-000003/0"}, {DeleteKey: "j/req-000003/s"}}
	if guard, ok := versions.guardAgainstCopies(update); !ok || guard != (wire.Guard{Key: "t/req-000001/0", Version: 9}) {
		t.Errorf("an update has the condition %+v, %v", guard, ok)
	}
	if guard, ok := versions.guardAgainstCopies(archive); !ok || guard != (wire.Guard{Key: "j/req-000001", Version: 5}) {
		t.Errorf("a deletion has the condition %+v, %v", guard, ok)
	}
	if guard, ok := versions.guardAgainstCopies(creation); ok {
		t.Errorf("a creation has the condition %+v, which may hold again once the record is deleted", guard)
	}
	versions.commit(update, 12)
	versions.commit(archive, 13)
	if guard, _ := versions.guardAgainstCopies(update); guard.Version != 12 {
		t.Errorf("after a commit the condition is %+v, want version 12", guard)
	}
	if _, ok := versions.guardAgainstCopies([]wire.Change{{PutKey: "j/req-000001"}}); ok {
		t.Error("a deleted record has a version")
	}
	versions.forgetChanged(update) // without an answer nobody knows whether they were made
	if _, ok := versions.guardAgainstCopies(update); ok {
		t.Error("the condition of a transaction with unknown outcome is kept")
	}
	versions.forget([]string{"f/req-000001"}) // the state service said that the condition failed
	if len(versions) != 0 {
		t.Errorf("versions are left: %v", versions)
	}
}
