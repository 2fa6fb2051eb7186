// Command scaletest plays a deployment of thousands of workers on this machine: real
// controllers, stand-ins for all else. See docs/CAPACITY.md.
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
	Run runCmd `cmd:"" help:"Play a scenario."`
	Fit fitCmd `cmd:"" help:"Fit slopes to the JSON reports of several runs."`
}

type runCmd struct {
	Scenario string   `arg:"" type:"existingfile" help:"The scenario, as in internal/scale/testdata."`
	Workers  int      `help:"Workers in place of the scenario's."`
	Program  string   `type:"existingfile" help:"The controllers' executable; built from this tree by default."`
	JSON     string   `name:"json" type:"path" help:"Write the report here as JSON too."`
	Log      string   `type:"path" help:"Write the controllers' logs here."`
	With     []string `default:"admission" help:"What the controllers have switched on."`
	Policy   string   `type:"existingfile" help:"A policy for the controllers (Starlark)."`
	Slopes   []string `type:"existingfile" help:"Reports of earlier runs, whose slopes are set beside what is measured."`
}

// errBroken ends a run in which a rule did not hold with exit code 1.
var errViolations = errors.New("rules were broken")

// options prepares the controllers; close removes what was made for it.
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
			return opts, cleanUp, fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	return opts, cleanUp, nil
}

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

type fitCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of runs, of three sizes at least."`
}

func (c *fitCmd) Run() error {
	fits, err := fitReports(c.Reports)
	if err != nil {
		return err
	}
	return scale.PrintFits(os.Stdout, fits)
}

// slopes fits those of the reports in the files.
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

func main() {
	ctx := kong.Parse(&cli, kong.Description("Plays a deployment of thousands of workers on this machine and measures each role."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		if errors.Is(err, errViolations) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
