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

// What a scenario is made of.

// doRun: how long the scenario is played.
func (s *script) doRun(a args) func() {
	t, err := strconv.ParseFloat(a.word(0), 64)
	if err != nil {
		panic("run: " + a.word(0))
	}
	return func() { s.until = Micros(t * 1e6) }
}

// doTeam: a team and its limits.
func (s *script) doTeam(a args) func() {
	return func() { s.team(a.word(0), a.num("cpus", 0), a.num("max", 0)) }
}

// doType: a machine type.
func (s *script) doType(a args) func() {
	w := s.w
	return func() {
		zones := []string{"a"}
		if z := a.pairs["zones"]; z != "" {
			zones = strings.Split(z, ",")
		}
		w.Cloud.Types = append(w.Cloud.Types, wire.MachineType{Name: a.word(0), CPUs: a.num("cpus", 8), GPUs: a.num("gpus", 0),
			MemoryGB: a.num("mem", 32), CacheGB: 50, FetchRate: a.num("fetch", 1), Price: a.num("price", 1),
			SpotPrice: a.num("spot", 0.3), Boot: a.num("boot", 10), Zones: zones})
	}
}

// doCapacity: how many machines of a kind the cloud has.
func (s *script) doCapacity(a args) func() {
	w := s.w
	return func() { w.Cloud.Capacity[a.word(0)] = int(a.num("count", 0)) }
}

// doAdmission: on, with the policy's names.
func (s *script) doAdmission(a args) func() {
	w := s.w
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
}

// doRelay: controllers that do not lead carry workers' connections.
func (s *script) doRelay(a args) func() {
	w := s.w
	return func() {
		pol := *w.pol
		pol.Relay = policy.Relay{On: true, Workers: int(a.num("workers", 1))}
		w.pol = &pol
	}
}

// doReportChanges: workers report changes at once.
func (s *script) doReportChanges(a args) func() {
	w := s.w
	return func() { w.ReportChanges = true }
}

// doObjective: objective.
func (s *script) doObjective(a args) func() {
	w := s.w
	return func() {
		w.Config.Params.Objectives = append(w.Config.Params.Objectives, config.Objective{Kind: a.word(0), Class: a.word(1), Within: a.num("within", 60)})
		w.Rules.Widest[a.word(1)] = max(w.Rules.Widest[a.word(1)], a.span("within", 60))
	}
}

// doFair: starvation is a rule on this day.
func (s *script) doFair(a args) func() {
	w := s.w
	return func() { w.Rules.Fair = true }
}

// doImpatient: users come back sooner than told.
func (s *script) doImpatient(a args) func() {
	w := s.w
	return func() { w.Impatient = a.span("after", 0.2) }
}

// doRepeat: a verb again and again, where it can be done just then.
func (s *script) doRepeat(a args) func() {
	w := s.w
	return func() {
		at, each := w.now, args{words: a.words, pairs: maps.Clone(a.pairs)}
		delete(each.pairs, "count")
		for range int(a.num("count", 1)) {
			s.line(at, each)
			at += a.span("every", 1)
		}
	}
}

// doSettings: the next limits of the state service.
func (s *script) doSettings(a args) func() {
	w := s.w
	return func() {
		next := fmt.Sprintf(`{"next":{"value_kb":%v,"txn_ops":%v,"write_rps":%v}}`, a.num("value", 2), a.num("ops", 8), a.num("rate", 42))
		if err := json.Unmarshal([]byte(next), &w.Config.Params.State); err != nil {
			panic(err.Error())
		}
	}
}

// doLimits: the next limits are in force.
func (s *script) doLimits(a args) func() {
	w := s.w
	return func() { w.State.Next = true }
}

// doWorkers: the workers' intervals.
func (s *script) doWorkers(a args) func() {
	w := s.w
	return func() {
		p := &w.Config.Params.Workers
		p.Report, p.Lease, p.Cancel = a.num("report", 1), a.num("lease", 10), a.num("cancel", p.Cancel)
	}
}

// doStrict: see World.Strict.
func (s *script) doStrict(a args) func() {
	w := s.w
	return func() { w.Strict = true }
}

// doOld: nodes that run the version in production.
func (s *script) doOld(a args) func() {
	w := s.w
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
}

// doChaos: see chaos.
func (s *script) doChaos(a args) func() {
	return func() {
		day := chaos{s: s, from: a.span("from", 20), to: a.span("to", 200), every: a.span("every", 8), pipelines: a.span("pipelines", 1e9),
			size: int(a.num("size", 1)), more: int(a.num("more", 0)), pairs: a.has("pairs")}
		day.play(uint64(a.num("seed", 1)))
	}
}

// doExpect: see script.expectation.
func (s *script) doExpect(a args) func() {
	return s.expectation(a)
}
