// Command lilacthread is the cluster scheduler's daemon and its users' tool.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"lilacthread/client"
	"lilacthread/internal/config"
	"lilacthread/internal/node"
	"lilacthread/internal/policy"
	"lilacthread/wire"
)

const version = "0.2.0-dev"

var cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a settings file, and a policy, without starting."`
	Submit  submitCmd  `cmd:"" help:"Submit a job."`
	Status  statusCmd  `cmd:"" help:"Show a job's state."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a job."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// usageError ends the program with exit code 2.
type usageError struct{ error }

type serveCmd struct {
	Config string `required:"" type:"path" help:"The platform's settings file (JSON)."`
	Policy string `type:"path" help:"The operators' policy (Starlark)."`
}

func load(cfgPath, polPath string) (*config.Config, *policy.Policy, error) {
	cfg, err := config.Load(cfgPath)
	if err != nil {
		return nil, nil, usageError{err}
	}
	var program []byte
	if polPath != "" {
		if program, err = os.ReadFile(polPath); err != nil {
			return nil, nil, usageError{err}
		}
	}
	pol, err := policy.Parse(polPath, string(program))
	if err != nil {
		return nil, nil, usageError{err}
	}
	return cfg, pol, nil
}

func (s *serveCmd) Run() error {
	cfg, pol, err := load(s.Config, s.Policy)
	if err != nil {
		return err
	}
	if cfg.Params.Resources.CPUShare <= 1 {
		runtime.GOMAXPROCS(1)
	}
	// The limit counts what the process holds: leave room for what Go's soft
	// limit does not see.
	debug.SetMemoryLimit(int64(cfg.Params.Resources.MemoryMB * 0.65 * (1 << 20)))
	slog.Info("starting", "node", cfg.Name, "version", version)
	return node.Run(cfg, pol)
}

type checkCmd struct {
	File   string `arg:"" type:"path" help:"The platform's settings file (JSON)."`
	Policy string `type:"path" help:"The operators' policy (Starlark)."`
}

func (c *checkCmd) Run() error {
	if _, _, err := load(c.File, c.Policy); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type target struct {
	Addr string `required:"" env:"LILACTHREAD_ADDR" help:"Address of the service, host:port."`
}

type submitCmd struct {
	target
	ID         string   `arg:"" help:"Job id, like req-000412."`
	Class      string   `required:"" help:"Class of jobs."`
	Team       string   `required:"" help:"Team whose limits apply."`
	Kind       string   `enum:"array,gang,service" default:"array" help:"array, gang or service."`
	Priority   string   `enum:"low,normal,high,production" default:"normal" help:"low, normal, high or production."`
	Tasks      int      `default:"1" help:"Number of tasks."`
	CPUs       float64  `name:"cpus" default:"1" help:"CPUs of a task."`
	GPUs       float64  `name:"gpus" help:"GPUs of a task."`
	Memory     float64  `default:"1" help:"Memory of a task, GB."`
	Image      string   `required:"" help:"Image to run."`
	ImageGB    float64  `name:"image-gb" help:"Size of the image, GB."`
	Type       []string `help:"Allowed machine types."`
	Zone       string   `help:"The only allowed zone."`
	OneZone    bool     `help:"All tasks in one zone."`
	Spread     bool     `help:"At most half of the tasks in one zone."`
	Spot       bool     `help:"Spot machines are allowed."`
	Estimate   float64  `help:"Estimated run time of a task, s."`
	Checkpoint float64  `help:"Checkpoint interval, s; 0: none."`
	Save       float64  `help:"Time to save when stopped, s."`
	Deadline   *float64 `help:"Deadline after submission, s."`
	Awaits     []string `help:"Jobs that must be done before this one starts; may be repeated."`
}

func (s *submitCmd) Run() error {
	job := &wire.Job{ID: s.ID, Class: s.Class, Team: s.Team,
		Kind:     map[string]string{"array": wire.KindArray, "gang": wire.KindGang, "service": wire.KindService}[s.Kind],
		Priority: map[string]string{"low": "best_effort", "normal": "normal", "high": "urgent", "production": "prod"}[s.Priority],
		Tasks:    s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.Memory, Image: s.Image, ImageGB: s.ImageGB,
		Types: s.Type, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		Estimate: s.Estimate, Checkpoint: s.Checkpoint, Save: s.Save, Deadline: s.Deadline, Awaits: s.Awaits}
	return show(client.New(s.Addr).Submit(job))
}

type statusCmd struct {
	target
	ID string `arg:"" help:"Job id."`
}

func (s *statusCmd) Run() error { return show(client.New(s.Addr).Status(s.ID)) }

type cancelCmd struct {
	target
	ID string `arg:"" help:"Job id."`
}

func (s *cancelCmd) Run() error { return show(client.New(s.Addr).Cancel(s.ID)) }

func show(st *wire.JobStatus, err error) error {
	if err != nil {
		return err
	}
	names := map[string]string{wire.PhaseCancelled: "cancelled"}
	phase := st.Phase
	if n := names[phase]; n != "" {
		phase = n
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]any{"id": st.ID, "state": phase, "done": st.Done, "running": st.Running})
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("lilacthread", version)
	return nil
}

func logging() error {
	level := slog.LevelInfo
	switch v := strings.ToLower(os.Getenv("LOG_LEVEL")); v {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", v)}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

func main() {
	parser := kong.Must(&cli, kong.Name("lilacthread"),
		kong.Description("A cluster scheduler: takes jobs, rents machines, commands workers."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err = logging(); err == nil {
		err = ctx.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lilacthread:", err)
		var usage usageError
		if errors.As(err, &usage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
