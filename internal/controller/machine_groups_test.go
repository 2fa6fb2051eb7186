package controller

import (
	"fmt"
	"strings"
	"testing"

	"lilacthread/internal/config"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestGroups: at level 3 the machines of records of any level share one, within the value's
// limit; a machine's own record goes only when its group is written and the jobs hold its
// places, and the next leader finds the same machines, places and images.
func TestGroups(t *testing.T) {
	records := productionRecords(t)
	c := newLoadingCore(LevelPlacements, config.StateLimits{ValueKB: 4, TxnOps: 32, WriteRPS: 100})
	loadRecords(t, c, records)
	c.format.level = LevelGroups
	c.migrateRecords()
	isMachineKey := func(key string) bool { return strings.HasPrefix(key, machinePrefix) }
	deletions := func() int {
		n := 0
		for _, r := range c.committer.pending {
			changes, ok := r.render()
			for _, ch := range changes {
				if ok && isMachineKey(ch.DeleteKey) {
					n++
				}
			}
		}
		return n
	}
	if n := deletions(); n != 0 {
		t.Errorf("%d machines' own records go before their groups are written", n)
	}
	for _, m := range c.machines {
		m.InGroupRecord = true
	}
	if n := deletions(); n != 0 {
		t.Errorf("%d machines' own records go before the jobs hold their places", n)
	}
	for _, m := range c.machines {
		for _, p := range m.Placements {
			p.InJobRecord = true
		}
	}
	if n := deletions(); n != 2 {
		t.Errorf("%d machines' own records go when all is written, want 2", n)
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
		t.Errorf("%+v, was %+v", got, want)
	}
}

// TestGroupFits: a group of any size is written within the limit; images that find no room
// are left out, those of the fewest machines first.
func TestGroupFits(t *testing.T) {
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
			t.Errorf("%s takes %d bytes", key, n)
		}
	}
	restored := newLoadingCore(LevelGroups, c.cfg.Params.State)
	restored.catalog = c.catalog
	for key, value := range groups {
		restored.restoreGroup(&wire.Item{Key: key, Value: value})
	}
	if len(restored.machines) != 130 || len(groups) > 4 {
		t.Fatalf("%d machines of %d groups", len(restored.machines), len(groups))
	}
	for id, m := range restored.machines {
		if _, ok := m.Images["everywhere"]; !ok || !m.Recorded {
			t.Errorf("%s: %v", id, m.Images)
		}
	}
}
