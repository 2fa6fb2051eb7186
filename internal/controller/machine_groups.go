package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/fleet"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// groupPrefix is the prefix of the keys of machine groups. From LevelGroups on, machines that were
// rented together share a record, g/TERM-NUMBER. They have the type and zone in common, and the
// images of each take only a few bytes. Renting 1,800 machines then takes about forty writes. With
// a record for each machine, at 50 writes a second, renting them delayed launches and submissions
// by half a minute. A removed machine is dropped from its group when the group is next written,
// and a group without machines is deleted.
const groupPrefix = "g/"

// groupRecord is the stored form of a machineGroup.
type groupRecord struct {
	Type             string    `msgpack:"type"`
	Zone             string    `msgpack:"zone"`
	Spot             bool      `msgpack:"spot"`
	FirstRequestedAt int64     `msgpack:"at"` // wall-clock time of the first rental request, in microseconds
	Machines         []string  `msgpack:"m"`
	DelaySeconds     []int64   `msgpack:"a,omitempty"` // time from the first rental request to that of each machine, in seconds
	Images           []string  `msgpack:"i,omitempty"`
	ImageGB          []float64 `msgpack:"z,omitempty"`
	ImagesByMachine  [][]int   `msgpack:"h,omitempty"` // for each machine, its images as indexes into Images
}

// machineGroup holds the machines that share one record.
type machineGroup struct {
	key     string
	members []*sched.Machine
}

// maxGroupSize returns how many machines are certain to fit into a record of limitBytes.
func maxGroupSize(limitBytes int) int { return max((limitBytes-256)/groupMemberBytes, 1) }

// groupMemberBytes is an upper bound on the size of a machine in its group's record, without
// its images.
const groupMemberBytes = 32

// formGroups assigns machines of one kind that have no group to new groups and queues the groups
// to be written.
func (c *Core) formGroups(machines []*sched.Machine) {
	for chunk := range slices.Chunk(machines, maxGroupSize(c.stateLimits().ValueBytes())) {
		// The key must not derive from a machine ID: a released machine may appear again through a
		// delayed report, and a second group with the same key would overwrite the first.
		c.groupCount++
		group := &machineGroup{key: groupPrefix + strconv.FormatUint(c.term, 10) + "-" + strconv.FormatUint(c.groupCount, 10), members: slices.Clone(chunk)}
		for _, m := range chunk {
			c.machineGroups[m.ID] = group
		}
		c.saveGroup(group, classBackground, nil)
	}
}

// saveNewMachines queues the records of newly registered machines of one kind.
func (c *Core) saveNewMachines(machines []*sched.Machine) {
	if c.format.level >= LevelGroups {
		c.formGroups(machines)
		return
	}
	for _, m := range machines {
		c.saveMachine(m, nil)
	}
}

// saveMachineInGroup queues the record of the group that contains a machine. The machine's own
// record, written at a lower format level, is deleted once the group is written and the task
// records hold its placements.
func (c *Core) saveMachineInGroup(m *sched.Machine, class int, done func()) {
	if c.machineGroups[m.ID] == nil && c.machines[m.ID] == m {
		c.formGroups([]*sched.Machine{m})
	}
	if g := c.machineGroups[m.ID]; g != nil {
		c.saveGroup(g, class, done)
	}
	if !m.MayHaveOwnRecord {
		return
	}
	key := machinePrefix + m.ID
	c.committer.add(key, classBackground, func() ([]wire.Change, bool) {
		present := c.machines[m.ID] == m
		if present && (!m.InGroupRecord || slices.ContainsFunc(sortedPlacements(m), func(p *sched.Placement) bool { return !p.InTaskRecord })) {
			return nil, false
		}
		return []wire.Change{{DeleteKey: key}}, true
	}, c.whileInTerm(func() { m.MayHaveOwnRecord = false }))
}

// saveGroup queues the record of a group, or its deletion if the group is empty.
func (c *Core) saveGroup(group *machineGroup, class int, done func()) {
	var writtenMachines []*sched.Machine
	c.committer.add(group.key, class, func() ([]wire.Change, bool) {
		group.members = slices.DeleteFunc(group.members, func(m *sched.Machine) bool { return c.machines[m.ID] != m })
		writtenMachines = slices.Clone(group.members)
		if len(group.members) == 0 {
			return []wire.Change{{DeleteKey: group.key}}, true
		}
		return []wire.Change{{PutKey: group.key, Value: c.renderGroup(group.members, c.stateLimits().ValueBytes())}}, true
	}, c.whileInTerm(func() {
		for _, m := range writtenMachines {
			m.Recorded, m.InGroupRecord = true, true
		}
		if done != nil {
			done()
		}
	}))
}

// renderGroup encodes a group's record in at most limitBytes. If the images don't fit, those
// cached on the fewest machines are left out; images that a new leader does not know of are
// fetched again.
func (c *Core) renderGroup(members []*sched.Machine, limitBytes int) []byte {
	first := members[0]
	for _, m := range members {
		if m.RequestedAt < first.RequestedAt {
			first = m
		}
	}
	rec := groupRecord{Type: first.Type.Name, Zone: first.Zone, Spot: first.Spot, FirstRequestedAt: c.toWallTime(first.RequestedAt)}
	machineCount, sizeGB := map[string]int{}, map[string]float64{}
	for _, m := range members {
		rec.Machines = append(rec.Machines, m.ID)
		for image := range m.Images {
			machineCount[image]++
			sizeGB[image] = m.ImageSizes[image]
		}
		if m.RequestedAt != first.RequestedAt {
			rec.DelaySeconds = make([]int64, len(members))
		}
	}
	for i := range rec.DelaySeconds {
		rec.DelaySeconds[i] = int64((members[i].RequestedAt - first.RequestedAt).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(machineCount), func(a, b string) int {
		return cmp.Or(cmp.Compare(machineCount[b], machineCount[a]), strings.Compare(a, b))
	})
	for {
		rec.Images, rec.ImageGB, rec.ImagesByMachine = images, nil, nil
		for _, image := range images {
			rec.ImageGB = append(rec.ImageGB, sizeGB[image])
		}
		for _, m := range members {
			imageIndexes := []int{}
			for i, image := range images {
				if _, ok := m.Images[image]; ok {
					imageIndexes = append(imageIndexes, i)
				}
			}
			if len(images) > 0 {
				rec.ImagesByMachine = append(rec.ImagesByMachine, imageIndexes)
			}
		}
		value := wire.Encode(&rec)
		if len(images) == 0 || wire.JSONSize(value) <= limitBytes {
			return value
		}
		images = images[:len(images)/2]
	}
}

// restoreGroup registers the machines of a stored group.
func (c *Core) restoreGroup(item *wire.Item) {
	var rec groupRecord
	if err := msgpack.Unmarshal(item.Value, &rec); err != nil {
		slog.Error("cannot decode machine group", "key", item.Key, "err", err)
		return
	}
	group := &machineGroup{key: item.Key}
	firstRequestedAt := Micros(rec.FirstRequestedAt) - c.env.Wall() + c.env.Now()
	for i, id := range rec.Machines {
		requestedAt := firstRequestedAt
		if i < len(rec.DelaySeconds) {
			requestedAt += Micros(rec.DelaySeconds[i]) * clock.Second
		}
		m := c.machines[id]
		if m == nil {
			m = c.addMachine(id, "", rec.Type, rec.Zone, rec.Spot, requestedAt)
		}
		if m == nil {
			continue
		}
		if i < len(rec.ImagesByMachine) {
			for _, imageIndex := range rec.ImagesByMachine[i] {
				if imageIndex >= 0 && imageIndex < len(rec.Images) && imageIndex < len(rec.ImageGB) {
					m.TouchImage(rec.Images[imageIndex], rec.ImageGB[imageIndex], c.env.Now())
				}
			}
		}
		m.Recorded, m.InGroupRecord = true, true
		group.members = append(group.members, m)
		c.machineGroups[id] = group
	}
}

// groupMachines assigns machines without a group to new groups, by kind.
func (c *Core) groupMachines(machines []*sched.Machine) {
	machinesByKind := map[fleet.MachineKind][]*sched.Machine{}
	var kindOrder []fleet.MachineKind
	for _, m := range machines {
		if c.machineGroups[m.ID] != nil {
			continue
		}
		kind := fleet.MachineKind{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot}
		if machinesByKind[kind] == nil {
			kindOrder = append(kindOrder, kind)
		}
		machinesByKind[kind] = append(machinesByKind[kind], m)
	}
	for _, kind := range kindOrder {
		c.saveNewMachines(machinesByKind[kind])
	}
}
