package controller

import (
	"log/slog"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/fleet"
	"lilacthread/wire"
)

// From LevelIntents on, what is rented and returned is written ahead of the call, as launches
// are: an intent, i/NAME, is committed by the leader before the cloud hears of it, and is
// deleted behind the record of what came of it. A new leader finds the open ones.
//
//   - A rental of its predecessor is sent again under its old name, which rents nothing twice
//     and tells what was rented: no machine is known to nobody until the list names it.
//   - A return is sent again, and until then nothing is placed on its machines: a call that is
//     carried out late takes no work along.
//
// See docs/duties.md.
const intentPrefix = "i/"

// intentRecord is a rental or a return that may be on its way.
type intentRecord struct {
	Rent      *wire.RentRequest `msgpack:"rent,omitempty"`
	Machines  []string          `msgpack:"m,omitempty"`    // to return
	Done      bool              `msgpack:"done,omitempty"` // gone, but perhaps listed yet; refused, but perhaps rented yet
	WrittenAt int64             `msgpack:"at"`             // time of day, microseconds
}

// returning is machines that are returned by one call.
type releaseBatch struct {
	name       string
	machineIDs []string
}

// intend acts once the intent is committed, at once where it is.
func (c *Core) commitIntent(name string, rec intentRecord, action func()) {
	if c.format.level < LevelIntents || c.openIntents[name] {
		action()
		return
	}
	rec.WrittenAt = c.toWallTime(c.env.Now())
	c.committer.put(intentPrefix+name, func() []byte { return wire.Encode(&rec) }, c.whileInTerm(func() {
		c.openIntents[name] = true
		action()
	}))
}

// settled deletes an intent whose outcome is known; what came of it is queued before.
func (c *Core) closeIntent(name string) {
	delete(c.openIntents, name)
	if c.format.level >= LevelIntents {
		c.committer.put(intentPrefix+name, func() []byte { return nil }, nil)
	}
}

// returned notes that the machines of an intent are gone. The intent stays as long as the
// cloud's list may name them: a new leader would take them for machines of its own.
func (c *Core) completeRelease(batch releaseBatch) {
	for _, id := range batch.machineIDs {
		c.removeMachine(id)
	}
	c.retainIntent(batch.name, intentRecord{Machines: batch.machineIDs}, c.listLag())
}

// linger keeps an intent that is done for a while.
func (c *Core) retainIntent(name string, rec intentRecord, duration Micros) {
	if c.format.level < LevelIntents {
		return
	}
	rec.Done, rec.WrittenAt = true, c.toWallTime(c.env.Now())
	c.committer.put(intentPrefix+name, func() []byte { return wire.Encode(&rec) }, nil)
	c.closeIntentAfter(name, duration)
}

// settleAfter deletes an intent later.
func (c *Core) closeIntentAfter(name string, delay Micros) {
	c.env.After(delay, c.whileInTerm(func() { c.closeIntent(name) }))
}

// lateFor is how long a request to the cloud may be on its way. A rental for which the cloud
// has no room, but that was sent before without an answer, may yet be carried out once there
// is room: it is not sent again, and stays known for as long as that.
const maxCloudRequestDelay = 600 * clock.Second

// mostReturned is how many machines one call returns.
const maxReleaseBatch = 100

// nextReturn takes the next machines to return off the queue, as many as a call and an
// intent's record take.
func (c *Core) nextReleaseBatch() releaseBatch {
	count := min(len(c.releaseQueue), maxReleaseBatch)
	limit := c.stateLimits().ValueBytes() - 64
	for count > 1 && wire.JSONSize(wire.Encode(c.releaseQueue[:count])) > limit {
		count /= 2
	}
	c.releaseCount++
	batch := releaseBatch{"x-" + strconv.FormatUint(c.term, 10) + "-" + strconv.FormatUint(c.releaseCount, 10), c.releaseQueue[:count:count]}
	c.releaseQueue = c.releaseQueue[count:]
	return batch
}

// resumeIntents takes up what earlier leaders had begun.
func (c *Core) resumeIntents(items []wire.Item) {
	for i := range items {
		var rec intentRecord
		name := strings.TrimPrefix(items[i].Key, intentPrefix)
		if err := msgpack.Unmarshal(items[i].Value, &rec); err != nil {
			slog.Error("intent cannot be read", "intent", name, "err", err)
			continue
		}
		c.openIntents[name] = true
		switch {
		case rec.Done && rec.Rent != nil:
			c.closeIntentAfter(name, max(c.toSteadyTime(rec.WrittenAt)+maxCloudRequestDelay-c.env.Now(), 0))
		case rec.Done:
			for _, id := range rec.Machines {
				c.releasedMachines[id] = true
			}
			c.closeIntentAfter(name, c.listLag())
		case len(rec.Machines) > 0:
			slog.Info("return taken up", "intent", name, "machines", len(rec.Machines))
			for _, id := range rec.Machines {
				if m := c.machines[id]; m != nil {
					m.Releasing = true
				} else {
					c.releasedMachines[id] = true
				}
			}
			c.pendingReleases = append(c.pendingReleases, releaseBatch{name, rec.Machines})
		case rec.Rent != nil:
			slog.Info("rental taken up", "intent", name, "machines", rec.Rent.Count)
			c.pendingRentals[name] = fleet.Rental{Kind: kindOf(rec.Rent), Count: rec.Rent.Count}
			c.sendRental(rec.Rent, c.toSteadyTime(rec.WrittenAt), true)
		default:
			c.closeIntent(name)
		}
	}
}

func kindOf(request *wire.RentRequest) fleet.MachineKind {
	return fleet.MachineKind{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}
