package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// chaosPlan schedules random jobs and random faults. At the end of the run every array and gang
// must be done or, if its user asked for that, cancelled. extraFaults (key "more") adds kinds of
// faults to those that are always drawn:
//   - up to 6: machines that receive nothing, late copies of reports, leaders cut off from the
//     state service and the peers, restarted machines, and controllers that restart within a second;
//   - up to 9: transactions applied late, an outage for the leader alone followed by one for all
//     controllers, and releases executed late;
//   - up to 12: lost answers of transactions, machines that reach no controller, and copies of
//     reports that are kept until the next election;
//   - up to 14: controllers that freeze while their clocks run on;
//   - up to 17: machines that restart, perhaps twice, while their reports are lost, machines that
//     receive nothing for two seconds as jobs arrive, again and again, and controllers that are back
//     within a tenth of a second.
type chaosPlan struct {
	script *script
	rng    *rand.Rand
	// Jobs and faults are scheduled between from and to, at random intervals of every/2 to 3*every/2.
	// Jobs await others from dependenciesFrom on.
	from, to, every, dependenciesFrom Micros
	// jobScale multiplies the number of tasks of a job; above 1, waves of faults hit many machines at
	// once.
	jobScale, extraFaults int
	// pairedFaults adds a second fault within 8 s of each, and more cancellations.
	pairedFaults  bool
	submittedJobs int
	waveKinds     []string // kinds of faults that a wave may have; see doWave
}

// schedule draws all jobs and faults of the run.
func (c *chaosPlan) schedule(seed uint64) {
	c.rng = rand.New(rand.NewPCG(seed, 2))
	c.waveKinds = []string{"hang", "cut", "sick", "taken", "deaf", "reborn", "mute"}[:4+min(c.extraFaults/3, 2)+c.extraFaults/12]
	for range 4 {
		c.scheduleJob(second)
	}
	for at := c.from; at < c.to; at += c.every/2 + Micros(c.rng.Int64N(int64(c.every))) {
		c.scheduleJob(at)
		c.scheduleFault(at)
		if c.pairedFaults {
			c.scheduleFault(at + Micros(c.rng.Int64N(int64(8*second))))
		}
	}
}

// scheduleLine schedules a line of a scenario. The line has no effect if the object that it needs
// does not exist at that time.
func (c *chaosPlan) scheduleLine(at Micros, format string, args ...any) {
	c.script.tryAt(at, parseArgs(strings.Fields(fmt.Sprintf(format, args...))))
}

// randomCutMode draws whether a cut holds messages back or drops them.
func (c *chaosPlan) randomCutMode() string { return []string{"hold", "drop"}[c.rng.IntN(2)] }

// scheduleJob draws a job and, for some jobs, a cancellation or a repeated submission.
func (c *chaosPlan) scheduleJob(at Micros) {
	c.submittedJobs++
	id := fmt.Sprintf("req-%06d", c.submittedJobs)
	awaits := ""
	if at >= c.dependenciesFrom {
		for range c.rng.IntN(3) {
			awaits += fmt.Sprintf(",req-%06d", max(1, c.submittedJobs-1-c.rng.IntN(4)))
		}
		if awaits != "" {
			awaits = "awaits=" + awaits[1:]
		}
	}
	switch c.rng.IntN(4) {
	case 0:
		c.scheduleLine(at, "submit %s service tasks=%d cpus=1 spread priority=production %s", id, c.jobScale*(1+c.rng.IntN(2)), awaits)
		c.scheduleLine(c.to+60*second, "cancel %s", id)
	case 1:
		c.scheduleLine(at, "submit %s gang tasks=%d run=%d cpus=2 %s", id, min(c.jobScale, 20)*(2+c.rng.IntN(3)), 10+c.rng.IntN(20), awaits)
		c.script.checks = append(c.script.checks, c.script.checkFinished(id))
	default:
		c.scheduleLine(at, "submit %s array tasks=%d run=%d checkpoint=%d save=2 priority=low cpus=%d %s", id,
			c.jobScale*(1+c.rng.IntN(8)), 5+c.rng.IntN(40), c.rng.IntN(2)*8, 1+c.rng.IntN(3), awaits)
		c.script.checks = append(c.script.checks, c.script.checkFinished(id))
	}
	if c.rng.IntN(6) == 0 || c.pairedFaults && c.rng.IntN(4) == 0 {
		c.scheduleLine(at+Micros(c.rng.IntN(30))*second, "cancel %s", id)
	}
	if c.rng.IntN(4) == 0 {
		c.scheduleLine(at+Micros(10+c.rng.IntN(200))*second, "resubmit %s", id)
	}
}

// scheduleFault draws a fault and, for large jobs, sometimes a wave of faults.
func (c *chaosPlan) scheduleFault(at Micros) {
	target := fmt.Sprintf("of=req-%06d", 1+c.rng.IntN(c.submittedJobs))
	seconds := 2 + c.rng.IntN(20)
	if c.jobScale > 1 && c.rng.IntN(3) == 0 {
		kind := c.waveKinds[c.rng.IntN(len(c.waveKinds))]
		c.scheduleLine(at, "wave %s share=0.%d for=%d", kind, 1+c.rng.IntN(6), seconds)
	}
	if kind := c.rng.IntN(16 + c.extraFaults); kind < 16 {
		c.scheduleBasicFault(kind, at, target, seconds)
	} else {
		c.scheduleExtraFault(kind, at, target, seconds)
	}
}

// scheduleBasicFault schedules a fault of one of the kinds that are always drawn.
func (c *chaosPlan) scheduleBasicFault(kind int, at Micros, target string, seconds int) {
	switch kind {
	case 0:
		c.scheduleLine(at, "kill leader for=%d", seconds)
	case 1:
		c.scheduleLine(at, "kill all for=%d", 1+c.rng.IntN(8))
	case 2:
		c.scheduleLine(at, "cut leader state %s for=%d", c.randomCutMode(), seconds)
	case 3:
		c.scheduleLine(at, "cut leader workers peers users %s for=%d", c.randomCutMode(), seconds)
	case 4:
		c.scheduleLine(at, "cut leader state peers %s for=%d", c.randomCutMode(), seconds)
	case 5, 6:
		c.scheduleLine(at, "isolate %s %s for=%d", target, c.randomCutMode(), seconds)
	case 7:
		c.scheduleLine(at, "hang %s for=%d", target, seconds)
	case 8:
		c.scheduleLine(at, "refuse leader for=%d", seconds)
	case 9:
		c.scheduleLine(at, "outage state for=%d", seconds)
	case 10:
		c.scheduleLine(at, "outage cloud for=%d", seconds)
	case 11:
		c.scheduleLine(at, "late-txn leader by=%d", seconds)
		c.scheduleLine(at+2*second, "kill leader for=4")
	case 12:
		c.scheduleLine(at, "late-rent by=%d", seconds)
		c.scheduleLine(at, "lost-answer leader")
	case 13:
		c.scheduleLine(at, "take %s", target)
	case 14:
		c.scheduleLine(at, "late-order by=%d", seconds)
	case 15:
		c.scheduleLine(at, "slow-reports by=%d for=%d", 1+c.rng.IntN(3), seconds)
	}
}

// scheduleExtraFault schedules a fault of one of the kinds that extraFaults adds.
func (c *chaosPlan) scheduleExtraFault(kind int, at Micros, target string, seconds int) {
	switch kind {
	case 16:
		c.scheduleLine(at, "deaf %s for=%d", target, 2*seconds)
	case 17:
		c.scheduleLine(at, "copies share=0.%d by=%d for=%d", 1+c.rng.IntN(9), 2+c.rng.IntN(40), 2*seconds)
	case 18:
		c.scheduleLine(at, "cut leader state peers hold for=%d", 2*seconds)
	case 19:
		c.scheduleLine(at, "reborn %s", target)
	case 20:
		c.scheduleLine(at, "repeat kill leader every=0.%d count=%d for=0.0%d", 2+c.rng.IntN(8), 2+c.rng.IntN(6), 1+c.rng.IntN(9))
	case 21:
		c.scheduleLine(at, "kill all for=0.%d", 1+c.rng.IntN(9))
	case 22:
		c.scheduleLine(at, "late-writes share=0.%d for=%d", 1+c.rng.IntN(9), 2*seconds)
	case 23: // the state service fails for the leader alone, then for all controllers and longer than cancel_s
		c.scheduleLine(at, "refuse leader for=%d", seconds)
		if c.rng.IntN(2) == 0 {
			c.scheduleLine(at, "cut leader peers %s for=%d", c.randomCutMode(), 3*seconds)
		}
		c.scheduleLine(at+Micros(1+c.rng.IntN(12))*second, "outage state for=%d", 30+c.rng.IntN(40))
	case 24:
		c.scheduleLine(at, "late-return by=%d", seconds)
	case 25: // transactions are applied, their answers are lost, and other controllers read the new state
		c.scheduleLine(at, "late-writes at-once share=0.%d for=%d", 2+c.rng.IntN(8), 2*seconds)
		if c.rng.IntN(2) == 0 {
			c.scheduleLine(at, "cut leader peers %s for=%d", c.randomCutMode(), 2*seconds)
		}
	case 26:
		c.scheduleLine(at, "mute %s for=%d", target, 2*seconds)
	case 27:
		c.scheduleLine(at, "copies for-next share=0.%d by=%d for=%d", 1+c.rng.IntN(9), 2+c.rng.IntN(20), 3*seconds)
		c.scheduleLine(at+Micros(c.rng.Int64N(int64(3*seconds)))*second, "kill leader for=%d", 1+c.rng.IntN(8))
	case 28:
		c.scheduleLine(at, "freeze leader for=%d", seconds)
	case 29:
		c.scheduleLine(at, "freeze follower for=%d", seconds)
	case 30: // the first reports of the restarted worker are lost
		c.scheduleLine(at, "mute %s for=0.%d", target, 1+c.rng.IntN(9))
		c.scheduleLine(at, "reborn %s", target)
		if c.rng.IntN(2) == 0 {
			c.scheduleLine(at+Micros(c.rng.Int64N(int64(2*second))), "reborn %s", target)
		}
	case 31:
		c.scheduleLine(at, "repeat deaf %s for=2 every=%d count=%d", target, 4+c.rng.IntN(8), 1+c.rng.IntN(3))
		c.scheduleJob(at + 50*millisecond)
	case 32:
		c.scheduleLine(at, "kill leader for=0.0%d", 1+c.rng.IntN(9))
	}
}
