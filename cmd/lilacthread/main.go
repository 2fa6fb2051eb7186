// Command lilacthread is the daemon of the cluster scheduler and the command-line tool of its
// users and operators.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"lilacthread/client"
	"lilacthread/deploy"
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

	Admission admissionCmd `cmd:"" help:"Show how submissions and machines are shared."`
	Relays    relaysCmd    `cmd:"" help:"Show which controllers hold workers' connections for the leader."`
	Bound     boundCmd     `cmd:"" help:"Compare a recorded overload run with computed upper bounds."`
}

// usageError is an error of the arguments, settings or policy. It ends the program with exit
// code 2.
type usageError struct{ error }

// policyFlags holds the flags that select the operators' policy programs.
type policyFlags struct {
	With   []string `help:"Apply the built-in policy program deploy/NAME.star; may be repeated." placeholder:"NAME"`
	Policy string   `type:"path" help:"The operators' policy (Starlark)."`
}

type serveCmd struct {
	Config string `required:"" type:"path" help:"The platform's settings file (JSON)."`
	policyFlags
}

// load reads the settings, and the policy: the defaults, then the programs of --with, then
// the file of --policy.
func (p *policyFlags) load(cfgPath string) (*config.Config, *policy.Policy, error) {
	cfg, err := config.Load(cfgPath)
	if err != nil {
		return nil, nil, usageError{err}
	}
	var programs []policy.Program
	for _, name := range p.With {
		file, text, err := deploy.Policy(name)
		if err != nil {
			return nil, nil, usageError{err}
		}
		programs = append(programs, policy.Program{Name: file, Text: text})
	}
	if p.Policy != "" {
		text, err := os.ReadFile(p.Policy)
		if err != nil {
			return nil, nil, usageError{err}
		}
		programs = append(programs, policy.Program{Name: p.Policy, Text: string(text)})
	}
	pol, err := policy.Parse(programs...)
	if err != nil {
		return nil, nil, usageError{err}
	}
	if err := pol.CheckClasses(cfg.Classes()); err != nil {
		return nil, nil, usageError{err}
	}
	return cfg, pol, nil
}

func (s *serveCmd) Run() error {
	cfg, pol, err := s.load(s.Config)
	if err != nil {
		return err
	}
	if cfg.Params.Resources.CPUShare <= 1 {
		runtime.GOMAXPROCS(1)
	}
	// The platform limits all memory of the process. Go's soft limit does not count
	// everything, so it is set lower.
	debug.SetMemoryLimit(int64(cfg.Params.Resources.MemoryMB * 0.65 * (1 << 20)))
	slog.Info("starting", "node", cfg.Name, "version", version)
	return node.Run(cfg, pol)
}

type checkCmd struct {
	File string `arg:"" type:"path" help:"The platform's settings file (JSON)."`
	policyFlags
}

func (c *checkCmd) Run() error {
	if _, _, err := c.load(c.File); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// serviceFlags is the flag of the commands that query a running service.
type serviceFlags struct {
	Addr string `required:"" env:"LILACTHREAD_ADDR" help:"Address of the service, host:port."`
}

// submitCmd has one flag per field of a job; the CPUs, GPUs and memory are those of a task.
type submitCmd struct {
	serviceFlags
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
		Estimate: s.Estimate, CheckpointInterval: s.Checkpoint, SaveDuration: s.Save, Deadline: s.Deadline, DependsOn: s.Awaits}
	return printStatus(client.New(s.Addr).Submit(job))
}

type statusCmd struct {
	serviceFlags
	ID string `arg:"" help:"Job id."`
}

func (s *statusCmd) Run() error { return printStatus(client.New(s.Addr).Status(s.ID)) }

type cancelCmd struct {
	serviceFlags
	ID string `arg:"" help:"Job id."`
}

func (s *cancelCmd) Run() error { return printStatus(client.New(s.Addr).Cancel(s.ID)) }

// printStatus prints a job's status as JSON.
func printStatus(status *wire.JobStatus, err error) error {
	if err != nil {
		return err
	}
	displayNames := map[string]string{wire.PhaseCancelled: "cancelled"}
	phase := status.Phase
	if displayName := displayNames[phase]; displayName != "" {
		phase = displayName
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]any{"id": status.ID, "state": phase, "done": status.Done, "running": status.Running})
}

type admissionCmd struct {
	serviceFlags
	JSON bool `name:"json" help:"Print as JSON."`
}

func (s *admissionCmd) Run() error {
	return printAnswer(s.JSON, client.New(s.Addr).Admission, printAdmission)
}

// printAnswer queries a node and prints the answer, as JSON or with print.
func printAnswer[T any](asJSON bool, query func() (*T, error), print func(io.Writer, *T) error) error {
	answer, err := query()
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(answer)
	}
	return print(os.Stdout, answer)
}

// roleOf returns the word for a node's role in the printed tables.
func roleOf(leads bool) string {
	if leads {
		return "leads"
	}
	return "follows"
}

// printAdmission prints the state of admission control as a table with a line per account.
func printAdmission(w io.Writer, status *wire.AdmissionStatus) error {
	mode := map[bool]string{false: "usual order", true: "overload"}[status.Overloaded]
	switch {
	case !status.Enabled:
		mode = "off"
	case status.Term == 0:
		mode = "no valid table: this node is limited to its base rate"
	}
	fmt.Fprintf(w, "node %s (%s), table %d of term %d: %s\n", status.Node, roleOf(status.IsLeader), status.Number, status.Term, mode)
	fmt.Fprintf(w, "may make %.1f writes per second; %d submissions wait, the oldest for %.3f s\n", status.Rate, status.Waiting, status.OldestSeconds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\theld\twaiting\tfloor\tshare\trate\tpart\tspread\tqueued\ttaken\trefused\tknown\taccepted p50/p99 ms\tstarted p50/p99 s\tin time\t")
	for _, account := range status.Accounts {
		class, inTime := account.Class, "-"
		if class == "" {
			class = "(others)"
		}
		if account.FinishedJobs > 0 {
			inTime = fmt.Sprintf("%d of %d", account.FinishedInTime, account.FinishedJobs)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d s\t%d\t%d\t%d\t%d\t%d/%d\t%.1f/%.1f\t%s\t\n", account.Team, class,
			account.Held, account.Waiting, account.MinShare, account.Share, account.Rate, account.NodeRate, account.Slots, account.Queued, account.Accepted, account.Refused, account.Duplicates,
			account.AcceptP50Millis, account.AcceptP99Millis, float64(account.StartP50Millis)/1000, float64(account.StartP99Millis)/1000, inTime)
	}
	return table.Flush()
}

type relaysCmd struct {
	serviceFlags
	JSON bool `name:"json" help:"Print as JSON."`
}

func (c *relaysCmd) Run() error {
	return printAnswer(c.JSON, client.New(c.Addr).Relays, printRelays)
}

// printRelays prints which controllers hold workers' connections, and the node's counters.
func printRelays(w io.Writer, status *wire.RelayStatus) error {
	mode := map[bool]string{false: "workers report to the leader", true: "relaying"}[status.Active]
	fmt.Fprintf(w, "node %s (%s): %s, members %v (table %d of term %d)\n", status.Node, roleOf(status.IsLeader), mode, status.Members, status.Number, status.Term)
	for _, name := range slices.Sorted(maps.Keys(status.WorkersPerRelay)) {
		fmt.Fprintf(w, "  %s relays the reports of %d workers\n", name, status.WorkersPerRelay[name])
	}
	fmt.Fprintf(w, "%d workers report here, %d reports wait; relayed %d in %d batches (%d repeated, %d batches unanswered, latest answered in %.1f ms)\n",
		status.Workers, status.QueuedReports, status.Relayed, status.Batches, status.Repeated, status.Unanswered, float64(status.BatchLatencyMicros)/1000)
	_, err := fmt.Fprintf(w, "workers sent elsewhere %d, reports shed %d, command batches sent %d, refused %d, malformed items %d\n",
		status.Redirected, status.Shed, status.Orders, status.RefusedOrders, status.Malformed)
	return err
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("lilacthread", version)
	return nil
}

// setUpLogging sets up the log on standard error at the level of LOG_LEVEL.
func setUpLogging() error {
	level := slog.LevelInfo
	switch value := strings.ToLower(os.Getenv("LOG_LEVEL")); value {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", value)}
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
	if err = setUpLogging(); err == nil {
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
