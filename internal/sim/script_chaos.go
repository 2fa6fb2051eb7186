package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// chaos submits jobs and brings random troubles over them. In the end every
// job that nobody cancelled must be done. From the given time on, jobs await
// others. With more, of up to 6, come deaf machines, late copies, leaders without state
// service and peers, machines started anew, and processes back at once; of up to 9, transactions
// carried out late, the gap of two outages, and returns executed late; of up to 12, answers of
// transactions lost, mute machines, and reports kept for the next leader. With a size above 1, jobs are so many times larger, and troubles come over
// many machines at once. With pairs, a second trouble meets each within some seconds, and
// users cancel more often.
func (s *script) chaos(seed uint64, from, to, every, pipelines Micros, size, more int, pairs bool) {
	rng := rand.New(rand.NewPCG(seed, 2))
	jobs := 0
	waves := []string{"hang", "cut", "sick", "taken", "deaf", "reborn", "mute"}
	waves = waves[:4+min(more/3, 2)+more/12]
	line := func(t Micros, format string, args ...any) {
		s.line(t, parseArgs(strings.Fields(fmt.Sprintf(format, args...))))
	}
	submit := func(t Micros) {
		jobs++
		id := fmt.Sprintf("req-%06d", jobs)
		awaits := ""
		if t >= pipelines {
			for range rng.IntN(3) {
				awaits += fmt.Sprintf(",req-%06d", max(1, jobs-1-rng.IntN(4)))
			}
			if awaits != "" {
				awaits = "awaits=" + awaits[1:]
			}
		}
		switch rng.IntN(4) {
		case 0:
			line(t, "submit %s service tasks=%d cpus=1 spread priority=production %s", id, size*(1+rng.IntN(2)), awaits)
			line(to+60*sec, "cancel %s", id)
		case 1:
			line(t, "submit %s gang tasks=%d run=%d cpus=2 %s", id, min(size, 20)*(2+rng.IntN(3)), 10+rng.IntN(20), awaits)
			s.expect = append(s.expect, s.over(id))
		default:
			line(t, "submit %s array tasks=%d run=%d checkpoint=%d save=2 priority=low cpus=%d %s", id,
				size*(1+rng.IntN(8)), 5+rng.IntN(40), rng.IntN(2)*8, 1+rng.IntN(3), awaits)
			s.expect = append(s.expect, s.over(id))
		}
		if rng.IntN(6) == 0 || pairs && rng.IntN(4) == 0 {
			line(t+Micros(rng.IntN(30))*sec, "cancel %s", id)
		}
		if rng.IntN(4) == 0 {
			line(t+Micros(10+rng.IntN(200))*sec, "resubmit %s", id)
		}
	}
	for range 4 {
		submit(sec)
	}
	mode := func() string { return []string{"hold", "drop"}[rng.IntN(2)] }
	trouble := func(t Micros) {
		victim := fmt.Sprintf("of=req-%06d", 1+rng.IntN(jobs))
		span := 2 + rng.IntN(20)
		if size > 1 && rng.IntN(3) == 0 {
			kind := waves[rng.IntN(len(waves))]
			line(t, "wave %s share=0.%d for=%d", kind, 1+rng.IntN(6), span)
		}
		switch rng.IntN(16 + more) {
		case 0:
			line(t, "kill leader for=%d", span)
		case 1:
			line(t, "kill all for=%d", 1+rng.IntN(8))
		case 2:
			line(t, "cut leader state %s for=%d", mode(), span)
		case 3:
			line(t, "cut leader workers peers users %s for=%d", mode(), span)
		case 4:
			line(t, "cut leader state peers %s for=%d", mode(), span)
		case 5, 6:
			line(t, "isolate %s %s for=%d", victim, mode(), span)
		case 7:
			line(t, "hang %s for=%d", victim, span)
		case 8:
			line(t, "refuse leader for=%d", span)
		case 9:
			line(t, "outage state for=%d", span)
		case 10:
			line(t, "outage cloud for=%d", span)
		case 11:
			line(t, "late-txn leader by=%d", span)
			line(t+2*sec, "kill leader for=4")
		case 12:
			line(t, "late-rent by=%d", span)
			line(t, "lost-answer leader")
		case 13:
			line(t, "take %s", victim)
		case 14:
			line(t, "late-order by=%d", span)
		case 15:
			line(t, "slow-reports by=%d for=%d", 1+rng.IntN(3), span)
		case 16:
			line(t, "deaf %s for=%d", victim, 2*span)
		case 17:
			line(t, "copies share=0.%d by=%d for=%d", 1+rng.IntN(9), 2+rng.IntN(40), 2*span)
		case 18:
			line(t, "cut leader state peers hold for=%d", 2*span)
		case 19:
			line(t, "reborn %s", victim)
		case 20:
			line(t, "repeat kill leader every=0.%d count=%d for=0.0%d", 2+rng.IntN(8), 2+rng.IntN(6), 1+rng.IntN(9))
		case 21:
			line(t, "kill all for=0.%d", 1+rng.IntN(9))
		case 22:
			line(t, "late-writes share=0.%d for=%d", 1+rng.IntN(9), 2*span)
		case 23: // the leader alone, then everybody for longer than cancel_s
			line(t, "refuse leader for=%d", span)
			if rng.IntN(2) == 0 {
				line(t, "cut leader peers %s for=%d", mode(), 3*span)
			}
			line(t+Micros(1+rng.IntN(12))*sec, "outage state for=%d", 30+rng.IntN(40))
		case 24:
			line(t, "late-return by=%d", span)
		case 25: // carried out, the answer lost, and others read it
			line(t, "late-writes at-once share=0.%d for=%d", 2+rng.IntN(8), 2*span)
			if rng.IntN(2) == 0 {
				line(t, "cut leader peers %s for=%d", mode(), 2*span)
			}
		case 26:
			line(t, "mute %s for=%d", victim, 2*span)
		case 27:
			line(t, "copies for-next share=0.%d by=%d for=%d", 1+rng.IntN(9), 2+rng.IntN(20), 3*span)
			line(t+Micros(rng.Int64N(int64(3*span)))*sec, "kill leader for=%d", 1+rng.IntN(8))
		case 28:
			line(t, "freeze leader for=%d", span)
		case 29:
			line(t, "freeze follower for=%d", span)
		}
	}
	for t := from; t < to; t += every/2 + Micros(rng.Int64N(int64(every))) {
		submit(t)
		trouble(t)
		if pairs {
			trouble(t + Micros(rng.Int64N(int64(8*sec))))
		}
	}
}
