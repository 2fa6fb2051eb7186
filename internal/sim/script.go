package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lilacthread/internal/config"
	"lilacthread/wire"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// script is a scenario being played. A line is a verb with words and key=value
// pairs; "at T verb ..." does it at second T of virtual time, "expect" lines
// are judged at the end, "run T" says when that is. '#' begins a comment.
type script struct {
	w           *World
	endTime     Micros
	checks      []func() error
	currentLine int // the line being done
}

type args struct {
	words []string
	pairs map[string]string
}

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

func (a args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

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

// span is a time given in seconds.
func (a args) duration(key string, defaultValue float64) Micros {
	return Micros(a.number(key, defaultValue) * 1e6)
}

// mode is how a link is to be cut.
func (a args) cutMode() Cut {
	if a.hasFlag("hold") {
		return Hold
	}
	return Drop
}

func (a args) hasFlag(flag string) bool { return slices.Contains(a.words, flag) }

// Play runs a scenario and returns what went wrong.
func Play(text string) (err error) {
	s := &script{endTime: 300 * second}
	defer func() {
		if r := recover(); r != nil {
			if message, ok := r.(string); ok { // a mistake in the scenario
				err = fmt.Errorf("line %d: %s", s.currentLine, message)
				return
			}
			panic(r)
		}
	}()
	s.w = NewWorld(3, []string{"a", "b"}, 7)
	for index, line := range strings.Split(text, "\n") {
		s.readLine(index+1, line)
	}
	return s.run()
}

// read takes in one line: what it says is done now, or at its time.
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
			panic("at: " + fields[1] + " is no time")
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
		s.w.At(at, run)
	} else {
		run()
	}
}

// run plays the scenario that was read, and judges it.
func (s *script) run() error {
	if len(s.w.Config.Params.Teams) == 0 {
		s.addTeam("core", 0, 0)
	}
	for _, node := range s.w.Nodes {
		node.Start()
	}
	var checkPeriodically func()
	checkPeriodically = func() {
		s.w.Rules.CheckOverdue(s.w.now)
		s.w.Cloud.checkRentedRecorded()
		if s.w.now%(5*second) == 0 {
			s.w.checkLeftWaiting()
		}
		s.w.After(second, checkPeriodically)
	}
	checkPeriodically()
	s.w.Run(s.endTime)
	s.w.Rules.CheckFinal()
	s.w.State.checkOrphanedKeys()
	if len(s.w.Rules.Violations) > 0 {
		return fmt.Errorf("rules broken: %s", strings.Join(s.w.Rules.Violations, "; "))
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) addTeam(name string, guarantee, limit float64) {
	s.w.Config.Params.Teams = append(s.w.Config.Params.Teams, config.Team{Name: name, CPUs: guarantee, CPUsMax: limit})
	s.w.Rules.TeamLimits[name] = limit
}

func (s *script) node(name string) *Node {
	if name == "leader" {
		if leader := s.w.Leader(); leader != nil {
			return leader
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
			machine := s.w.Cloud.Machines[id]
			for _, task := range machine.tasks {
				if strings.HasPrefix(task.task, job+"/") && task.state != wire.TaskExited {
					return machine
				}
			}
		}
		panic("no machine runs " + job)
	}
	if machine := s.w.Cloud.Machines[a.pairs["machine"]]; machine != nil {
		return machine
	}
	panic("no machine " + a.pairs["machine"])
}

func (s *script) hosts(selector string) []string {
	switch selector {
	case "state", "cloud", "users":
		return []string{selector}
	case "workers":
		return sortedKeys(s.w.Cloud.Machines)
	case "peers", "followers":
		var names []string
		for _, n := range s.w.Nodes {
			if selector == "peers" || n != s.w.Leader() {
				names = append(names, n.name)
			}
		}
		return names
	}
	return []string{s.node(selector).name}
}

// troubles are the verbs that make something go wrong, for a while or at once.
var faultVerbs = map[string]bool{"kill": true, "freeze": true, "twin": true, "slow": true, "throttle": true, "cut": true, "isolate": true, "apart": true,
	"refuse": true, "outage": true, "late-txn": true, "late-writes": true, "lost-answer": true, "late-order": true, "slow-reports": true,
	"slow-links": true, "zone-cut": true,
	"late-rent": true, "late-return": true, "no-boot": true, "hang": true, "deaf": true, "mute": true, "dead": true, "copies": true, "reborn": true, "sick": true,
	"notice": true, "take": true, "wave": true, "upgrade": true}

// verb gives what a line does, and tells the checker until when its trouble lasts.
func (s *script) compile(verb string, a args) func() {
	action := s.action(verb, a)
	if action == nil || !faultVerbs[verb] {
		return action
	}
	return func() {
		action()
		s.w.Rules.ExtendFaultWindow(s.w.now + Micros((a.number("for", 20)+a.number("by", 0)+a.number("in", 0))*1e6))
	}
}

// actions are the verbs of scenarios. A function reads a line's words and gives what is done
// at its time.
var verbs map[string]func(*script, args) func()

func init() { // some actions look others up
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

// action gives what a line does; nil for a verb that there is not.
func (s *script) action(verb string, a args) func() {
	bind := verbs[verb]
	if bind == nil {
		return nil
	}
	return bind(s, a)
}

// line does a verb at an instant, if there is then a leader or machine to do it to.
func (s *script) tryAt(at Micros, a args) {
	action := s.compile(a.words[0], args{words: a.words[1:], pairs: a.pairs})
	s.w.At(at, func() {
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

// over expects a job to be done or, if its user wished so, cancelled.
func (s *script) checkFinished(id string) func() error {
	return func() error {
		user := s.w.Users[id]
		if user != nil && user.lastCode == 422 && user.job.DependsOn != nil {
			return nil // the job that it awaits was not accepted in time
		}
		if user == nil || user.LastPhase != wire.PhaseDone && (user.LastPhase != wire.PhaseCancelled || !s.w.Rules.cancelAllowed(s.w.Rules.jobs[id])) {
			return fmt.Errorf("%s is not over", id)
		}
		return nil
	}
}

func manyJobID(index int) string { return fmt.Sprintf("req-%d", 100000+index) }

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
		panic("submit: kind or priority of " + job.ID)
	}
	return job
}
