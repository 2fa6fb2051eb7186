package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"lilacthread/internal/config"
	"lilacthread/internal/policy"
	"lilacthread/wire"
)

// This file holds the verbs that set up a scenario.

// doRun sets the time at which the run ends.
func (s *script) doRun(a args) func() {
	seconds, err := strconv.ParseFloat(a.word(0), 64)
	if err != nil {
		panic("run: not a time: " + a.word(0))
	}
	return func() { s.endTime = Micros(seconds * 1e6) }
}

// doTeam adds a team with its guaranteed (cpus) and its greatest (max) number of CPUs.
func (s *script) doTeam(a args) func() {
	return func() { s.addTeam(a.word(0), a.number("cpus", 0), a.number("max", 0)) }
}

// doType adds a machine type to the cloud's catalog.
func (s *script) doType(a args) func() {
	w := s.world
	return func() {
		zones := []string{"a"}
		if list := a.pairs["zones"]; list != "" {
			zones = strings.Split(list, ",")
		}
		w.Cloud.Types = append(w.Cloud.Types, wire.MachineType{Name: a.word(0), CPUs: a.number("cpus", 8), GPUs: a.number("gpus", 0),
			MemoryGB: a.number("mem", 32), CacheGB: 50, FetchRate: a.number("fetch", 1), Price: a.number("price", 1),
			SpotPrice: a.number("spot", 0.3), BootTime: a.number("boot", 10), Zones: zones})
	}
}

// doCapacity limits the number of machines of a kind (TYPE/ZONE or TYPE/ZONE/spot) that the cloud
// still has.
func (s *script) doCapacity(a args) func() {
	w := s.world
	return func() { w.Cloud.Capacity[a.word(0)] = int(a.number("count", 0)) }
}

// doAdmission enables admission control, with the pairs as further settings of the policy.
func (s *script) doAdmission(a args) func() {
	w := s.world
	return func() {
		program := "admission = True\n"
		for _, key := range sortedKeys(a.pairs) {
			program += key + " = " + a.pairs[key] + "\n"
		}
		parsed, err := policy.Parse(policy.Program{Name: "admission", Text: program})
		if err != nil {
			panic(err.Error())
		}
		w.policy = parsed
	}
}

// doRelay enables relaying: controllers that do not lead hold workers' connections for the leader,
// once it has at least as many workers as the key "workers" says.
func (s *script) doRelay(a args) func() {
	w := s.world
	return func() {
		withRelay := *w.policy
		withRelay.Relay = policy.Relay{Enabled: true, MinWorkers: int(a.number("workers", 1))}
		w.policy = &withRelay
	}
}

// doReportChanges makes workers report changes at once; see World.ReportChanges.
func (s *script) doReportChanges(a args) func() {
	w := s.world
	return func() { w.ReportChanges = true }
}

// doObjective adds an objective for a class of jobs, with its time window in seconds.
func (s *script) doObjective(a args) func() {
	w := s.world
	return func() {
		w.Config.Params.Objectives = append(w.Config.Params.Objectives, config.Objective{Kind: a.word(0), Class: a.word(1), Within: a.number("within", 60)})
		w.Checker.LongestObjective[a.word(1)] = max(w.Checker.LongestObjective[a.word(1)], a.duration("within", 60))
	}
}

// doFair makes the starvation of a class or team a rule violation.
func (s *script) doFair(a args) func() {
	w := s.world
	return func() { w.Checker.CheckStarvation = true }
}

// doImpatient makes users retry after a fixed time instead of the Retry-After of the answer.
func (s *script) doImpatient(a args) func() {
	w := s.world
	return func() { w.RetryInterval = a.duration("after", 0.2) }
}

// doRepeat schedules a verb several times at a fixed interval; see tryAt.
func (s *script) doRepeat(a args) func() {
	w := s.world
	return func() {
		at, repeated := w.now, args{words: a.words, pairs: maps.Clone(a.pairs)}
		delete(repeated.pairs, "count")
		for range int(a.number("count", 1)) {
			s.tryAt(at, repeated)
			at += a.duration("every", 1)
		}
	}
}

// doSettings announces the next limits of the state service in the settings.
func (s *script) doSettings(a args) func() {
	w := s.world
	return func() {
		next := fmt.Sprintf(`{"next":{"value_kb":%v,"txn_ops":%v,"write_rps":%v}}`, a.number("value", 2), a.number("ops", 8), a.number("rate", 42))
		if err := json.Unmarshal([]byte(next), &w.Config.Params.State); err != nil {
			panic(err.Error())
		}
	}
}

// doLimits makes the state service enforce the next limits.
func (s *script) doLimits(a args) func() {
	w := s.world
	return func() { w.State.NextLimitsInForce = true }
}

// doWorkers sets the workers' report interval, lease duration and cancel timeout, in seconds.
func (s *script) doWorkers(a args) func() {
	w := s.world
	return func() {
		params := &w.Config.Params.Workers
		params.Report, params.Lease, params.Cancel = a.number("report", 1), a.number("lease", 10), a.number("cancel", params.Cancel)
	}
}

// doStrict enables the check of cancellation cascades; see World.CheckCancelCascade.
func (s *script) doStrict(a args) func() {
	w := s.world
	return func() { w.CheckCancelCascade = true }
}

// doOld makes controllers start with the old version, which is in production.
func (s *script) doOld(a args) func() {
	w := s.world
	return func() {
		for _, word := range a.words {
			if word == "all" {
				for _, node := range w.Nodes {
					node.oldVersion = true
				}
			} else {
				s.node(word).oldVersion = true
			}
		}
	}
}

// doChaos schedules random jobs and faults; see chaosPlan.
func (s *script) doChaos(a args) func() {
	return func() {
		plan := chaosPlan{script: s, from: a.duration("from", 20), to: a.duration("to", 200), every: a.duration("every", 8), dependenciesFrom: a.duration("pipelines", 1e9),
			jobScale: int(a.number("size", 1)), extraFaults: int(a.number("more", 0)), pairedFaults: a.hasFlag("pairs")}
		plan.schedule(uint64(a.number("seed", 1)))
	}
}

// doExpect adds an expectation; see expectation.
func (s *script) doExpect(a args) func() {
	return s.expectation(a)
}
