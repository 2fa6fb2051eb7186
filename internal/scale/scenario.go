// Package scale runs a load test of a deployment of up to thousands of workers on one
// machine in real time and measures the CPU time, memory, sockets and I/O of each controller.
// The controllers are real processes. The state service, the cloud and the workers are
// simulated by package sim within the process of the load test, and the workers run no real
// tasks. The package does not test scenarios in virtual time; package sim does.
package scale

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilacthread/internal/config"
	"lilacthread/wire"
)

// Scenario describes a load test. In its text form, which Parse reads, each line gives a phase
// or the settings of the controllers, the workers or the state service. Its JSON form is a part
// of the report.
type Scenario struct {
	Controllers, Workers, Zones, Teams int
	CPUShare, MemoryMB, Sockets        float64 // limits of one controller; CPUShare is in cores
	Report, Lease, Cancel              float64 // of a worker, in seconds: report interval, lease, cancellation limit
	StateRPS, WriteRPS                 float64 // limits of the state service: requests and writes per second
	CPUs, Boot                         float64 // of a machine: CPU count and boot time in seconds
	ServiceCPUs                        float64 // CPUs of the service replica that keeps a machine in use
	Phases                             []Phase
}

// Phase is a part of the run with a constant load. A fault, if any, begins with the phase.
type Phase struct {
	Name                string
	Duration            time.Duration `json:"For"`
	StartRate           float64       `json:"Starts"` // tasks submitted per second, apart from urgent jobs
	TasksPerJob         float64       `json:"Tasks"`
	RunSeconds          float64       `json:"Run"` // run time of a task
	CPUsPerTask         float64       `json:"CPUs"`
	UrgentJobRate       float64       `json:"Urgent"` // urgent jobs per second, of one task each
	Kill                string        // controllers to kill and restart: "", "leader", "follower" or "each", one after the other
	RestartDelaySeconds float64       `json:"Back"` // time from the kill of a controller to its restart
	MachinesLost        float64       `json:"Lose"` // number of machines that crash
	ZoneCutSeconds      float64       `json:"Cut"`  // how long workers of the first zone are partitioned from all controllers
}

// hasFault reports whether the phase injects a fault. The regression excludes such phases.
func (p *Phase) hasFault() bool { return p.Kill != "" || p.MachinesLost > 0 || p.ZoneCutSeconds > 0 }

// parameter is a numeric setting of a scenario with its allowed range.
type parameter struct {
	name     string
	value    *float64
	min, max float64
}

// Parse reads a scenario. An error about one line gives its number and the allowed values.
func Parse(text string) (*Scenario, error) {
	s := &Scenario{}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseLine(words); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	switch {
	case s.Controllers == 0 || s.Workers == 0:
		return nil, fmt.Errorf("both a controllers line and a workers line are required")
	case len(s.Phases) == 0:
		return nil, fmt.Errorf("at least one phase line is required")
	case s.StateRPS == 0:
		return nil, fmt.Errorf("a state line is required")
	}
	return s, nil
}

// parseLine reads the words of one line that is not empty.
func (s *Scenario) parseLine(words []string) error {
	switch words[0] {
	case "controllers":
		count := 0.0
		s.CPUShare, s.MemoryMB, s.Sockets = 0.444, 322, 3666
		err := parseParameters(words[1:], []parameter{{"count", &count, 1, 32}, {"cpu-share", &s.CPUShare, 0.01, 64},
			{"memory-mb", &s.MemoryMB, 32, 65536}, {"sockets", &s.Sockets, 64, 1 << 20}})
		s.Controllers = int(count)
		return err
	case "workers":
		count, zones, teams := 0.0, 1.0, 1.0
		s.Report, s.Lease, s.Cancel, s.CPUs, s.Boot, s.ServiceCPUs = 5, 26.5, 51.5, 16, 2, 10
		err := parseParameters(words[1:], []parameter{{"count", &count, 1, 5000}, {"zones", &zones, 1, 99}, {"teams", &teams, 1, 5000},
			{"report", &s.Report, 0.2, 60}, {"lease", &s.Lease, 2, 600}, {"cancel", &s.Cancel, 4, 1200},
			{"cpus", &s.CPUs, 1, 512}, {"boot", &s.Boot, 0.1, 300}, {"service-cpus", &s.ServiceCPUs, 0.5, 512}})
		s.Workers, s.Zones, s.Teams = int(count), int(zones), int(teams)
		if err == nil && s.ServiceCPUs <= s.CPUs/2 {
			return fmt.Errorf("service-cpus=%v: must be more than half of cpus=%v, so that each machine holds one replica", s.ServiceCPUs, s.CPUs)
		}
		return err
	case "state":
		return parseParameters(words[1:], []parameter{{"rps", &s.StateRPS, 1, 1e6}, {"write-rps", &s.WriteRPS, 1, 1e6}})
	case "phase":
		return s.parsePhase(words[1:])
	}
	return fmt.Errorf("unknown word %q: want one of controllers, workers, state, phase", words[0])
}

// parsePhase reads the words of a phase line that follow the word phase.
func (s *Scenario) parsePhase(words []string) error {
	if len(words) == 0 || strings.Contains(words[0], "=") {
		return fmt.Errorf("phase: name is missing")
	}
	p := Phase{Name: words[0], TasksPerJob: 25, RunSeconds: 8, CPUsPerTask: 1.5, RestartDelaySeconds: 0.1}
	seconds := 0.0
	assignments := slices.DeleteFunc(slices.Clone(words[1:]), func(word string) bool {
		victim, ok := strings.CutPrefix(word, "kill=")
		if ok {
			p.Kill = victim
		}
		return ok
	})
	if !slices.Contains([]string{"", "leader", "follower", "each"}, p.Kill) {
		return fmt.Errorf("kill=%s: want leader, follower or each", p.Kill)
	}
	err := parseParameters(assignments, []parameter{{"for", &seconds, 1, 600}, {"starts", &p.StartRate, 0, 10000}, {"tasks", &p.TasksPerJob, 1, 100000},
		{"run", &p.RunSeconds, 0.5, 600}, {"cpus", &p.CPUsPerTask, 0.01, 512}, {"urgent", &p.UrgentJobRate, 0, 100}, {"back", &p.RestartDelaySeconds, 0, 60},
		{"lose", &p.MachinesLost, 0, 5000}, {"cut", &p.ZoneCutSeconds, 0, 600}})
	if err == nil && seconds == 0 {
		err = fmt.Errorf("phase: for=SECONDS is required")
	}
	p.Duration = time.Duration(seconds * float64(time.Second))
	s.Phases = append(s.Phases, p)
	return err
}

// parseParameters reads words of the form name=number into the listed parameters.
func parseParameters(words []string, parameters []parameter) error {
	for _, word := range words {
		name, text, _ := strings.Cut(word, "=")
		i := slices.IndexFunc(parameters, func(p parameter) bool { return p.name == name })
		if i < 0 {
			var names []string
			for _, p := range parameters {
				names = append(names, p.name)
			}
			return fmt.Errorf("unknown parameter %q: want one of %s", name, strings.Join(names, ", "))
		}
		v, err := strconv.ParseFloat(text, 64)
		if p := parameters[i]; err != nil || !(v >= p.min && v <= p.max) {
			return fmt.Errorf("%s: want a number from %v to %v", word, p.min, p.max)
		}
		*parameters[i].value = v
	}
	return nil
}

// applyTo writes the scenario's settings into the configuration that all controllers share.
func (s *Scenario) applyTo(c *config.Config) {
	c.Params.Zones = nil
	for i := range s.Zones {
		c.Params.Zones = append(c.Params.Zones, fmt.Sprintf("zone-%d", i))
	}
	for i := range s.Teams {
		c.Params.Teams = append(c.Params.Teams, config.Team{Name: teamName(i)})
	}
	c.Params.Objectives = []config.Objective{{Kind: "wait", Class: "urgent", Within: 2.9, Share: 0.99}}
	c.Params.Workers.Report, c.Params.Workers.Lease, c.Params.Workers.Cancel = s.Report, s.Lease, s.Cancel
	c.Params.State.RPS, c.Params.State.WriteRPS, c.Params.State.TxnOps = s.StateRPS, s.WriteRPS, 24
	c.Params.Cloud.RPS, c.Params.Cloud.ListLag = 5, 2
	resources := &c.Params.Resources
	resources.CPUShare, resources.MemoryMB, resources.FDLimit = s.CPUShare, s.MemoryMB, int(s.Sockets)
}

// teamName returns the name of the team with the given index.
func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// machineType returns the only machine type of the simulated cloud.
func (s *Scenario) machineType(zones []string) wire.MachineType {
	return wire.MachineType{Name: "worker", CPUs: s.CPUs, MemoryGB: 4 * s.CPUs, CacheGB: 100, FetchRate: 100, Price: 1, SpotPrice: 0.3,
		BootTime: s.Boot, Zones: zones}
}
