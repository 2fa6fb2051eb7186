package scale

import (
	"math"
	"os"
	"strings"
	"testing"
)

const validHeader = "controllers count=3\nworkers count=30\nstate rps=100 write-rps=50\n"

// TestParse checks that a valid scenario is read and that each invalid one is rejected with
// the number of the faulty line or the name of the missing one.
func TestParse(t *testing.T) {
	s, err := Parse(validHeader + "\n# a comment\nphase p for=5 starts=20 tasks=10 run=1 kill=leader back=2\n")
	if err != nil || s.Controllers != 3 || s.Workers != 30 || len(s.Phases) != 1 || s.Phases[0].Kill != "leader" || s.Phases[0].RestartDelaySeconds != 2 {
		t.Fatalf("%+v, %v", s, err)
	}
	for scenario, want := range map[string]string{
		validHeader + "explode":                  "line 4: unknown word \"explode\": want one of",
		validHeader + "phase":                    "line 4: phase: name is missing",
		validHeader + "phase p":                  "line 4: phase: for=SECONDS is required",
		validHeader + "phase p for=0.5":          "line 4: for=0.5: want a number from 1 to 600",
		validHeader + "phase p for=x":            "line 4: for=x: want a number",
		validHeader + "phase p for=5 kill=all":   "line 4: kill=all: want leader, follower or each",
		validHeader + "phase p for=5 colour=1":   "line 4: unknown parameter \"colour\": want one of for,",
		"workers count=6000":                     "line 1: count=6000: want a number from 1 to 5000",
		"workers count=5 cpus=16 service-cpus=8": "line 1: service-cpus=8: must be more than half",
		"state rps=0":                            "line 1: rps=0",
		"phase p for=5":                          "both a controllers line and a workers line are required",
		validHeader:                              "at least one phase line is required",
	} {
		if _, err := Parse(scenario); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", scenario, err, want)
		}
	}
}

// TestMachineTooSmall checks that a run is rejected if it could need more than half of the
// memory of the machine that runs the test.
func TestMachineTooSmall(t *testing.T) {
	s, err := Parse("controllers count=32 memory-mb=65536\nworkers count=30\nstate rps=1 write-rps=1\nphase p for=1\n")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.checkHost(); err == nil || !strings.Contains(err.Error(), "half of this machine's memory") {
		t.Error(err)
	}
}

// TestFit checks that the regression finds the coefficients from which the CPU usage of the
// leader was computed, that it excludes phases with faults, that the expected usage equals the
// computed one, and that an empty list of reports is an error.
func TestFit(t *testing.T) {
	var reports []*Report
	for _, n := range []int{100, 200, 400} {
		r := &Report{Scenario: &Scenario{Workers: n}}
		for i, rate := range []float64{0, 50, 100, 300} {
			p := Result{ReportRate: float64(n)/5 + rate*float64(1+i%3), StartRate: rate * float64(1+i%2), JobRate: rate / 10, RunningTasks: n + 10*i}
			cores := 1e-6 * (500 + 100*p.ReportRate + 80*p.StartRate + 900*p.JobRate)
			p.Controllers = []PhaseUsage{{Cores: cores, Leads: true, ResidentMB: 20, Sockets: n}, {Cores: cores / 10, ResidentMB: 20, Sockets: n}}
			r.Phases = append(r.Phases, p, Result{HasFault: true, Controllers: []PhaseUsage{{Cores: 9, Leads: true}}})
		}
		reports = append(reports, r)
	}
	fits, err := Fits(reports)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []float64{500, 100, 80, 900} {
		if got := fits[0].Terms[i].Slope; math.Abs(got-want) > 1e-3*want {
			t.Errorf("%s: %v, want %v", fits[0].Terms[i].Regressor, got, want)
		}
	}
	reports[2].SetExpected(fits)
	if c := reports[2].Phases[6].Controllers; math.Abs(c[0].ExpectedCores-c[0].Cores) > 1e-6 || math.Abs(c[1].ExpectedCores-c[1].Cores) > 1e-6 {
		t.Errorf("expected cores differ from measured cores: %+v", c)
	}
	if _, err := Fits(reports[:0]); err == nil {
		t.Error("Fits accepted an empty list of reports")
	}
}

// TestUsage checks that the resource usage of the test process can be read from /proc.
func TestUsage(t *testing.T) {
	u, err := readUsage(os.Getpid())
	if err != nil || u.Resident <= 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
