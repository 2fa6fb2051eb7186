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
type chaos struct {
	s                                 *script
	rng                               *rand.Rand
	from, to, every, dependenciesFrom Micros
	jobScale, extraFaults             int
	pairedFaults                      bool
	jobs                              int // submitted
	waves                             []string
}

// play draws the whole day.
func (c *chaos) schedule(seed uint64) {
	c.rng = rand.New(rand.NewPCG(seed, 2))
	c.waves = []string{"hang", "cut", "sick", "taken", "deaf", "reborn", "mute"}[:4+min(c.extraFaults/3, 2)+c.extraFaults/12]
	for range 4 {
		c.submit(second)
	}
	for t := c.from; t < c.to; t += c.every/2 + Micros(c.rng.Int64N(int64(c.every))) {
		c.submit(t)
		c.trouble(t)
		if c.pairedFaults {
			c.trouble(t + Micros(c.rng.Int64N(int64(8*second))))
		}
	}
}

func (c *chaos) line(t Micros, format string, args ...any) {
	c.s.tryAt(t, parseArgs(strings.Fields(fmt.Sprintf(format, args...))))
}

func (c *chaos) mode() string { return []string{"hold", "drop"}[c.rng.IntN(2)] }

// submit draws a job.
func (c *chaos) submit(t Micros) {
	c.jobs++
	id := fmt.Sprintf("req-%06d", c.jobs)
	awaits := ""
	if t >= c.dependenciesFrom {
		for range c.rng.IntN(3) {
			awaits += fmt.Sprintf(",req-%06d", max(1, c.jobs-1-c.rng.IntN(4)))
		}
		if awaits != "" {
			awaits = "awaits=" + awaits[1:]
		}
	}
	switch c.rng.IntN(4) {
	case 0:
		c.line(t, "submit %s service tasks=%d cpus=1 spread priority=production %s", id, c.jobScale*(1+c.rng.IntN(2)), awaits)
		c.line(c.to+60*second, "cancel %s", id)
	case 1:
		c.line(t, "submit %s gang tasks=%d run=%d cpus=2 %s", id, min(c.jobScale, 20)*(2+c.rng.IntN(3)), 10+c.rng.IntN(20), awaits)
		c.s.checks = append(c.s.checks, c.s.checkFinished(id))
	default:
		c.line(t, "submit %s array tasks=%d run=%d checkpoint=%d save=2 priority=low cpus=%d %s", id,
			c.jobScale*(1+c.rng.IntN(8)), 5+c.rng.IntN(40), c.rng.IntN(2)*8, 1+c.rng.IntN(3), awaits)
		c.s.checks = append(c.s.checks, c.s.checkFinished(id))
	}
	if c.rng.IntN(6) == 0 || c.pairedFaults && c.rng.IntN(4) == 0 {
		c.line(t+Micros(c.rng.IntN(30))*second, "cancel %s", id)
	}
	if c.rng.IntN(4) == 0 {
		c.line(t+Micros(10+c.rng.IntN(200))*second, "resubmit %s", id)
	}
}

// trouble draws what goes wrong.
func (c *chaos) trouble(t Micros) {
	victim := fmt.Sprintf("of=req-%06d", 1+c.rng.IntN(c.jobs))
	span := 2 + c.rng.IntN(20)
	if c.jobScale > 1 && c.rng.IntN(3) == 0 {
		kind := c.waves[c.rng.IntN(len(c.waves))]
		c.line(t, "wave %s share=0.%d for=%d", kind, 1+c.rng.IntN(6), span)
	}
	switch c.rng.IntN(16 + c.extraFaults) {
	case 0:
		c.line(t, "kill leader for=%d", span)
	case 1:
		c.line(t, "kill all for=%d", 1+c.rng.IntN(8))
	case 2:
		c.line(t, "cut leader state %s for=%d", c.mode(), span)
	case 3:
		c.line(t, "cut leader workers peers users %s for=%d", c.mode(), span)
	case 4:
		c.line(t, "cut leader state peers %s for=%d", c.mode(), span)
	case 5, 6:
		c.line(t, "isolate %s %s for=%d", victim, c.mode(), span)
	case 7:
		c.line(t, "hang %s for=%d", victim, span)
	case 8:
		c.line(t, "refuse leader for=%d", span)
	case 9:
		c.line(t, "outage state for=%d", span)
	case 10:
		c.line(t, "outage cloud for=%d", span)
	case 11:
		c.line(t, "late-txn leader by=%d", span)
		c.line(t+2*second, "kill leader for=4")
	case 12:
		c.line(t, "late-rent by=%d", span)
		c.line(t, "lost-answer leader")
	case 13:
		c.line(t, "take %s", victim)
	case 14:
		c.line(t, "late-order by=%d", span)
	case 15:
		c.line(t, "slow-reports by=%d for=%d", 1+c.rng.IntN(3), span)
	case 16:
		c.line(t, "deaf %s for=%d", victim, 2*span)
	case 17:
		c.line(t, "copies share=0.%d by=%d for=%d", 1+c.rng.IntN(9), 2+c.rng.IntN(40), 2*span)
	case 18:
		c.line(t, "cut leader state peers hold for=%d", 2*span)
	case 19:
		c.line(t, "reborn %s", victim)
	case 20:
		c.line(t, "repeat kill leader every=0.%d count=%d for=0.0%d", 2+c.rng.IntN(8), 2+c.rng.IntN(6), 1+c.rng.IntN(9))
	case 21:
		c.line(t, "kill all for=0.%d", 1+c.rng.IntN(9))
	case 22:
		c.line(t, "late-writes share=0.%d for=%d", 1+c.rng.IntN(9), 2*span)
	case 23: // the leader alone, then everybody for longer than cancel_s
		c.line(t, "refuse leader for=%d", span)
		if c.rng.IntN(2) == 0 {
			c.line(t, "cut leader peers %s for=%d", c.mode(), 3*span)
		}
		c.line(t+Micros(1+c.rng.IntN(12))*second, "outage state for=%d", 30+c.rng.IntN(40))
	case 24:
		c.line(t, "late-return by=%d", span)
	case 25: // carried out, the answer lost, and others read it
		c.line(t, "late-writes at-once share=0.%d for=%d", 2+c.rng.IntN(8), 2*span)
		if c.rng.IntN(2) == 0 {
			c.line(t, "cut leader peers %s for=%d", c.mode(), 2*span)
		}
	case 26:
		c.line(t, "mute %s for=%d", victim, 2*span)
	case 27:
		c.line(t, "copies for-next share=0.%d by=%d for=%d", 1+c.rng.IntN(9), 2+c.rng.IntN(20), 3*span)
		c.line(t+Micros(c.rng.Int64N(int64(3*span)))*second, "kill leader for=%d", 1+c.rng.IntN(8))
	case 28:
		c.line(t, "freeze leader for=%d", span)
	case 29:
		c.line(t, "freeze follower for=%d", span)
	}
}
