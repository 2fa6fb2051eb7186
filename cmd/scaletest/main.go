// Command scaletest runs load tests of a deployment of up to thousands of workers on one machine
// and fits linear models of resource usage to their reports. The controllers are real processes;
// workers, state service, cloud and users are simulated. See package scale and docs/CAPACITY.md.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"lilacthread/internal/scale"
)

var cli struct {
	Run runCmd `cmd:"" help:"Run the load test of a scenario and print its report."`
	Fit fitCmd `cmd:"" help:"Fit linear models of resource usage to the JSON reports of several runs."`
}

// runCmd is the command run. It exits with code 1 if the run broke a rule, and with code 2 if it
// failed.
type runCmd struct {
	Scenario string   `arg:"" type:"existingfile" help:"Scenario file, as in internal/scale/testdata."`
	Workers  int      `help:"Number of workers, in place of the scenario's."`
	Program  string   `type:"existingfile" help:"Executable of the controllers; built from this source tree by default."`
	JSON     string   `name:"json" type:"path" help:"Also write the report as JSON to this file."`
	Log      string   `type:"path" help:"Write the logs of the controllers to this file."`
	With     []string `default:"admission" help:"Optional features of the controllers to enable."`
	Policy   string   `type:"existingfile" help:"Starlark policy file for the controllers."`
	Slopes   []string `type:"existingfile" help:"JSON reports of earlier runs; their fits give the expected CPU usage in the report."`
}

// errViolations makes the command exit with code 1 after a run that broke a rule.
var errViolations = errors.New("the run broke at least one rule, see the report")

// options returns the options of the run, and opens the log file and builds the controllers'
// executable where needed. The caller calls cleanUp, also after an error, to close the log file
// and to remove the executable.
func (c *runCmd) options() (opts scale.Options, cleanUp func(), err error) {
	opts = scale.Options{Program: c.Program, Progress: os.Stderr}
	cleanUp = func() {}
	for _, feature := range c.With {
		opts.Args = append(opts.Args, "--with", feature)
	}
	if c.Policy != "" {
		opts.Args = append(opts.Args, "--policy", c.Policy)
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return opts, cleanUp, err
		}
		opts.Log, cleanUp = f, func() { f.Close() }
	}
	if opts.Program == "" {
		dir, err := os.MkdirTemp("", "scaletest")
		if err != nil {
			return opts, cleanUp, err
		}
		closeLog := cleanUp
		cleanUp = func() {
			os.RemoveAll(dir)
			closeLog()
		}
		opts.Program = filepath.Join(dir, "lilacthread")
		if out, err := exec.Command("go", "build", "-o", opts.Program, "lilacthread/cmd/lilacthread").CombinedOutput(); err != nil {
			return opts, cleanUp, fmt.Errorf("build lilacthread: %w\n%s", err, out)
		}
	}
	return opts, cleanUp, nil
}

// Run runs the scenario, writes the report and returns errViolations if a rule was broken.
func (c *runCmd) Run() error {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	scenario, err := scale.Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", c.Scenario, err)
	}
	if c.Workers > 0 {
		scenario.Workers = c.Workers
	}
	opts, cleanUp, err := c.options()
	defer cleanUp()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scale.Run(ctx, scenario, opts)
	if err != nil {
		return err
	}
	if len(c.Slopes) > 0 {
		fits, err := fitReports(c.Slopes)
		if err != nil {
			return err
		}
		report.SetExpected(fits)
	}
	if c.JSON != "" {
		raw, err := json.MarshalIndent(report, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}

// fitCmd is the command fit. It prints the linear models of resource usage.
type fitCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"JSON reports of runs with at least three different numbers of workers."`
}

// Run prints the coefficients fitted to the reports.
func (c *fitCmd) Run() error {
	fits, err := fitReports(c.Reports)
	if err != nil {
		return err
	}
	return scale.PrintFits(os.Stdout, fits)
}

// fitReports reads JSON reports from files and fits the models to their phases.
func fitReports(files []string) ([]scale.Fit, error) {
	var reports []*scale.Report
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		report := new(scale.Report)
		if err := json.Unmarshal(raw, report); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		reports = append(reports, report)
	}
	return scale.Fits(reports)
}

// main exits with code 0, 1 (see errViolations) or 2.
func main() {
	ctx := kong.Parse(&cli, kong.Description("Runs load tests of a deployment of thousands of workers on this machine and measures each controller."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		if errors.Is(err, errViolations) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
