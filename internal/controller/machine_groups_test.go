package controller

import (
	"fmt"
	"strings"
	"testing"

	"lilacthread/internal/config"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestGroupMigration checks the migration of machine records to groups: the groups stay
// within the value size limit, a machine's own record is deleted only after its group is
// written and the task records hold its placements, and the next leader restores the same
// machines, placements and images.
func TestGroupMigration(t *testing.T) {
	records := productionRecords(t)
	c := newLoadingCore(LevelPlacements, config.StateLimits{ValueKB: 4, TxnOps: 32, WriteRPS: 100})
	loadRecords(t, c, records)
	c.format.level = LevelGroups
	c.migrateRecords()
	isMachineKey := func(key string) bool { return strings.HasPrefix(key, machinePrefix) }
	deletions := func() int {
		n := 0
		for _, write := range c.committer.pending {
			changes, ok := write.render()
			for _, ch := range changes {
				if ok && isMachineKey(ch.DeleteKey) {
					n++
				}
			}
		}
		return n
	}
	if n := deletions(); n != 0 {
		t.Errorf("%d machine records are deleted before their groups are written", n)
	}
	for _, m := range c.machines {
		m.InGroupRecord = true
	}
	if n := deletions(); n != 0 {
		t.Errorf("%d machine records are deleted before the task records hold the placements", n)
	}
	for _, m := range c.machines {
		for _, p := range m.Placements {
			p.InTaskRecord = true
		}
	}
	if n := deletions(); n != 2 {
		t.Errorf("%d machine records are deleted once groups and task records are written, want 2", n)
	}
	for key, value := range renderPending(c, t) {
		records[key] = value
	}
	restored := newLoadingCore(LevelGroups, c.cfg.Params.State)
	for key, value := range records {
		if isMachineKey(key) {
			delete(records, key)
		}
		if strings.HasPrefix(key, groupPrefix) {
			restored.setCatalog(readCatalog([]wire.Item{{Key: catalogKey, Value: records[catalogKey]}}))
			restored.restoreGroup(&wire.Item{Key: key, Value: value})
		}
	}
	loadRecords(t, restored, records)
	checkRestored(t, restored)
	if got, want := restored.machines["m-000001"], c.machines["m-000001"]; got.RequestedAt/1e6 != want.RequestedAt/1e6 || got.Spot != want.Spot || got.Zone != want.Zone {
		t.Errorf("restored machine m-000001 is %+v, want %+v", got, want)
	}
}

// TestGroupRecordsFit checks that groups are written within the value size limit, and that
// images are left out of a full record starting with those cached on the fewest machines.
func TestGroupRecordsFit(t *testing.T) {
	c := newLoadingCore(LevelGroups, config.StateLimits{ValueKB: 2, TxnOps: 8, WriteRPS: 42})
	c.catalog = []wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, CacheGB: 1000}}
	var all []*sched.Machine
	for i := range 130 {
		m := c.addMachine(fmt.Sprintf("m-%06d", i), "", "t", "a", true, 0)
		m.TouchImage("everywhere", 1, 1)
		m.TouchImage(fmt.Sprintf("a-long-name-of-an-image-%d", i), 1, 1)
		all = append(all, m)
	}
	c.saveNewMachines(all)
	groups := renderPending(c, t)
	for key, value := range groups {
		if n := wire.JSONSize(value); n > 2048 {
			t.Errorf("record %s takes %d bytes, limit 2048", key, n)
		}
	}
	restored := newLoadingCore(LevelGroups, c.cfg.Params.State)
	restored.catalog = c.catalog
	for key, value := range groups {
		restored.restoreGroup(&wire.Item{Key: key, Value: value})
	}
	if len(restored.machines) != 130 || len(groups) > 4 {
		t.Fatalf("restored %d machines from %d groups, want 130 machines from at most 4 groups", len(restored.machines), len(groups))
	}
	for id, m := range restored.machines {
		if _, ok := m.Images["everywhere"]; !ok || !m.Recorded {
			t.Errorf("machine %s: not recorded, or the image \"everywhere\" is missing from %v", id, m.Images)
		}
	}
}
