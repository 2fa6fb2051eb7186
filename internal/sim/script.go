package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/policy"
	"lilacthread/wire"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// script is a scenario being played. A line is a verb with words and key=value
// pairs; "at T verb ..." does it at second T of virtual time, "expect" lines
// are judged at the end, "run T" says when that is. '#' begins a comment.
type script struct {
	w      *World
	until  Micros
	expect []func() error
	at     int // the line being done
}

type args struct {
	words []string
	pairs map[string]string
}

func parseArgs(fields []string) args {
	a := args{pairs: map[string]string{}}
	for _, f := range fields {
		if k, v, ok := strings.Cut(f, "="); ok {
			a.pairs[k] = v
		} else {
			a.words = append(a.words, f)
		}
	}
	return a
}

func (a args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

func (a args) num(key string, def float64) float64 {
	v, ok := a.pairs[key]
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s: not a number", key, v))
	}
	return x
}

// mode is how a link is to be cut.
func (a args) mode() Cut {
	if a.has("hold") {
		return Hold
	}
	return Drop
}

func (a args) has(flag string) bool { return slices.Contains(a.words, flag) }

// Play runs a scenario and returns what went wrong.
func Play(text string) (err error) {
	s := &script{until: 300 * sec}
	defer func() {
		if r := recover(); r != nil {
			if what, ok := r.(string); ok { // a mistake in the scenario
				err = fmt.Errorf("line %d: %s", s.at, what)
				return
			}
			panic(r)
		}
	}()
	s.w = NewWorld(3, []string{"a", "b"}, 7)
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		at := Micros(0)
		s.at = n + 1
		if fields[0] == "at" {
			if len(fields) < 3 {
				panic("at: a time and a verb are needed")
			}
			t, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				panic("at: " + fields[1] + " is no time")
			}
			at, fields = Micros(t*1e6), fields[2:]
		}
		verb := s.verb(fields[0], parseArgs(fields[1:]))
		if verb == nil {
			panic("unknown verb " + fields[0])
		}
		do := func() {
			s.at = n + 1
			verb()
		}
		if at > 0 {
			s.w.At(at, do)
		} else {
			do()
		}
	}
	if len(s.w.Config.Params.Teams) == 0 {
		s.team("core", 0, 0)
	}
	for _, node := range s.w.Nodes {
		node.Start()
	}
	var sweep func()
	sweep = func() {
		s.w.Rules.Sweep(s.w.now)
		s.w.Cloud.checkAccounted()
		if s.w.now%(5*sec) == 0 {
			s.w.judgeWaiting()
		}
		s.w.After(sec, sweep)
	}
	sweep()
	s.w.Run(s.until)
	s.w.Rules.Finish()
	s.w.State.judgeKeys()
	if len(s.w.Rules.Broken) > 0 {
		return fmt.Errorf("rules broken: %s", strings.Join(s.w.Rules.Broken, "; "))
	}
	for _, e := range s.expect {
		if err := e(); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) team(name string, guarantee, limit float64) {
	s.w.Config.Params.Teams = append(s.w.Config.Params.Teams, config.Team{Name: name, CPUs: guarantee, CPUsMax: limit})
	s.w.Rules.Limits[name] = limit
}

func (s *script) node(name string) *Node {
	if name == "leader" {
		if l := s.w.Leader(); l != nil {
			return l
		}
		panic("there is no leader now")
	}
	if name == "follower" {
		for _, n := range s.w.Nodes {
			if n != s.w.Leader() && n.Up() {
				return n
			}
		}
	}
	if n := s.w.node(name); n != nil {
		return n
	}
	panic("no node " + name)
}

// worker finds a machine: by name, or the first that runs a task of a job.
func (s *script) worker(a args) *Worker {
	if job := a.pairs["of"]; job != "" {
		for _, id := range sortedKeys(s.w.Cloud.Machines) {
			x := s.w.Cloud.Machines[id]
			for _, t := range x.tasks {
				if strings.HasPrefix(t.task, job+"/") && t.state != wire.TaskExited {
					return x
				}
			}
		}
		panic("no machine runs " + job)
	}
	if x := s.w.Cloud.Machines[a.pairs["machine"]]; x != nil {
		return x
	}
	panic("no machine " + a.pairs["machine"])
}

func (s *script) hosts(word string) []string {
	switch word {
	case "state", "cloud", "users":
		return []string{word}
	case "workers":
		return sortedKeys(s.w.Cloud.Machines)
	case "peers", "followers":
		var names []string
		for _, n := range s.w.Nodes {
			if word == "peers" || n != s.w.Leader() {
				names = append(names, n.name)
			}
		}
		return names
	}
	return []string{s.node(word).name}
}

// troubles are the verbs that make something go wrong, for a while or at once.
var troubles = map[string]bool{"kill": true, "twin": true, "slow": true, "throttle": true, "cut": true, "isolate": true, "apart": true,
	"refuse": true, "outage": true, "late-txn": true, "late-writes": true, "lost-answer": true, "late-order": true, "slow-reports": true,
	"slow-links": true, "zone-cut": true,
	"late-rent": true, "late-return": true, "no-boot": true, "hang": true, "deaf": true, "mute": true, "dead": true, "copies": true, "reborn": true, "sick": true,
	"notice": true, "take": true, "wave": true, "upgrade": true}

// verb gives what a line does, and tells the checker until when its trouble lasts.
func (s *script) verb(name string, a args) func() {
	do := s.action(name, a)
	if do == nil || !troubles[name] {
		return do
	}
	return func() {
		do()
		s.w.Rules.Trouble(s.w.now + Micros((a.num("for", 20)+a.num("by", 0)+a.num("in", 0))*1e6))
	}
}

func (s *script) action(name string, a args) func() {
	w := s.w
	span := func(key string, def float64) Micros { return Micros(a.num(key, def) * 1e6) }
	switch name {
	case "run":
		t, err := strconv.ParseFloat(a.word(0), 64)
		if err != nil {
			panic("run: " + a.word(0))
		}
		return func() { s.until = Micros(t * 1e6) }
	case "team":
		return func() { s.team(a.word(0), a.num("cpus", 0), a.num("max", 0)) }
	case "type":
		return func() {
			zones := []string{"a"}
			if z := a.pairs["zones"]; z != "" {
				zones = strings.Split(z, ",")
			}
			w.Cloud.Types = append(w.Cloud.Types, wire.MachineType{Name: a.word(0), CPUs: a.num("cpus", 8), GPUs: a.num("gpus", 0),
				MemoryGB: a.num("mem", 32), CacheGB: 50, FetchRate: a.num("fetch", 1), Price: a.num("price", 1),
				SpotPrice: a.num("spot", 0.3), Boot: a.num("boot", 10), Zones: zones})
		}
	case "capacity":
		return func() { w.Cloud.Capacity[a.word(0)] = int(a.num("count", 0)) }
	case "submit":
		job := s.job(a)
		return func() {
			if a.has("malformed") { // a field is missing
				u := w.Follow(job)
				u.submitAs(u.malformed)
				return
			}
			w.Submit(job)
		}
	case "many": // small jobs, req-100000 on
		return func() {
			for i := range int(a.num("count", 10)) {
				w.At(sec, s.verb("submit", parseArgs([]string{many(i), "array", "cpus=1", "run=" + a.pairs["run"]})))
			}
		}
	case "admission": // on, with the policy's names
		return func() {
			program := "admission = True\n"
			for _, k := range sortedKeys(a.pairs) {
				program += k + " = " + a.pairs[k] + "\n"
			}
			pol, err := policy.Parse(policy.Program{Name: "admission", Text: program})
			if err != nil {
				panic(err.Error())
			}
			w.pol = pol
		}
	case "relay": // controllers that do not lead carry workers' connections
		return func() {
			pol := *w.pol
			pol.Relay = policy.Relay{On: true, Workers: int(a.num("workers", 1))}
			w.pol = &pol
		}
	case "report-changes": // workers report changes at once
		return func() { w.ReportChanges = true }
	case "sockets": // a controller says that so much of its connections is in use
		return func() { s.node(a.word(0)).sockets = a.num("share", 0.9) }
	case "objective":
		return func() {
			w.Config.Params.Objectives = append(w.Config.Params.Objectives, config.Objective{Kind: a.word(0), Class: a.word(1), Within: a.num("within", 60)})
			w.Rules.Widest[a.word(1)] = max(w.Rules.Widest[a.word(1)], span("within", 60))
		}
	case "fair": // starvation is a rule on this day
		return func() { w.Rules.Fair = true }
	case "impatient":
		return func() { w.Impatient = span("after", 0.2) }
	case "slow": // the state service takes longer
		return func() {
			w.State.Slow = span("by", 0.2)
			w.After(span("for", 20), func() { w.State.Slow = 0 })
		}
	case "burst": // jobs like the one described, numbered from the id on
		return func() {
			id, count := a.word(0), int(a.num("count", 10))
			first, err := strconv.Atoi(strings.TrimPrefix(id, "req-"))
			if err != nil {
				panic("burst: " + id)
			}
			every := int(a.num("cancel", 0)) // so many are cancelled: each at some instant of its first seconds
			rng := rand.New(rand.NewPCG(uint64(first), 7))
			for i := range count {
				job := s.job(a)
				job.ID = fmt.Sprintf("req-%06d", first+i)
				at := w.now + span("over", 0)*Micros(i)/Micros(count)
				w.At(at, func() { w.Submit(job) })
				if every > 0 && i%every == 0 {
					s.line(at+Micros(rng.Int64N(int64(span("within", 20)))), args{words: []string{"cancel", job.ID}})
				}
			}
		}
	case "resubmit": // as it was, or with others: that fit nowhere, or are less; or without a field
		return func() {
			first, _ := strconv.Atoi(strings.TrimPrefix(a.word(0), "req-")) // checked when it was submitted
			for i := range int(a.num("count", 1)) {
				u := w.Users[fmt.Sprintf("req-%06d", first+i)]
				if u == nil {
					panic("resubmit: nobody submitted " + a.word(0))
				}
				other := *u.job
				switch {
				case a.has("malformed"):
					u.submitAs(u.malformed)
					continue
				case a.has("other"):
					other.CPUs = 1e6
				case a.has("less"):
					other.Tasks = 1
				}
				u.submitAs(func(c *controller.Core, reply func(controller.Answer)) { c.Submit(&other, reply) })
			}
		}
	case "poll": // at a node, ready or not, or where the load balancer chooses
		return func() {
			u := w.Users[a.word(0)]
			if u == nil {
				u = &User{w: w, job: &wire.Job{ID: a.word(0)}}
			}
			u.at = a.pairs["at"]
			u.Poll(nil)
			u.at = ""
		}
	case "cancel":
		return func() {
			if w.Users[a.word(0)] == nil {
				panic("cancel: nobody submitted " + a.word(0))
			}
			w.Users[a.word(0)].Cancel()
		}
	case "kill":
		return func() {
			var nodes []*Node
			if a.word(0) == "all" {
				nodes = w.Nodes
			} else {
				nodes = []*Node{s.node(a.word(0))}
			}
			for _, n := range nodes {
				n.Kill()
				w.After(span("for", 5), n.Start)
			}
		}
	case "twin": // one more process, on a machine of its own, that bears a node's name
		return func() {
			name := s.node(a.word(0)).name
			w.Nodes = append(w.Nodes, &Node{w: w, name: name + "-twin", twin: name})
			w.Nodes[len(w.Nodes)-1].Start()
		}
	case "repeat": // a verb again and again, where it can be done just then
		return func() {
			at, each := w.now, args{words: a.words, pairs: maps.Clone(a.pairs)}
			delete(each.pairs, "count")
			for range int(a.num("count", 1)) {
				s.line(at, each)
				at += span("every", 1)
			}
		}
	case "settings": // the next limits of the state service
		return func() {
			next := fmt.Sprintf(`{"next":{"value_kb":%v,"txn_ops":%v,"write_rps":%v}}`, a.num("value", 2), a.num("ops", 8), a.num("rate", 42))
			if err := json.Unmarshal([]byte(next), &w.Config.Params.State); err != nil {
				panic(err.Error())
			}
		}
	case "limits": // the next limits are in force
		return func() { w.State.Next = true }
	case "workers":
		return func() {
			p := &w.Config.Params.Workers
			p.Report, p.Lease, p.Cancel = a.num("report", 1), a.num("lease", 10), a.num("cancel", p.Cancel)
		}
	case "strict":
		return func() { w.Strict = true }
	case "throttle": // the state service takes fewer changes a second than it says
		return func() {
			w.State.Rate = a.num("rate", 5)
			w.After(span("for", 20), func() { w.State.Rate = 0 })
		}
	case "old": // nodes that run the version in production
		return func() {
			for _, word := range a.words {
				if word == "all" {
					for _, n := range w.Nodes {
						n.old = true
					}
				} else {
					s.node(word).old = true
				}
			}
		}
	case "upgrade": // kills a node; it comes back with the new version
		return func() {
			for _, n := range w.Nodes {
				if n.old && (a.word(0) == n.name || a.word(0) == "next") {
					n.old = false
					n.Kill()
					w.After(span("for", 3), n.Start)
					return
				}
			}
		}
	case "cut":
		return func() {
			mode := a.mode()
			var to []string
			for _, word := range a.words[1:] {
				if word != "hold" && word != "drop" {
					to = append(to, s.hosts(word)...)
				}
			}
			for _, from := range s.hosts(a.word(0)) {
				for _, t := range to {
					if t != from {
						w.cutFor(from, t, mode, span("for", 20))
					}
				}
			}
		}
	case "zone-cut": // a zone's machines, and a controller in it, from all that is elsewhere
		return func() {
			mode := a.mode()
			inside, outside := []string{s.node(a.word(1)).name}, []string{"state", "cloud", "users"}
			for _, id := range sortedKeys(w.Cloud.Machines) {
				if w.Cloud.Machines[id].zone == a.word(0) {
					inside = append(inside, id)
				} else {
					outside = append(outside, id)
				}
			}
			for _, n := range w.Nodes {
				if n.name != inside[0] {
					outside = append(outside, n.name)
				}
			}
			for _, from := range inside {
				for _, to := range outside {
					w.cutFor(from, to, mode, span("for", 20))
				}
			}
		}
	case "slow-links": // all messages are under way for longer
		return func() {
			w.SlowLinks = span("by", 0.3)
			w.After(span("for", 20), func() { w.SlowLinks = 0 })
		}
	case "isolate": // one machine from all controllers
		return func() {
			mode := a.mode()
			x := s.worker(a)
			for _, n := range w.Nodes {
				w.cutFor(x.id, n.name, mode, span("for", 20))
			}
		}
	case "apart": // a node and a share of the machines can't reach each other
		return func() {
			n := s.node(a.word(0)).name
			ids := sortedKeys(w.Cloud.Machines)
			for _, id := range ids[:int(a.num("share", 0.5)*float64(len(ids)))] {
				w.cutFor(n, id, Hold, span("for", 20))
			}
		}
	case "refuse":
		return func() {
			n := s.node(a.word(0)).name
			w.State.Refuse[n] = true
			w.After(span("for", 20), func() { w.State.Refuse[n] = false; w.State.notify() })
		}
	case "outage":
		return func() {
			switch a.word(0) {
			case "state":
				w.State.SetOutage(true)
				w.After(span("for", 20), func() { w.State.SetOutage(false) })
			case "cloud":
				w.Cloud.Outage = true
				w.After(span("for", 20), func() { w.Cloud.Outage = false })
			}
		}
	case "late-txn":
		return func() {
			w.State.Late[s.node(a.word(0)).name] = span("by", 10)
			w.State.LateKeys = a.pairs["keys"]
		}
	case "late-writes": // of any node; see lateWrites
		return func() {
			w.State.LateOnes = &lateWrites{a.num("share", 0.3), rand.New(rand.NewPCG(uint64(w.now), 5)), a.has("at-once")}
			w.After(span("for", 20), func() { w.State.LateOnes = nil })
		}
	case "lost-answer":
		return func() { w.State.Lost[s.node(a.word(0)).name] = true }
	case "late-order":
		return func() { w.LateOrder = span("by", 10) }
	case "slow-reports":
		return func() {
			w.SlowReports = span("by", 2)
			w.After(span("for", 2), func() { w.SlowReports = 0 })
		}
	case "late-return":
		return func() { w.Cloud.LateReturn = span("by", 20) }
	case "late-rent":
		return func() { w.Cloud.LateRent = span("by", 20) }
	case "no-boot":
		return func() { w.Cloud.NoBoot = int(a.num("count", 1)) }
	case "hang":
		return func() {
			x := s.worker(a)
			x.Hang(true)
			w.After(span("for", 5), func() { x.Hang(false) })
		}
	case "deaf": // what is sent to a machine does not reach it; what it sends arrives
		return func() {
			w.markFor(w.deaf, s.worker(a).id, span("for", 20))
		}
	case "mute": // a machine reaches no controller, while orders reach it
		return func() {
			w.markFor(w.mute, s.worker(a).id, span("for", 20))
		}
	case "copies": // of reports come again, at any node, or at all nodes once there is a new leader
		return func() {
			c := &copying{share: a.num("share", 0.5), by: span("by", 20), rng: rand.New(rand.NewPCG(uint64(w.now), 4)), forNext: a.has("for-next")}
			w.copies = c
			w.After(span("for", 60), func() {
				if w.copies == c {
					w.copies = nil
				}
			})
		}
	case "close-looks": // see looks
		return func() {
			w.looks = &looks{a.num("cancels", 0), rand.New(rand.NewPCG(uint64(w.now), 6))}
			w.After(span("for", 1e6), func() { w.looks = nil })
		}
	case "dead": // a machine stops with all that is on it; the list goes on naming it
		return func() { s.worker(a).die() }
	case "reborn": // a machine is back at once, and counts from the beginning
		return func() { s.worker(a).Reborn() }
	case "sick":
		return func() { s.worker(a).Sick = true }
	case "notice":
		return func() { s.worker(a).Notify(span("in", 8)) }
	case "take":
		return func() { w.Cloud.remove(s.worker(a).id) }
	case "wave": // many machines at once: hang, cut, deaf, mute, reborn, sick, or taken
		return func() {
			rng := rand.New(rand.NewPCG(uint64(w.now), 3))
			for _, id := range sortedKeys(w.Cloud.Machines) {
				if rng.Float64() >= a.num("share", 0.3) {
					continue
				}
				switch x := w.Cloud.Machines[id]; a.word(0) {
				case "hang":
					x.Hang(true)
					w.After(span("for", 10), func() { x.Hang(false) })
				case "cut":
					s.verb("isolate", args{words: []string{"", "hold"}, pairs: map[string]string{"machine": id, "for": a.pairs["for"]}})()
				case "deaf":
					w.markFor(w.deaf, id, span("for", 10))
				case "mute":
					w.markFor(w.mute, id, span("for", 10))
				case "reborn":
					x.Reborn()
				case "sick":
					x.Sick = true
					w.After(span("for", 10), func() { x.Sick = false })
				case "taken":
					w.Cloud.remove(id)
				default:
					panic("wave: " + a.word(0))
				}
			}
		}
	case "chaos":
		return func() {
			s.chaos(uint64(a.num("seed", 1)), span("from", 20), span("to", 200), span("every", 8), span("pipelines", 1e9), int(a.num("size", 1)), int(a.num("more", 0)), a.has("pairs"))
		}
	case "expect":
		return s.expectation(a)
	}
	return nil
}

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

// line does a verb at an instant, if there is then a leader or machine to do it to.
func (s *script) line(at Micros, a args) {
	do := s.verb(a.words[0], args{words: a.words[1:], pairs: a.pairs})
	s.w.At(at, func() {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(string); !ok {
					panic(r)
				}
			}
		}()
		do()
	})
}

// over expects a job to be done or, if its user wished so, cancelled.
func (s *script) over(id string) func() error {
	return func() error {
		u := s.w.Users[id]
		if u != nil && u.code == 422 && u.job.Awaits != nil {
			return nil // the job that it awaits was not accepted in time
		}
		if u == nil || u.Last != wire.PhaseDone && (u.Last != wire.PhaseCancelled || !s.w.Rules.mayCancel(s.w.Rules.jobs[id])) {
			return fmt.Errorf("%s is not over", id)
		}
		return nil
	}
}

func many(i int) string { return fmt.Sprintf("req-%d", 100000+i) }

func (s *script) job(a args) *wire.Job {
	kinds := map[string]string{"array": wire.KindArray, "gang": wire.KindGang, "service": wire.KindService}
	priorities := map[string]string{"low": "best_effort", "normal": "normal", "high": "urgent", "production": "prod"}
	j := &wire.Job{ID: a.word(0), Class: "c", Team: "core", Kind: kinds[a.word(1)], Priority: "normal",
		Tasks: int(a.num("tasks", 1)), CPUs: a.num("cpus", 2), GPUs: a.num("gpus", 0), MemoryGB: a.num("mem", 2), Image: "img", ImageGB: 1,
		Estimate: a.num("run", 10), Checkpoint: a.num("checkpoint", 0), Save: a.num("save", 0),
		Zone: a.pairs["zone"], OneZone: a.has("together"), Spread: a.has("spread"), Spot: a.has("spot")}
	if t := a.pairs["team"]; t != "" {
		j.Team = t
	}
	if c := a.pairs["class"]; c != "" {
		j.Class = c
	}
	if i := a.pairs["image"]; i != "" {
		j.Image = i
	}
	if n := a.pairs["awaits"]; n != "" {
		j.Awaits = strings.Split(n, ",")
	}
	for i := range int(a.num("awaits-many", 0)) {
		j.Awaits = append(j.Awaits, many(i))
	}
	if _, ok := a.pairs["deadline"]; ok {
		d := a.num("deadline", 0)
		j.Deadline = &d
	}
	if p := a.pairs["priority"]; p != "" {
		j.Priority = priorities[p]
	}
	if j.Kind == "" || j.Priority == "" {
		panic("submit: kind or priority of " + j.ID)
	}
	return j
}

// expectation is judged at the end, or at the time given by "at".
func (s *script) expectation(a args) func() {
	w := s.w
	check := func() error {
		switch a.word(0) {
		case "machines":
			if n := len(w.Cloud.Machines); n > int(a.num("max", 1e9)) || n < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: %d machines", w.now.Seconds(), n)
			}
			return nil
		case "over":
			if a.word(1) != "all" {
				return s.over(a.word(1))()
			}
			for _, id := range sortedKeys(w.Users) {
				if err := s.over(id)(); err != nil {
					return err
				}
			}
			return nil
		case "accepted": // of all users, in time
			most, n := Micros(0), 0
			for _, id := range sortedKeys(w.Users) {
				if u := w.Users[id]; !u.accepted {
					return fmt.Errorf("t=%v: %s is not accepted (answer %d)", w.now.Seconds(), id, u.code)
				} else if since := w.Rules.jobs[id].since - u.first; since > most {
					most = since
				}
				n += w.Users[id].refused
			}
			if most.Seconds() > a.num("within", 60) || n > int(a.num("refused", 1e9)) || n < int(a.num("min-refused", 0)) {
				return fmt.Errorf("t=%v: accepted after up to %v s, %d refusals", w.now.Seconds(), most.Seconds(), n)
			}
			return nil
		case "overload": // as the leader has it
			if l := w.Leader(); l == nil || !l.Up() || !l.core.Admission().Over {
				return fmt.Errorf("t=%v: no overload", w.now.Seconds())
			}
			return nil
		case "known-refused": // of jobs that were accepted
			if w.KnownRefused > 0 {
				return fmt.Errorf("t=%v: %d accepted jobs were refused", w.now.Seconds(), w.KnownRefused)
			}
			return nil
		case "answers": // to submissions, of any kind
			list := slices.Sorted(slices.Values(w.Answers))
			if at := list[len(list)*99/100]; at.Seconds() > a.num("p99", 0.2) {
				return fmt.Errorf("t=%v: p99 of %d answers %v s", w.now.Seconds(), len(list), at.Seconds())
			}
			return nil
		case "value": // the largest value that was asked for
			if w.State.Largest > int(a.num("max", 1e9)) || w.State.Largest < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: a value of %d bytes", w.now.Seconds(), w.State.Largest)
			}
			return nil
		case "requests": // to the state service, in its busiest second
			if w.State.Busiest > int(a.num("max", 0)) || w.State.Busiest < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: %d requests in a second", w.now.Seconds(), w.State.Busiest)
			}
			return nil
		case "term":
			if n := w.State.term(); n < int(a.num("min", 0)) || n > int(a.num("max", 1e9)) {
				return fmt.Errorf("t=%v: term %d", w.now.Seconds(), n)
			}
			return nil
		case "relayed": // reports, or with the word orders these
			n := w.Relayed
			if a.has("orders") {
				n = w.RelayedOrders
			}
			if n < int(a.num("min", 0)) || n > int(a.num("max", 1e9)) {
				return fmt.Errorf("t=%v: %d relayed", w.now.Seconds(), n)
			}
			return nil
		case "carried": // workers by a controller, as the leader has it
			n := w.Leader().core.Relays().Carried[a.word(1)]
			if n < int(a.num("min", 0)) || n > int(a.num("max", 1e9)) {
				return fmt.Errorf("t=%v: %s carries %d", w.now.Seconds(), a.word(1), n)
			}
			return nil
		case "leases-lost":
			if w.LeasesLost > int(a.num("max", 0)) {
				return fmt.Errorf("t=%v: %d leases lost", w.now.Seconds(), w.LeasesLost)
			}
			return nil
		case "looks": // that were answered
			if w.Looked < int(a.num("min", 1)) {
				return fmt.Errorf("t=%v: %d close looks", w.now.Seconds(), w.Looked)
			}
			return nil
		case "kept-copies": // that came to a new leader
			if w.Copied < int(a.num("min", 1)) {
				return fmt.Errorf("t=%v: %d reports came to a new leader", w.now.Seconds(), w.Copied)
			}
			return nil
		case "late-txns": // that were carried out late, with no answer
			if w.State.Delayed < int(a.num("min", 1)) {
				return fmt.Errorf("t=%v: %d late transactions", w.now.Seconds(), w.State.Delayed)
			}
			return nil
		case "starts": // of tasks, on the whole day
			if n := w.Rules.started; n > int(a.num("max", 1e9)) || n < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: %d starts", w.now.Seconds(), w.Rules.started)
			}
			return nil
		case "stale-lost": // tasks that a return took along whose caller leads no more
			if n := w.Cloud.StaleLost; n > int(a.num("max", 0)) {
				return fmt.Errorf("t=%v: %d tasks went with stale returns", w.now.Seconds(), n)
			}
			return nil
		case "late-returns": // that were carried out
			if w.Cloud.LateReturns < int(a.num("min", 1)) {
				return fmt.Errorf("t=%v: %d late returns", w.now.Seconds(), w.Cloud.LateReturns)
			}
			return nil
		case "rented": // machines, on the whole day
			if n := w.Cloud.count; n > int(a.num("max", 1e9)) || n < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: %d machines were rented", w.now.Seconds(), n)
			}
			return nil
		case "intents": // that stand
			n := 0
			for key := range w.State.items {
				if strings.HasPrefix(key, "i/") {
					n++
				}
			}
			if n > int(a.num("max", 0)) {
				return fmt.Errorf("t=%v: %d intents stand", w.now.Seconds(), n)
			}
			return nil
		case "refused-txns":
			if w.State.Refused > int(a.num("max", 0)) || w.State.Refused < int(a.num("min", 0)) {
				return fmt.Errorf("t=%v: %d transactions refused", w.now.Seconds(), w.State.Refused)
			}
			return nil
		case "running":
			n := 0
			for task, on := range w.Rules.on {
				if strings.HasPrefix(task, a.word(1)+"/") {
					n += len(on)
				}
			}
			if least := int(a.num("min", 0)); n < least || least == 0 && n != int(a.num("tasks", 0)) {
				return fmt.Errorf("t=%v: %s has %d tasks on machines, not %v", w.now.Seconds(), a.word(1), n, max(a.num("tasks", 0), float64(least)))
			}
			return nil
		}
		u := w.Users[a.word(0)]
		if u == nil {
			return fmt.Errorf("nobody submitted %s", a.word(0))
		}
		want := map[string]string{"done": wire.PhaseDone, "cancelled": wire.PhaseCancelled, "running": wire.PhaseRunning, "queued": wire.PhaseQueued}[a.word(1)]
		if a.word(1) == "refused" && u.code == 422 || a.word(1) == "malformed" && u.code == 400 {
			return nil
		}
		if u.Last != want {
			return fmt.Errorf("t=%v: %s is %q, not %q (answer %d)", w.now.Seconds(), a.word(0), u.Last, a.word(1), u.code)
		}
		return nil
	}
	return func() {
		if w.now > 0 {
			if err := check(); err != nil {
				s.expect = append(s.expect, func() error { return err })
			}
			return
		}
		s.expect = append(s.expect, check)
	}
}
