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

// Format levels define how records are written. Records of all levels can always be read.
// The level in force is written; it rises once every node in the settings has announced
// that it supports a higher one, and never falls. So a lower level is written as long as a
// version that supports no more may still run, or may restart after a crash.
const (
	// LevelPlacements is the format of version 0.1: a machine's record holds the
	// placements on it, and a job's progress record holds which of its tasks are done.
	LevelPlacements = 1
	// LevelTasks keeps both in task records of the job, which are small enough for the
	// next limits of the state service.
	LevelTasks = 2
	// LevelGroups keeps machines that were rented together in one record.
	LevelGroups = 3
	// LevelIntents writes an intent ahead of each call to the cloud that rents or releases
	// machines.
	LevelIntents = 4
	// LevelRelay lets controllers that do not lead relay workers' reports. Records do not
	// change.
	LevelRelay = 5
	// HighestLevel is the highest level that this version supports.
	HighestLevel = LevelRelay
)

// Keys of the format level, which version 0.1 neither reads nor writes.
const (
	levelPrefix     = "fmt/"
	levelKey        = "fmt/level"
	nodeLevelPrefix = "fmt/node/"
)

// levelRecord is stored for the level in force, and by each node for the highest level
// that it supports.
type levelRecord struct {
	Level int `msgpack:"level"`
}

// formatState is what a node knows about the format levels.
type formatState struct {
	maxLevel      int            // highest level that this process supports
	level         int            // level in force, as far as this node knows
	peerMaxLevels map[string]int // highest level known to be supported, by node
	raising       bool           // the record of the new level is not yet committed
	announced     bool           // the state service holds this node's announcement
	// announcementVersion is the version of this node's announcement as last read, 0 if there is none.
	announcementVersion uint64
}

// FormatLevel returns the format level in force, as far as this node knows.
func (c *Core) FormatLevel() int { return c.format.level }

// stateLimits returns the limits of the state service to observe: below LevelTasks the
// present ones, from then on the lower of the present and the next ones.
func (c *Core) stateLimits() config.StateLimits {
	limits := c.cfg.Params.State
	if c.format.level >= LevelTasks {
		limits = limits.Lowest()
	}
	// A transaction that is still refused after three reductions: reduce the limit of a
	// value too, so that single records get smaller.
	if n := c.committer.sizeReductions - 3; n > 0 {
		limits.ValueKB *= math.Pow(0.75, float64(n))
	}
	return limits
}

// readAndAnnounceLevel reads the levels, on which the announcement depends, and announces this node's.
func (c *Core) readAndAnnounceLevel() { c.readLevels(func(bool) { c.announceLevel() }) }

// announceLevel writes the highest level that this process supports to the state service;
// peers also receive it with every message.
//
// If the record is the same from before a restart, nothing is written, so that a crash
// loop uses no write budget. The condition on the record's version keeps a late copy of the
// transaction from restoring the announcement of another version of the program.
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
	key := nodeLevelPrefix + c.cfg.Name
	c.env.State().Txn(&wire.Txn{
		If:   []wire.Guard{{Key: key, Version: c.format.announcementVersion}},
		Then: []wire.Change{{PutKey: key, Value: wire.Encode(&levelRecord{c.format.maxLevel})}},
	}, func(outcome store.Outcome, _ *wire.TxnAnswer) {
		if outcome != store.OK {
			c.env.After(clock.Second, c.readAndAnnounceLevel)
		}
	})
}

// recordNodeLevel records the highest level that another node supports and the level in
// force that it reports. Zero stands for unknown.
func (c *Core) recordNodeLevel(node string, nodeMaxLevel, levelInForce int) {
	if c.format.maxLevel < LevelTasks {
		return
	}
	c.format.peerMaxLevels[node] = max(c.format.peerMaxLevels[node], nodeMaxLevel)
	if levelInForce = min(levelInForce, c.format.maxLevel); levelInForce > c.format.level {
		c.raiseLevel(levelInForce, "reported by another node")
	}
}

// readLevels reads the announcements of all nodes and the level in force.
func (c *Core) readLevels(done func(ok bool)) {
	if c.format.maxLevel < LevelTasks {
		done(true)
		return
	}
	c.env.State().List(levelPrefix, "", 500, func(outcome store.Outcome, list *wire.ItemList) {
		if outcome != store.OK {
			done(false)
			return
		}
		for i := range list.Items {
			var r levelRecord
			if msgpack.Unmarshal(list.Items[i].Value, &r) != nil {
				continue
			}
			if list.Items[i].Key == nodeLevelPrefix+c.cfg.Name {
				c.format.announcementVersion = list.Items[i].Version
				c.format.announced = r.Level == c.format.maxLevel
			}
			if list.Items[i].Key == levelKey {
				c.recordNodeLevel("", 0, r.Level)
			} else {
				c.recordNodeLevel(strings.TrimPrefix(list.Items[i].Key, nodeLevelPrefix), r.Level, 0)
			}
		}
		done(true)
	})
}

// maintainFormatLevel lets the leader raise the level once every node supports a higher
// one. It uses the new level only after the record of that level is committed.
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
		c.saveLevel(commonLevel, func() { c.raiseLevel(commonLevel, "supported by every node") })
	}
}

// saveLevel writes the level in force and calls done once it is committed.
func (c *Core) saveLevel(level int, done func()) {
	c.format.raising = true
	c.committer.put(levelKey, func() []byte { return wire.Encode(&levelRecord{max(level, c.format.level)}) }, c.whileInTerm(func() {
		c.format.raising = false
		done()
	}))
}

// raiseLevel starts to use a higher level: it observes the limits that go with it, and a
// leader converts the records.
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

// migrateRecords converts records to the level in force. It writes placements that are
// held by machine records to the task records of their jobs; a machine's record drops a
// placement only once the task record is committed. From LevelGroups on it also moves
// machines to group records.
func (c *Core) migrateRecords() {
	for _, m := range c.sortedMachines {
		for _, p := range sortedPlacements(m) {
			switch {
			case p.InTaskRecord:
			case p.Job == nil: // the task is over, or was placed again after proof that it does not run here
				p.InTaskRecord = true
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

// raiseLevelOnSizeRefusal handles changes that the state service rejected as invalid, and
// reports whether it raised the level. If the present limits allow the changes and the next
// ones do not, the rejection shows that the next limits apply and thus that the upgrade of
// the nodes is over, so the level rises to LevelTasks.
func (c *Core) raiseLevelOnSizeRefusal(changes []wire.Change) bool {
	lowestLimits := c.cfg.Params.State.Lowest()
	exceedsLowest := len(changes) > lowestLimits.TxnOps
	for _, ch := range changes {
		exceedsLowest = exceedsLowest || ch.Value != nil && wire.JSONSize(ch.Value) > lowestLimits.ValueBytes()
	}
	if !exceedsLowest || c.format.level >= LevelTasks || c.format.maxLevel < LevelTasks {
		return false
	}
	c.raiseLevel(LevelTasks, "the state service enforces its next limits")
	if c.elector.Leading() && c.loaded {
		c.saveLevel(LevelTasks, func() {})
	}
	return true
}

// savePlacement writes a placement to the task records of its job, ahead of its launch or
// to convert it. The machine's record is queued before the first placement on it, because
// a new leader treats a machine without a record as released and its tasks as lost.
func (c *Core) savePlacement(p *sched.Placement) {
	if !p.Machine.Recorded {
		c.saveMachine(p.Machine, func() {})
	}
	c.saveTasks(p.Job, p.Index, classUrgent, c.whileInTerm(func() {
		p.InTaskRecord, p.Committed = true, true
		c.queueCommandBatch(p.Machine)
	}))
}
