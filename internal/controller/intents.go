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

// From LevelIntents on, rentals and releases are written ahead of the cloud request, as launches
// are. The leader commits an intent, i/NAME, before it calls the cloud, and deletes it after the
// record of the outcome. A new leader finds the open intents and resumes them:
//
//   - A rental is sent again under its old request ID. The cloud does not rent twice for one
//     request ID and answers with the machines that were rented, so the leader need not wait for
//     the machine list to learn of them.
//   - A release is sent again. Nothing is placed on its machines in the meantime, so a release
//     that the cloud carries out late ends no tasks.
//
// See docs/duties.md.
const intentPrefix = "i/"

// intentRecord is the stored form of a rental or release that may be in progress.
type intentRecord struct {
	Rent      *wire.RentRequest `msgpack:"rent,omitempty"`
	Machines  []string          `msgpack:"m,omitempty"`    // machines to release
	Done      bool              `msgpack:"done,omitempty"` // released, but perhaps still listed; or refused, but perhaps rented later
	WrittenAt int64             `msgpack:"at"`             // wall-clock time in microseconds
}

// releaseBatch is a set of machines that one cloud request releases.
type releaseBatch struct {
	name       string
	machineIDs []string
}

// commitIntent commits an intent and then runs the action. It runs the action immediately if the
// intent is already committed or the format level has no intents.
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

// closeIntent deletes an intent whose outcome is known. The caller must have queued the record of
// the outcome before.
func (c *Core) closeIntent(name string) {
	delete(c.openIntents, name)
	if c.format.level >= LevelIntents {
		c.committer.put(intentPrefix+name, func() []byte { return nil }, nil)
	}
}

// completeRelease removes the machines of a completed release. The intent is retained as long as
// the cloud's list may still name the machines, since a new leader would otherwise adopt them.
func (c *Core) completeRelease(batch releaseBatch) {
	for _, id := range batch.machineIDs {
		c.removeMachine(id)
	}
	c.retainIntent(batch.name, intentRecord{Machines: batch.machineIDs}, c.listLag())
}

// retainIntent marks an intent as done and deletes it after the given duration.
func (c *Core) retainIntent(name string, rec intentRecord, duration Micros) {
	if c.format.level < LevelIntents {
		return
	}
	rec.Done, rec.WrittenAt = true, c.toWallTime(c.env.Now())
	c.committer.put(intentPrefix+name, func() []byte { return wire.Encode(&rec) }, nil)
	c.closeIntentAfter(name, duration)
}

// closeIntentAfter deletes an intent after a delay.
func (c *Core) closeIntentAfter(name string, delay Micros) {
	c.env.After(delay, c.whileInTerm(func() { c.closeIntent(name) }))
}

// maxCloudRequestDelay is how long a cloud request may be in transit. If the cloud refuses a
// repeated rental for lack of capacity, the earlier copy may still be carried out once there is
// capacity. The rental is then not sent again, and its intent is retained for this time.
const maxCloudRequestDelay = 600 * clock.Second

// maxReleaseBatch is the maximum number of machines that one cloud request releases.
const maxReleaseBatch = 100

// nextReleaseBatch takes the next machines off the release queue, as many as fit into one request
// and one intent record.
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

// resumeIntents resumes the rentals and releases that earlier leaders began.
func (c *Core) resumeIntents(items []wire.Item) {
	for i := range items {
		var rec intentRecord
		name := strings.TrimPrefix(items[i].Key, intentPrefix)
		if err := msgpack.Unmarshal(items[i].Value, &rec); err != nil {
			slog.Error("cannot decode intent", "intent", name, "err", err)
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
			slog.Info("resuming release", "intent", name, "machines", len(rec.Machines))
			for _, id := range rec.Machines {
				if m := c.machines[id]; m != nil {
					m.Releasing = true
				} else {
					c.releasedMachines[id] = true
				}
			}
			c.pendingReleases = append(c.pendingReleases, releaseBatch{name, rec.Machines})
		case rec.Rent != nil:
			slog.Info("resuming rental", "intent", name, "machines", rec.Rent.Count)
			c.pendingRentals[name] = fleet.PendingRental{Kind: kindOf(rec.Rent), Count: rec.Rent.Count}
			c.sendRental(rec.Rent, c.toSteadyTime(rec.WrittenAt), true)
		default:
			c.closeIntent(name)
		}
	}
}

func kindOf(request *wire.RentRequest) fleet.MachineKind {
	return fleet.MachineKind{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
}
