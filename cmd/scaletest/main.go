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
var errBroken = errors.New("rules were broken")

// options prepares the controllers; close removes what was made for it.
func (c *runCmd) options() (o scale.Options, close func(), err error) {
	o = scale.Options{Program: c.Program, Progress: os.Stderr}
	close = func() {}
	for _, name := range c.With {
		o.Args = append(o.Args, "--with", name)
	}
	if c.Policy != "" {
		o.Args = append(o.Args, "--policy", c.Policy)
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return o, close, err
		}
		o.Log, close = f, func() { f.Close() }
	}
	if o.Program == "" {
		dir, err := os.MkdirTemp("", "scaletest")
		if err != nil {
			return o, close, err
		}
		closeLog := close
		close = func() {
			os.RemoveAll(dir)
			closeLog()
		}
		o.Program = filepath.Join(dir, "lilacthread")
		if out, err := exec.Command("go", "build", "-o", o.Program, "lilacthread/cmd/lilacthread").CombinedOutput(); err != nil {
			return o, close, fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	return o, close, nil
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
	o, done, err := c.options()
	defer done()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scale.Run(ctx, scenario, o)
	if err != nil {
		return err
	}
	if len(c.Slopes) > 0 {
		fits, err := slopes(c.Slopes)
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
	if len(report.Broken) > 0 {
		return errBroken
	}
	return nil
}

type fitCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of runs, of three sizes at least."`
}

func (c *fitCmd) Run() error {
	fits, err := slopes(c.Reports)
	if err != nil {
		return err
	}
	return scale.PrintFits(os.Stdout, fits)
}

// slopes fits those of the reports in the files.
func slopes(files []string) ([]scale.Fit, error) {
	var list []*scale.Report
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		r := new(scale.Report)
		if err := json.Unmarshal(raw, r); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		list = append(list, r)
	}
	return scale.Fits(list)
}

func main() {
	ctx := kong.Parse(&cli, kong.Description("Plays a deployment of thousands of workers on this machine and measures each role."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		if errors.Is(err, errBroken) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
