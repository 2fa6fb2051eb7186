package controller

import (
	"log/slog"
	"math"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Format levels: how records are written. All levels are read at any time.
// While versions that speak only a lower level may still run, or come back after
// a crash, that lower level is written. The level in force rises once every node
// of the settings has announced that it speaks the next one, and never falls.
const (
	// LevelPlaces is version 0.1: placements lie in their machine's record,
	// finished tasks in their job's progress.
	LevelPlaces = 1
	// LevelTasks keeps both in records of a job's tasks, small enough for the
	// next limits of the state service.
	LevelTasks = 2
	// LevelGroups keeps machines that came together in one record.
	LevelGroups = 3
	// LevelIntents writes rentals and returns ahead of the calls.
	LevelIntents = 4
	// LevelRelay lets controllers that do not lead relay workers' reports; records are as
	// before.
	LevelRelay = 5
	// Highest is what this version speaks.
	Highest = LevelRelay
)

// Keys of the upgrade, which version 0.1 neither reads nor writes.
const (
	levelPrefix = "fmt/"
	levelKey    = "fmt/level"
	nodePrefix  = "fmt/node/"
)

type levelRecord struct {
	Level int `msgpack:"level"`
}

// upgrade is what a node knows of the format levels.
type upgrade struct {
	speaks  int            // what this process reads and writes at most
	level   int            // in force
	peers   map[string]int // what the nodes are known to speak
	raising bool           // the record of the new level is on its way
	told    bool           // the state service has this node's announcement
}

// Level is the format level in force, as far as this node knows.
func (c *Core) Level() int { return c.up.level }

// limits are those of the state service in force: the present ones until the
// upgrade is over, from then on the smaller of the present and the next.
func (c *Core) limits() config.State {
	s := c.cfg.Params.State
	if c.up.level >= LevelTasks {
		s = s.Lowest()
	}
	// A transaction of a single record that is refused all the same: shrink it.
	if n := c.commit.squeeze - 3; n > 0 {
		s.ValueKB *= math.Pow(0.75, float64(n))
	}
	return s
}

// announce tells the others, through the state service, what this process
// speaks; peers also hear it in every message.
//
// A process before this one may have said the same: then nothing is written, so that a
// loop of crashes costs no changes.
func (c *Core) announce() {
	if c.up.speaks < LevelTasks || c.up.told {
		return
	}
	again := func() { c.env.After(clock.Second, c.announce) }
	at := stdTime(c.env.Now())
	if c.writes.Room(at, admit.Idle) < 1 {
		again()
		return
	}
	c.writes.Spend(at, admit.Idle, 1)
	c.env.State().Txn(&wire.Txn{Then: []wire.Change{
		{Put: nodePrefix + c.cfg.Name, Value: wire.Encode(&levelRecord{c.up.speaks})},
	}}, func(o store.Outcome, _ *wire.TxnAnswer) {
		if o != store.OK {
			again()
		}
	})
}

// hearLevel takes in what is known of another node's process.
func (c *Core) hearLevel(node string, speaks, level int) {
	if c.up.speaks < LevelTasks {
		return
	}
	c.up.peers[node] = max(c.up.peers[node], speaks)
	if level = min(level, c.up.speaks); level > c.up.level {
		c.raise(level, "another node says so")
	}
}

// readLevels reads the announcements and the level in force.
func (c *Core) readLevels(done func(ok bool)) {
	if c.up.speaks < LevelTasks {
		done(true)
		return
	}
	c.env.State().List(levelPrefix, "", 500, func(o store.Outcome, l *wire.ItemList) {
		if o != store.OK {
			done(false)
			return
		}
		for i := range l.Items {
			var r levelRecord
			if msgpack.Unmarshal(l.Items[i].Value, &r) != nil {
				continue
			}
			if l.Items[i].Key == nodePrefix+c.cfg.Name && r.Level == c.up.speaks {
				c.up.told = true
			}
			if l.Items[i].Key == levelKey {
				c.hearLevel("", 0, r.Level)
			} else {
				c.hearLevel(strings.TrimPrefix(l.Items[i].Key, nodePrefix), r.Level, 0)
			}
		}
		done(true)
	})
}

// tendLevel has the leader raise the level once every node speaks it. The level
// is recorded first, and used after.
func (c *Core) tendLevel(now Micros) {
	if c.up.level >= c.up.speaks || c.up.raising {
		return
	}
	all := c.up.speaks
	for name := range c.peers {
		all = min(all, c.up.peers[name])
	}
	if all < c.up.speaks && now-c.levelsRead > 2*clock.Second {
		c.levelsRead = now
		c.readLevels(func(bool) {})
	}
	if all > c.up.level {
		c.recordLevel(all, func() { c.raise(all, "every node speaks it") })
	}
}

// recordLevel writes a level for good.
func (c *Core) recordLevel(level int, then func()) {
	c.up.raising = true
	c.commit.put(levelKey, func() []byte { return wire.Encode(&levelRecord{max(level, c.up.level)}) }, c.during(func() {
		c.up.raising = false
		then()
	}))
}

// raise begins to write a new level and to keep the next limits.
func (c *Core) raise(level int, why string) {
	if c.up.level >= level {
		return
	}
	c.up.level = level
	slog.Info("format level raised", "level", c.up.level, "why", why)
	c.setWriteShare()
	c.reads.Set(stdTime(c.env.Now()), c.limits().RPS*readShare)
	if c.lead.Leading() && c.loaded {
		c.convert()
	}
}

// convert writes the placements that lie in their machines' records into those
// of their jobs. A machine's record drops a placement only when that is done.
func (c *Core) convert() {
	for _, m := range c.order {
		for _, p := range places(m) {
			switch {
			case p.InJob:
			case p.Job == nil: // over, or replaced after its absence was proven
				p.InJob = true
			default:
				c.savePlace(p)
			}
		}
		if c.up.level < LevelGroups {
			c.saveMachine(m, nil)
		}
	}
	if c.up.level >= LevelGroups {
		c.groupAll(c.order)
		for _, m := range c.order {
			if m.Own {
				c.saveMachine(m, nil)
			}
		}
	}
}

// refusedForSize is told of changes that the state service called invalid. A
// refusal of what the present limits allow and the next ones don't proves that
// the upgrade is over.
func (c *Core) refusedForSize(changes []wire.Change) bool {
	low := c.cfg.Params.State.Lowest()
	over := len(changes) > low.TxnOps
	for _, ch := range changes {
		over = over || ch.Value != nil && wire.JSONSize(ch.Value) > low.ValueBytes()
	}
	if !over || c.up.level >= LevelTasks || c.up.speaks < LevelTasks {
		return false
	}
	c.raise(LevelTasks, "the state service has its next limits")
	if c.lead.Leading() && c.loaded {
		c.recordLevel(LevelTasks, func() {})
	}
	return true
}

// savePlace writes a placement ahead of its launch, or converts it. The machine's
// own record goes before the first one: a new leader takes a machine without a
// record for returned, and all that was on it for gone.
func (c *Core) savePlace(p *sched.Placement) {
	if !p.Machine.Recorded {
		c.saveMachine(p.Machine, func() {})
	}
	c.saveTasks(p.Job, p.Index, atOnce, c.during(func() {
		p.InJob, p.Committed = true, true
		c.orderSoon(p.Machine)
	}))
}
