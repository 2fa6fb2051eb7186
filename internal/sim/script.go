package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lilacthread/internal/config"
	"lilacthread/wire"
)

// formatUint formats an unsigned integer in base 10.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// script reads and runs a scenario. Each line holds a verb with words and key=value pairs.
// "at T verb ..." runs the verb at second T of virtual time; other verbs run when the line is
// read. An "expect" line without "at" is checked at the end of the run, which "run T" sets.
// '#' begins a comment.
type script struct {
	world       *World
	endTime     Micros
	checks      []func() error // run at the end; the first error fails the scenario
	currentLine int            // number of the line that is being read or run
}

// args holds the arguments of a verb: its words, in order, and its key=value pairs.
type args struct {
	words []string
	pairs map[string]string
}

// parseArgs sorts the fields of a line into words and key=value pairs.
func parseArgs(fields []string) args {
	a := args{pairs: map[string]string{}}
	for _, field := range fields {
		if key, value, ok := strings.Cut(field, "="); ok {
			a.pairs[key] = value
		} else {
			a.words = append(a.words, field)
		}
	}
	return a
}

// word returns the word at index i, or "" if there are fewer words.
func (a args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

// number returns the value of key as a number, or defaultValue without such a pair.
func (a args) number(key string, defaultValue float64) float64 {
	text, ok := a.pairs[key]
	if !ok {
		return defaultValue
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s: not a number", key, text))
	}
	return value
}

// duration returns the value of key, which is given in seconds.
func (a args) duration(key string, defaultValue float64) Micros {
	return Micros(a.number(key, defaultValue) * 1e6)
}

// unlimited is the maximum of a range without the key "max" whose values have no limit.
const unlimited = 1_000_000_000

// outsideRange reports whether the value is below the value of the key "min", by default 0, or above
// that of "max".
func (a args) outsideRange(value, defaultMax int) bool {
	return value < int(a.number("min", 0)) || value > int(a.number("max", float64(defaultMax)))
}

// cutMode returns how a link is cut: CutHold with the flag hold, otherwise CutDrop.
func (a args) cutMode() Cut {
	if a.hasFlag("hold") {
		return CutHold
	}
	return CutDrop
}

// hasFlag reports whether flag is one of the words.
func (a args) hasFlag(flag string) bool { return slices.Contains(a.words, flag) }

// RunScenario runs a scenario. It returns an error for an invalid line, a violated rule of the
// Checker or a failed expectation.
func RunScenario(text string) (err error) {
	s := &script{endTime: 300 * second}
	defer func() {
		if r := recover(); r != nil {
			if message, ok := r.(string); ok { // an invalid line of the scenario
				err = fmt.Errorf("line %d: %s", s.currentLine, message)
				return
			}
			panic(r)
		}
	}()
	s.world = NewWorld(3, []string{"a", "b"}, 7)
	for index, line := range strings.Split(text, "\n") {
		s.readLine(index+1, line)
	}
	return s.run()
}

// readLine parses one line and runs its verb now or, after "at", schedules it.
func (s *script) readLine(lineNumber int, line string) {
	line, _, _ = strings.Cut(line, "#")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return
	}
	at := Micros(0)
	s.currentLine = lineNumber
	if fields[0] == "at" {
		if len(fields) < 3 {
			panic("at: a time and a verb are needed")
		}
		seconds, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			panic("at: " + fields[1] + " is not a time")
		}
		at, fields = Micros(seconds*1e6), fields[2:]
	}
	action := s.compile(fields[0], parseArgs(fields[1:]))
	if action == nil {
		panic("unknown verb " + fields[0])
	}
	run := func() {
		s.currentLine = lineNumber
		action()
	}
	if at > 0 {
		s.world.At(at, run)
	} else {
		run()
	}
}

// run starts the controllers, runs the scenario that was read until its end, and checks the
// rules and the expectations.
func (s *script) run() error {
	if len(s.world.Config.Params.Teams) == 0 {
		s.addTeam("core", 0, 0)
	}
	for _, node := range s.world.Nodes {
		node.Start()
	}
	var checkPeriodically func()
	checkPeriodically = func() {
		s.world.Checker.CheckOverdue(s.world.now)
		s.world.Cloud.checkRentedRecorded()
		if s.world.now%(5*second) == 0 {
			s.world.checkLeftWaiting()
		}
		s.world.After(second, checkPeriodically)
	}
	checkPeriodically()
	s.world.Run(s.endTime)
	s.world.Checker.CheckFinal()
	s.world.State.checkOrphanedKeys()
	if len(s.world.Checker.Violations) > 0 {
		return fmt.Errorf("rules broken: %s", strings.Join(s.world.Checker.Violations, "; "))
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// addTeam adds a team with its guaranteed and its greatest number of CPUs; limit 0 means no
// limit.
func (s *script) addTeam(name string, guarantee, limit float64) {
	s.world.Config.Params.Teams = append(s.world.Config.Params.Teams, config.Team{Name: name, CPUs: guarantee, CPUsMax: limit})
	s.world.Checker.TeamLimits[name] = limit
}

// node finds a controller by its name, or as the current leader, or as the first running
// follower.
func (s *script) node(name string) *Node {
	if name == "leader" {
		if leader := s.world.Leader(); leader != nil {
			return leader
		}
		panic("there is no leader")
	}
	if name == "follower" {
		for _, n := range s.world.Nodes {
			if n != s.world.Leader() && n.Up() {
				return n
			}
		}
	}
	if n := s.world.node(name); n != nil {
		return n
	}
	panic("no node " + name)
}

// worker finds a machine by machine=ID, or with of=JOB the first that has an unfinished task of
// the job.
func (s *script) worker(a args) *Worker {
	if job := a.pairs["of"]; job != "" {
		for _, id := range sortedKeys(s.world.Cloud.Machines) {
			machine := s.world.Cloud.Machines[id]
			for _, task := range machine.tasks {
				if strings.HasPrefix(task.task, job+"/") && task.state != wire.TaskExited {
					return machine
				}
			}
		}
		panic("no machine runs job " + job)
	}
	if machine := s.world.Cloud.Machines[a.pairs["machine"]]; machine != nil {
		return machine
	}
	panic("no machine " + a.pairs["machine"])
}

// hosts lists the hosts that a word selects: the state service, the cloud, the users, all
// workers, all controllers ("peers"), all followers, or one controller.
func (s *script) hosts(selector string) []string {
	switch selector {
	case "state", "cloud", "users":
		return []string{selector}
	case "workers":
		return sortedKeys(s.world.Cloud.Machines)
	case "peers", "followers":
		var names []string
		for _, n := range s.world.Nodes {
			if selector == "peers" || n != s.world.Leader() {
				names = append(names, n.name)
			}
		}
		return names
	}
	return []string{s.node(selector).name}
}

// faultVerbs are the verbs that inject a fault, at one instant or for some time.
var faultVerbs = map[string]bool{"kill": true, "freeze": true, "twin": true, "slow": true, "throttle": true, "cut": true, "isolate": true, "apart": true,
	"refuse": true, "outage": true, "late-txn": true, "late-writes": true, "lost-answer": true, "late-order": true, "slow-reports": true,
	"slow-links": true, "zone-cut": true,
	"late-rent": true, "late-return": true, "no-boot": true, "hang": true, "deaf": true, "mute": true, "dead": true, "copies": true, "reborn": true, "sick": true,
	"notice": true, "take": true, "wave": true, "upgrade": true}

// compile returns the action of a line. The action of a fault also extends the
// checker's fault window to the end of the fault.
func (s *script) compile(verb string, a args) func() {
	action := s.action(verb, a)
	if action == nil || !faultVerbs[verb] {
		return action
	}
	return func() {
		action()
		s.world.Checker.ExtendFaultWindow(s.world.now + Micros((a.number("for", 20)+a.number("by", 0)+a.number("in", 0))*1e6))
	}
}

// verbs maps each verb to a function that checks the arguments of a line and returns the action
// that runs at its time.
var verbs map[string]func(*script, args) func()

func init() { // set here because some verbs compile others, which would be an initialization cycle
	verbs = map[string]func(*script, args) func(){
		"run":            (*script).doRun,
		"team":           (*script).doTeam,
		"type":           (*script).doType,
		"capacity":       (*script).doCapacity,
		"settings":       (*script).doSettings,
		"limits":         (*script).doLimits,
		"workers":        (*script).doWorkers,
		"strict":         (*script).doStrict,
		"old":            (*script).doOld,
		"relay":          (*script).doRelay,
		"report-changes": (*script).doReportChanges,
		"admission":      (*script).doAdmission,
		"objective":      (*script).doObjective,
		"fair":           (*script).doFair,
		"impatient":      (*script).doImpatient,
		"chaos":          (*script).doChaos,
		"expect":         (*script).doExpect,
		"repeat":         (*script).doRepeat,
		"submit":         (*script).doSubmit,
		"many":           (*script).doMany,
		"burst":          (*script).doBurst,
		"pipeline":       (*script).doPipeline,
		"resubmit":       (*script).doResubmit,
		"poll":           (*script).doPoll,
		"cancel":         (*script).doCancel,
		"close-looks":    (*script).doCloseLooks,
		"kill":           (*script).doKill,
		"freeze":         (*script).doFreeze,
		"twin":           (*script).doTwin,
		"upgrade":        (*script).doUpgrade,
		"refuse":         (*script).doRefuse,
		"sockets":        (*script).doSockets,
		"slow":           (*script).doSlow,
		"throttle":       (*script).doThrottle,
		"outage":         (*script).doOutage,
		"late-txn":       (*script).doLateTxn,
		"late-writes":    (*script).doLateWrites,
		"lost-answer":    (*script).doLostAnswer,
		"late-order":     (*script).doLateOrder,
		"late-return":    (*script).doLateReturn,
		"late-rent":      (*script).doLateRent,
		"cut":            (*script).doCut,
		"zone-cut":       (*script).doZoneCut,
		"slow-links":     (*script).doSlowLinks,
		"isolate":        (*script).doIsolate,
		"apart":          (*script).doApart,
		"slow-reports":   (*script).doSlowReports,
		"deaf":           (*script).doDeaf,
		"mute":           (*script).doMute,
		"copies":         (*script).doCopies,
		"copy-orders":    (*script).doCopyOrders,
		"copy-txns":      (*script).doCopyTxns,
		"no-boot":        (*script).doNoBoot,
		"hang":           (*script).doHang,
		"dead":           (*script).doDead,
		"reborn":         (*script).doReborn,
		"sick":           (*script).doSick,
		"notice":         (*script).doNotice,
		"take":           (*script).doTake,
		"wave":           (*script).doWave,
	}
}

// action returns the action of a line, or nil if the verb does not exist.
func (s *script) action(verb string, a args) func() {
	bind := verbs[verb]
	if bind == nil {
		return nil
	}
	return bind(s, a)
}

// tryAt schedules a verb. Its action is skipped if the object that it needs, such as a leader or a
// machine, does not exist at that time.
func (s *script) tryAt(at Micros, a args) {
	action := s.compile(a.words[0], args{words: a.words[1:], pairs: a.pairs})
	s.world.At(at, func() {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(string); !ok {
					panic(r)
				}
			}
		}()
		action()
	})
}

// checkFinished returns a check that a job is done or, if a user asked to cancel it or a job that
// it awaits, cancelled.
func (s *script) checkFinished(id string) func() error {
	return func() error {
		user := s.world.Users[id]
		if user != nil && user.lastCode == 422 && user.job.DependsOn != nil {
			return nil // refused, since a job that it awaits had not been accepted yet
		}
		if user == nil || user.LastPhase != wire.PhaseDone && (user.LastPhase != wire.PhaseCancelled || !s.world.Checker.cancelAllowed(s.world.Checker.jobs[id])) {
			return fmt.Errorf("job %s is neither done nor cancelled on request", id)
		}
		return nil
	}
}

// manyJobID returns the ID of the job with this index that the verb many submits.
func manyJobID(index int) string { return fmt.Sprintf("req-%d", 100000+index) }

// parseJob builds a job from the arguments "ID KIND key=value ...".
func (s *script) parseJob(a args) *wire.Job {
	kinds := map[string]string{"array": wire.KindArray, "gang": wire.KindGang, "service": wire.KindService}
	priorities := map[string]string{"low": "best_effort", "normal": "normal", "high": "urgent", "production": "prod"}
	job := &wire.Job{ID: a.word(0), Class: "c", Team: "core", Kind: kinds[a.word(1)], Priority: "normal",
		Tasks: int(a.number("tasks", 1)), CPUs: a.number("cpus", 2), GPUs: a.number("gpus", 0), MemoryGB: a.number("mem", 2), Image: "img", ImageGB: 1,
		Estimate: a.number("run", 10), CheckpointInterval: a.number("checkpoint", 0), SaveDuration: a.number("save", 0),
		Zone: a.pairs["zone"], OneZone: a.hasFlag("together"), Spread: a.hasFlag("spread"), Spot: a.hasFlag("spot")}
	if t := a.pairs["team"]; t != "" {
		job.Team = t
	}
	if c := a.pairs["class"]; c != "" {
		job.Class = c
	}
	if i := a.pairs["image"]; i != "" {
		job.Image = i
	}
	if n := a.pairs["awaits"]; n != "" {
		job.DependsOn = strings.Split(n, ",")
	}
	for i := range int(a.number("awaits-many", 0)) {
		job.DependsOn = append(job.DependsOn, manyJobID(i))
	}
	if _, ok := a.pairs["deadline"]; ok {
		d := a.number("deadline", 0)
		job.Deadline = &d
	}
	if p := a.pairs["priority"]; p != "" {
		job.Priority = priorities[p]
	}
	if job.Kind == "" || job.Priority == "" {
		panic("submit: unknown kind or priority of " + job.ID)
	}
	return job
}
