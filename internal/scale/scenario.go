// Package scale plays a deployment of thousands of workers on one machine in real time:
// real controller processes against the stand-ins of package sim, whose hollow workers
// share this process, and measures what each role takes.
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

// Scenario is what a scale run plays, read from a small text file.
type Scenario struct {
	Controllers, Workers, Zones, Teams int
	CPUShare, MemoryMB, Sockets        float64 // of a controller
	Report, Lease, Cancel              float64 // seconds
	StateRPS, WriteRPS                 float64
	CPUs, Boot                         float64 // of a machine; seconds
	ServiceCPUs                        float64 // of the replica that keeps each machine rented
	Phases                             []Phase
}

// Phase is a part of the run with a steady load.
type Phase struct {
	Name                string
	Duration            time.Duration
	StartRate           float64 // of tasks a second
	TasksPerJob         float64 // of a job
	RunSeconds          float64 // of a task, seconds
	CPUsPerTask         float64 // of a task
	UrgentJobRate       float64 // urgent jobs of one task a second
	Kill                string  // "", "leader", "follower" or "each" in turn: killed as the phase begins
	RestartDelaySeconds float64 // and started again after so many seconds
	MachinesLost        float64 // machines that stop as the phase begins
	ZoneCutSeconds      float64 // seconds for which the first zone's workers are cut off
}

// troubled reports whether something fails in the phase, so that it shows no slope.
func (p *Phase) hasFault() bool { return p.Kill != "" || p.MachinesLost > 0 || p.ZoneCutSeconds > 0 }

// setting is a number of a scenario with what is allowed.
type parameter struct {
	name     string
	value    *float64
	min, max float64
}

// Parse reads a scenario; an error names the line and what is allowed.
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
		return nil, fmt.Errorf("a line controllers and a line workers are needed")
	case len(s.Phases) == 0:
		return nil, fmt.Errorf("a line phase is needed")
	case s.StateRPS == 0:
		return nil, fmt.Errorf("a line state is needed")
	}
	return s, nil
}

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
			return fmt.Errorf("service-cpus=%v: more than half of cpus=%v, so that each machine keeps one", s.ServiceCPUs, s.CPUs)
		}
		return err
	case "state":
		return parseParameters(words[1:], []parameter{{"rps", &s.StateRPS, 1, 1e6}, {"write-rps", &s.WriteRPS, 1, 1e6}})
	case "phase":
		return s.parsePhase(words[1:])
	}
	return fmt.Errorf("%s: not one of controllers, workers, state, phase", words[0])
}

func (s *Scenario) parsePhase(words []string) error {
	if len(words) == 0 || strings.Contains(words[0], "=") {
		return fmt.Errorf("phase: a name is needed")
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
		return fmt.Errorf("kill=%s: not leader, follower or each", p.Kill)
	}
	err := parseParameters(assignments, []parameter{{"for", &seconds, 1, 600}, {"starts", &p.StartRate, 0, 10000}, {"tasks", &p.TasksPerJob, 1, 100000},
		{"run", &p.RunSeconds, 0.5, 600}, {"cpus", &p.CPUsPerTask, 0.01, 512}, {"urgent", &p.UrgentJobRate, 0, 100}, {"back", &p.RestartDelaySeconds, 0, 60},
		{"lose", &p.MachinesLost, 0, 5000}, {"cut", &p.ZoneCutSeconds, 0, 600}})
	if err == nil && seconds == 0 {
		err = fmt.Errorf("for=SECONDS is needed")
	}
	p.Duration = time.Duration(seconds * float64(time.Second))
	s.Phases = append(s.Phases, p)
	return err
}

// assign reads words of the form name=number.
func parseParameters(words []string, parameters []parameter) error {
	for _, word := range words {
		name, text, _ := strings.Cut(word, "=")
		i := slices.IndexFunc(parameters, func(s parameter) bool { return s.name == name })
		if i < 0 {
			var names []string
			for _, s := range parameters {
				names = append(names, s.name)
			}
			return fmt.Errorf("%s: not one of %s", name, strings.Join(names, ", "))
		}
		v, err := strconv.ParseFloat(text, 64)
		if s := parameters[i]; err != nil || !(v >= s.min && v <= s.max) {
			return fmt.Errorf("%s: not a number from %v to %v", word, s.min, s.max)
		}
		*parameters[i].value = v
	}
	return nil
}

// apply puts the scenario into the settings of the deployment.
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

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// machineType is what the cloud rents: as many as the scenario has workers.
func (s *Scenario) machineType(zones []string) wire.MachineType {
	return wire.MachineType{Name: "worker", CPUs: s.CPUs, MemoryGB: 4 * s.CPUs, CacheGB: 100, FetchRate: 100, Price: 1, SpotPrice: 0.3,
		BootTime: s.Boot, Zones: zones}
}
