package scale

import (
	"math"
	"os"
	"strings"
	"testing"
)

const validHeader = "controllers count=3\nworkers count=30\nstate rps=100 write-rps=50\n"

// TestParse reads a scenario, and refuses each mistake with its line before anything starts.
func TestParse(t *testing.T) {
	s, err := Parse(validHeader + "\n# a comment\nphase p for=5 starts=20 tasks=10 run=1 kill=leader back=2\n")
	if err != nil || s.Controllers != 3 || s.Workers != 30 || len(s.Phases) != 1 || s.Phases[0].Kill != "leader" || s.Phases[0].RestartDelaySeconds != 2 {
		t.Fatalf("%+v, %v", s, err)
	}
	for scenario, want := range map[string]string{
		validHeader + "explode":                  "line 4: explode: not one of",
		validHeader + "phase":                    "line 4: phase: a name is needed",
		validHeader + "phase p":                  "line 4: for=SECONDS is needed",
		validHeader + "phase p for=0.5":          "line 4: for=0.5: not a number from 1 to 600",
		validHeader + "phase p for=x":            "line 4: for=x: not a number",
		validHeader + "phase p for=5 kill=all":   "line 4: kill=all: not leader, follower or each",
		validHeader + "phase p for=5 colour=1":   "line 4: colour: not one of for,",
		"workers count=6000":                     "line 1: count=6000: not a number from 1 to 5000",
		"workers count=5 cpus=16 service-cpus=8": "line 1: service-cpus=8: more than half",
		"state rps=0":                            "line 1: rps=0",
		"phase p for=5":                          "a line controllers and a line workers are needed",
		validHeader:                              "a line phase is needed",
	} {
		if _, err := Parse(scenario); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", scenario, err, want)
		}
	}
}

// TestMachineTooSmall refuses a run that would take more than this machine has.
func TestMachineTooSmall(t *testing.T) {
	s, err := Parse("controllers count=32 memory-mb=65536\nworkers count=30\nstate rps=1 write-rps=1\nphase p for=1\n")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.checkHost(); err == nil || !strings.Contains(err.Error(), "half of this machine's memory") {
		t.Error(err)
	}
}

// TestFit finds the slopes of a load that is made of them, and tells of too few phases.
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
		t.Errorf("expected beside measured: %+v", c)
	}
	if _, err := Fits(reports[:0]); err == nil {
		t.Error("slopes of nothing")
	}
}

// TestUsage reads the kernel's account of this process.
func TestUsage(t *testing.T) {
	u, err := readUsage(os.Getpid())
	if err != nil || u.Resident <= 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
