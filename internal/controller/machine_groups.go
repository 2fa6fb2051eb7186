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
	Type     string    `msgpack:"type"`
	Zone     string    `msgpack:"zone"`
	Spot     bool      `msgpack:"spot"`
	At       int64     `msgpack:"at"` // time of day of the first rental
	Machines []string  `msgpack:"m"`
	After    []int64   `msgpack:"a,omitempty"` // how much later each was rented, in seconds
	Images   []string  `msgpack:"i,omitempty"`
	Sizes    []float64 `msgpack:"z,omitempty"`
	Has      [][]int   `msgpack:"h,omitempty"` // of Images, by machine
}

// group is the machines of one record.
type machineGroup struct {
	key     string
	members []*sched.Machine
}

// groupSize is how many machines surely fit in one value of so many bytes.
func groupSize(limit int) int { return max((limit-256)/machineSize, 1) }

// machineSize is more than a machine takes in its group's record without its images.
const machineSize = 32

// form puts machines of one kind that have no group into groups of their own, and queues
// those to be written.
func (c *Core) form(machines []*sched.Machine) {
	for part := range slices.Chunk(machines, groupSize(c.stateLimits().ValueBytes())) {
		// A name of its own: a machine that was returned may appear once more, and the group
		// that was named after it would be written over. Found by chaos with late copies.
		c.groupCount++
		g := &machineGroup{key: groupPrefix + strconv.FormatUint(c.term, 10) + "-" + strconv.FormatUint(c.groupCount, 10), members: slices.Clone(part)}
		for _, m := range part {
			c.machineGroups[m.ID] = g
		}
		c.saveGroup(g, classBackground, nil)
	}
}

// saveNew queues the records of machines of one kind that have just been entered.
func (c *Core) saveNewMachines(machines []*sched.Machine) {
	if c.format.level >= LevelGroups {
		c.form(machines)
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
		c.form([]*sched.Machine{m})
	}
	if g := c.machineGroups[m.ID]; g != nil {
		c.saveGroup(g, class, done)
	}
	if !m.MayHaveOwnRecord {
		return
	}
	key := machinePrefix + m.ID
	c.committer.add(key, classBackground, func() ([]wire.Change, bool) {
		here := c.machines[m.ID] == m
		if here && (!m.InGroupRecord || slices.ContainsFunc(sortedPlacements(m), func(p *sched.Placement) bool { return !p.InJobRecord })) {
			return nil, false
		}
		return []wire.Change{{DeleteKey: key}}, true
	}, c.whileInTerm(func() { m.MayHaveOwnRecord = false }))
}

// saveGroup queues a group's record.
func (c *Core) saveGroup(g *machineGroup, class int, done func()) {
	var written []*sched.Machine
	c.committer.add(g.key, class, func() ([]wire.Change, bool) {
		g.members = slices.DeleteFunc(g.members, func(m *sched.Machine) bool { return c.machines[m.ID] != m })
		written = slices.Clone(g.members)
		if len(g.members) == 0 {
			return []wire.Change{{DeleteKey: g.key}}, true
		}
		return []wire.Change{{PutKey: g.key, Value: c.renderGroup(g.members, c.stateLimits().ValueBytes())}}, true
	}, c.whileInTerm(func() {
		for _, m := range written {
			m.Recorded, m.InGroupRecord = true, true
		}
		if done != nil {
			done()
		}
	}))
}

// renderGroup renders a record in at most limit bytes. Where the images don't fit, those
// that the fewest machines have are left out: they are fetched again where not known.
func (c *Core) renderGroup(members []*sched.Machine, limit int) []byte {
	first := members[0]
	for _, m := range members {
		if m.RequestedAt < first.RequestedAt {
			first = m
		}
	}
	rec := groupRecord{Type: first.Type.Name, Zone: first.Zone, Spot: first.Spot, At: c.toWallTime(first.RequestedAt)}
	count, size := map[string]int{}, map[string]float64{}
	for _, m := range members {
		rec.Machines = append(rec.Machines, m.ID)
		for image := range m.Images {
			count[image]++
			size[image] = m.ImageSizes[image]
		}
		if m.RequestedAt != first.RequestedAt {
			rec.After = make([]int64, len(members))
		}
	}
	for i := range rec.After {
		rec.After[i] = int64((members[i].RequestedAt - first.RequestedAt).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(count), func(a, b string) int { return cmp.Or(cmp.Compare(count[b], count[a]), strings.Compare(a, b)) })
	for {
		rec.Images, rec.Sizes, rec.Has = images, nil, nil
		for _, image := range images {
			rec.Sizes = append(rec.Sizes, size[image])
		}
		for _, m := range members {
			has := []int{}
			for i, image := range images {
				if _, ok := m.Images[image]; ok {
					has = append(has, i)
				}
			}
			if len(images) > 0 {
				rec.Has = append(rec.Has, has)
			}
		}
		value := wire.Encode(&rec)
		if len(images) == 0 || wire.JSONSize(value) <= limit {
			return value
		}
		images = images[:len(images)/2]
	}
}

// restoreGroup enters the machines of a record.
func (c *Core) restoreGroup(it *wire.Item) {
	var rec groupRecord
	if err := msgpack.Unmarshal(it.Value, &rec); err != nil {
		slog.Error("record of machines cannot be read", "key", it.Key, "err", err)
		return
	}
	g := &machineGroup{key: it.Key}
	first := Micros(rec.At) - c.env.Wall() + c.env.Now()
	for i, id := range rec.Machines {
		since := first
		if i < len(rec.After) {
			since += Micros(rec.After[i]) * clock.Second
		}
		m := c.machines[id]
		if m == nil {
			m = c.addMachine(id, "", rec.Type, rec.Zone, rec.Spot, since)
		}
		if m == nil {
			continue
		}
		if i < len(rec.Has) {
			for _, k := range rec.Has[i] {
				if k >= 0 && k < len(rec.Images) && k < len(rec.Sizes) {
					m.TouchImage(rec.Images[k], rec.Sizes[k], c.env.Now())
				}
			}
		}
		m.Recorded, m.InGroupRecord = true, true
		g.members = append(g.members, m)
		c.machineGroups[id] = g
	}
}

// groupAll brings machines that are in no group together, by kind.
func (c *Core) groupMachines(machines []*sched.Machine) {
	kinds := map[fleet.MachineKind][]*sched.Machine{}
	var order []fleet.MachineKind
	for _, m := range machines {
		if c.machineGroups[m.ID] != nil {
			continue
		}
		k := fleet.MachineKind{Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot}
		if kinds[k] == nil {
			order = append(order, k)
		}
		kinds[k] = append(kinds[k], m)
	}
	for _, k := range order {
		c.saveNewMachines(kinds[k])
	}
}
