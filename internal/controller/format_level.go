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
	LevelPlacements = 1
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
	HighestLevel = LevelRelay
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
type formatState struct {
	maxLevel      int            // what this process reads and writes at most
	level         int            // in force
	peerMaxLevels map[string]int // what the nodes are known to speak
	raising       bool           // the record of the new level is on its way
	announced     bool           // the state service has this node's announcement
}

// Level is the format level in force, as far as this node knows.
func (c *Core) FormatLevel() int { return c.format.level }

// limits are those of the state service in force: the present ones until the
// upgrade is over, from then on the smaller of the present and the next.
func (c *Core) stateLimits() config.StateLimits {
	s := c.cfg.Params.State
	if c.format.level >= LevelTasks {
		s = s.Lowest()
	}
	// A transaction of a single record that is refused all the same: shrink it.
	if n := c.committer.sizeReductions - 3; n > 0 {
		s.ValueKB *= math.Pow(0.75, float64(n))
	}
	return s
}

// announce tells the others, through the state service, what this process
// speaks; peers also hear it in every message.
//
// A process before this one may have said the same: then nothing is written, so that a
// loop of crashes costs no changes.
func (c *Core) announceLevel() {
	if c.format.maxLevel < LevelTasks || c.format.announced {
		return
	}
	retry := func() { c.env.After(clock.Second, c.announceLevel) }
	at := stdTime(c.env.Now())
	if c.writeBudget.Available(at, admit.BackgroundWrites) < 1 {
		retry()
		return
	}
	c.writeBudget.Spend(at, admit.BackgroundWrites, 1)
	c.env.State().Txn(&wire.Txn{Then: []wire.Change{
		{PutKey: nodePrefix + c.cfg.Name, Value: wire.Encode(&levelRecord{c.format.maxLevel})},
	}}, func(o store.Outcome, _ *wire.TxnAnswer) {
		if o != store.OK {
			retry()
		}
	})
}

// hearLevel takes in what is known of another node's process.
func (c *Core) recordNodeLevel(node string, nodeMaxLevel, levelInForce int) {
	if c.format.maxLevel < LevelTasks {
		return
	}
	c.format.peerMaxLevels[node] = max(c.format.peerMaxLevels[node], nodeMaxLevel)
	if levelInForce = min(levelInForce, c.format.maxLevel); levelInForce > c.format.level {
		c.raiseLevel(levelInForce, "another node says so")
	}
}

// readLevels reads the announcements and the level in force.
func (c *Core) readLevels(done func(ok bool)) {
	if c.format.maxLevel < LevelTasks {
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
			if l.Items[i].Key == nodePrefix+c.cfg.Name && r.Level == c.format.maxLevel {
				c.format.announced = true
			}
			if l.Items[i].Key == levelKey {
				c.recordNodeLevel("", 0, r.Level)
			} else {
				c.recordNodeLevel(strings.TrimPrefix(l.Items[i].Key, nodePrefix), r.Level, 0)
			}
		}
		done(true)
	})
}

// tendLevel has the leader raise the level once every node speaks it. The level
// is recorded first, and used after.
func (c *Core) maintainFormatLevel(now Micros) {
	if c.format.level >= c.format.maxLevel || c.format.raising {
		return
	}
	commonLevel := c.format.maxLevel
	for name := range c.peers {
		commonLevel = min(commonLevel, c.format.peerMaxLevels[name])
	}
	if commonLevel < c.format.maxLevel && now-c.levelsReadAt > 2*clock.Second {
		c.levelsReadAt = now
		c.readLevels(func(bool) {})
	}
	if commonLevel > c.format.level {
		c.recordLevel(commonLevel, func() { c.raiseLevel(commonLevel, "every node speaks it") })
	}
}

// recordLevel writes a level for good.
func (c *Core) recordLevel(level int, done func()) {
	c.format.raising = true
	c.committer.put(levelKey, func() []byte { return wire.Encode(&levelRecord{max(level, c.format.level)}) }, c.whileInTerm(func() {
		c.format.raising = false
		done()
	}))
}

// raise begins to write a new level and to keep the next limits.
func (c *Core) raiseLevel(level int, reason string) {
	if c.format.level >= level {
		return
	}
	c.format.level = level
	slog.Info("format level raised", "level", c.format.level, "why", reason)
	c.updateWriteRate()
	c.readBudget.SetRate(stdTime(c.env.Now()), c.stateLimits().RPS*readShare)
	if c.elector.Leading() && c.loaded {
		c.migrateRecords()
	}
}

// convert writes the placements that lie in their machines' records into those
// of their jobs. A machine's record drops a placement only when that is done.
func (c *Core) migrateRecords() {
	for _, m := range c.sortedMachines {
		for _, p := range sortedPlacements(m) {
			switch {
			case p.InJobRecord:
			case p.Job == nil: // over, or replaced after its absence was proven
				p.InJobRecord = true
			default:
				c.savePlacement(p)
			}
		}
		if c.format.level < LevelGroups {
			c.saveMachine(m, nil)
		}
	}
	if c.format.level >= LevelGroups {
		c.groupMachines(c.sortedMachines)
		for _, m := range c.sortedMachines {
			if m.MayHaveOwnRecord {
				c.saveMachine(m, nil)
			}
		}
	}
}

// refusedForSize is told of changes that the state service called invalid. A
// refusal of what the present limits allow and the next ones don't proves that
// the upgrade is over.
func (c *Core) raiseLevelOnSizeRefusal(changes []wire.Change) bool {
	lowestLimits := c.cfg.Params.State.Lowest()
	exceedsLowest := len(changes) > lowestLimits.TxnOps
	for _, ch := range changes {
		exceedsLowest = exceedsLowest || ch.Value != nil && wire.JSONSize(ch.Value) > lowestLimits.ValueBytes()
	}
	if !exceedsLowest || c.format.level >= LevelTasks || c.format.maxLevel < LevelTasks {
		return false
	}
	c.raiseLevel(LevelTasks, "the state service has its next limits")
	if c.elector.Leading() && c.loaded {
		c.recordLevel(LevelTasks, func() {})
	}
	return true
}

// savePlace writes a placement ahead of its launch, or converts it. The machine's
// own record goes before the first one: a new leader takes a machine without a
// record for returned, and all that was on it for gone.
func (c *Core) savePlacement(p *sched.Placement) {
	if !p.Machine.Recorded {
		c.saveMachine(p.Machine, func() {})
	}
	c.saveTasks(p.Job, p.Index, classUrgent, c.whileInTerm(func() {
		p.InJobRecord, p.Committed = true, true
		c.queueOrder(p.Machine)
	}))
}
