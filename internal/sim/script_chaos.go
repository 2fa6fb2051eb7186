package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// chaos is a day of random jobs and troubles. In the end every job that nobody cancelled must
// be done. From the given time on, jobs await others. With more, of up to 6, come deaf
// machines, late copies, leaders without state service and peers, machines started anew, and
// processes back at once; of up to 9, transactions carried out late, the gap of two outages, and
// returns executed late; of up to 12, answers of transactions lost, mute machines, and reports
// kept for the next leader; of up to 14, controllers that stand still while their clocks run on.
// With a size above 1, jobs are so many times larger, and troubles come over many machines at
// once. With pairs, a second trouble meets each within some seconds, and users cancel more often.
type chaosPlan struct {
	s                                 *script
	rng                               *rand.Rand
	from, to, every, dependenciesFrom Micros
	jobScale, extraFaults             int
	pairedFaults                      bool
	submittedJobs                     int // submitted
	waveKinds                         []string
}

// play draws the whole day.
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

func (c *chaosPlan) scheduleLine(at Micros, format string, args ...any) {
	c.s.tryAt(at, parseArgs(strings.Fields(fmt.Sprintf(format, args...))))
}

func (c *chaosPlan) randomCutMode() string { return []string{"hold", "drop"}[c.rng.IntN(2)] }

// submit draws a job.
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
		c.s.checks = append(c.s.checks, c.s.checkFinished(id))
	default:
		c.scheduleLine(at, "submit %s array tasks=%d run=%d checkpoint=%d save=2 priority=low cpus=%d %s", id,
			c.jobScale*(1+c.rng.IntN(8)), 5+c.rng.IntN(40), c.rng.IntN(2)*8, 1+c.rng.IntN(3), awaits)
		c.s.checks = append(c.s.checks, c.s.checkFinished(id))
	}
	if c.rng.IntN(6) == 0 || c.pairedFaults && c.rng.IntN(4) == 0 {
		c.scheduleLine(at+Micros(c.rng.IntN(30))*second, "cancel %s", id)
	}
	if c.rng.IntN(4) == 0 {
		c.scheduleLine(at+Micros(10+c.rng.IntN(200))*second, "resubmit %s", id)
	}
}

// trouble draws what goes wrong.
func (c *chaosPlan) scheduleFault(at Micros) {
	target := fmt.Sprintf("of=req-%06d", 1+c.rng.IntN(c.submittedJobs))
	seconds := 2 + c.rng.IntN(20)
	if c.jobScale > 1 && c.rng.IntN(3) == 0 {
		kind := c.waveKinds[c.rng.IntN(len(c.waveKinds))]
		c.scheduleLine(at, "wave %s share=0.%d for=%d", kind, 1+c.rng.IntN(6), seconds)
	}
	switch c.rng.IntN(16 + c.extraFaults) {
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
	case 23: // the leader alone, then everybody for longer than cancel_s
		c.scheduleLine(at, "refuse leader for=%d", seconds)
		if c.rng.IntN(2) == 0 {
			c.scheduleLine(at, "cut leader peers %s for=%d", c.randomCutMode(), 3*seconds)
		}
		c.scheduleLine(at+Micros(1+c.rng.IntN(12))*second, "outage state for=%d", 30+c.rng.IntN(40))
	case 24:
		c.scheduleLine(at, "late-return by=%d", seconds)
	case 25: // carried out, the answer lost, and others read it
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
	}
}
