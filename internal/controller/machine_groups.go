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

// From LevelGroups on, machines that came together share a record, g/TERM-NUMBER: what
// they are is the same, and which images each has takes a few
// bytes. A fleet of 1,800 machines then costs some forty changes as it is rented, not as
// many as it has machines, which at 50 changes a second kept launches and submissions
// waiting for half a minute. A machine that has left is left out when its group is next
// written; a group without machines is deleted.
const groupPrefix = "g/"

type groupRecord struct {
	Type             string    `msgpack:"type"`
	Zone             string    `msgpack:"zone"`
	Spot             bool      `msgpack:"spot"`
	FirstRequestedAt int64     `msgpack:"at"` // time of day of the first rental
	Machines         []string  `msgpack:"m"`
	DelaySeconds     []int64   `msgpack:"a,omitempty"` // how much later each was rented, in seconds
	Images           []string  `msgpack:"i,omitempty"`
	ImageGB          []float64 `msgpack:"z,omitempty"`
	ImagesByMachine  [][]int   `msgpack:"h,omitempty"` // of Images, by machine
}

// group is the machines of one record.
type machineGroup struct {
	key     string
	members []*sched.Machine
}

// groupSize is how many machines surely fit in one value of so many bytes.
func maxGroupSize(limitBytes int) int { return max((limitBytes-256)/machineRecordBytes, 1) }

// machineSize is more than a machine takes in its group's record without its images.
const machineRecordBytes = 32

// form puts machines of one kind that have no group into groups of their own, and queues
// those to be written.
func (c *Core) formGroups(machines []*sched.Machine) {
	for chunk := range slices.Chunk(machines, maxGroupSize(c.stateLimits().ValueBytes())) {
		// A name of its own: a machine that was returned may appear once more, and the group
		// that was named after it would be written over. Found by chaos with late copies.
		c.groupCount++
		group := &machineGroup{key: groupPrefix + strconv.FormatUint(c.term, 10) + "-" + strconv.FormatUint(c.groupCount, 10), members: slices.Clone(chunk)}
		for _, m := range chunk {
			c.machineGroups[m.ID] = group
		}
		c.saveGroup(group, classBackground, nil)
	}
}

// saveNew queues the records of machines of one kind that have just been entered.
func (c *Core) saveNewMachines(machines []*sched.Machine) {
	if c.format.level >= LevelGroups {
		c.formGroups(machines)
		return
	}
	for _, m := range machines {
		c.saveMachine(m, nil)
	}
}

// saveInGroup queues the record that holds a machine. Its own record of a lower level, if
// there is one, goes when its group is written and its jobs' records hold its places.
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
		if present && (!m.InGroupRecord || slices.ContainsFunc(sortedPlacements(m), func(p *sched.Placement) bool { return !p.InJobRecord })) {
			return nil, false
		}
		return []wire.Change{{DeleteKey: key}}, true
	}, c.whileInTerm(func() { m.MayHaveOwnRecord = false }))
}

// saveGroup queues a group's record.
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

// renderGroup renders a record in at most limit bytes. Where the images don't fit, those
// that the fewest machines have are left out: they are fetched again where not known.
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
			held := []int{}
			for i, image := range images {
				if _, ok := m.Images[image]; ok {
					held = append(held, i)
				}
			}
			if len(images) > 0 {
				rec.ImagesByMachine = append(rec.ImagesByMachine, held)
			}
		}
		value := wire.Encode(&rec)
		if len(images) == 0 || wire.JSONSize(value) <= limitBytes {
			return value
		}
		images = images[:len(images)/2]
	}
}

// restoreGroup enters the machines of a record.
func (c *Core) restoreGroup(item *wire.Item) {
	var rec groupRecord
	if err := msgpack.Unmarshal(item.Value, &rec); err != nil {
		slog.Error("record of machines cannot be read", "key", item.Key, "err", err)
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

// groupAll brings machines that are in no group together, by kind.
func (c *Core) groupMachines(machines []*sched.Machine) {
	kinds := map[fleet.MachineKind][]*sched.Machine{}
	var kindOrder []fleet.MachineKind
	for _, m := range machines {
		if c.machineGroups[m.ID] != nil {
			continue
		}
		kind := fleet.MachineKind{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot}
		if kinds[kind] == nil {
			kindOrder = append(kindOrder, kind)
		}
		kinds[kind] = append(kinds[kind], m)
	}
	for _, kind := range kindOrder {
		c.saveNewMachines(kinds[kind])
	}
}
