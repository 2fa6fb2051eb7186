// Package policy reads the operators' own settings, a Starlark program that
// assigns checked names. The defaults are embedded and run first.
package policy

import (
	"cmp"
	_ "embed"
	"fmt"
	"maps"
	"slices"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
)

//go:embed default.star
var defaults string

// Policy is the outcome of the program.
type Policy struct {
	MaxPassDelay        clock.Micros
	Smoothing           float64
	UsageWindow         clock.Micros
	DefaultFetchRate    float64
	LeaderTTL           clock.Micros
	LeaseMargin         clock.Micros
	IdleTimeout         clock.Micros
	BootTimeoutFactor   float64
	MaxMissedReports    float64
	Headroom            float64
	UnhealthyFailures   int
	RentRetryDelay      clock.Micros
	SpotWaitThreshold   clock.Micros
	ReplicaMoveInterval clock.Micros
	MaxDrainingShare    float64
	ImageLocalityWindow clock.Micros
	StartWaitLimit      clock.Micros
	Admission           admit.Settings
	Relay               Relay
}

// Relay says whether controllers that do not lead carry workers' connections.
type Relay struct {
	Enabled    bool
	MinWorkers int // from so many on
}

// Default returns the embedded policy.
func Default() *Policy {
	p, err := Parse()
	if err != nil {
		panic(err) // the embedded program is covered by the tests
	}
	return p
}

// Program is a Starlark program, named for messages.
type Program struct{ Name, Text string }

// Parse runs the defaults and then the programs given, each on what those before it set.
func Parse(programs ...Program) (*Policy, error) {
	values := starlark.StringDict{}
	known := map[string]bool{}
	set := map[string]string{} // where each name was set last
	for i, src := range append([]Program{{"default.star", defaults}}, programs...) {
		thread := &starlark.Thread{Name: src.Name}
		thread.SetMaxExecutionSteps(1_000_000)
		file, prog, err := starlark.SourceProgramOptions(&syntax.FileOptions{}, src.Name, src.Text, values.Has)
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		globals, err := prog.Init(thread, values)
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		globals.Freeze()
		place(set, src.Name, file)
		for k, v := range globals {
			if i == 0 {
				known[k] = true
			} else if _, fn := v.(starlark.Callable); !known[k] && !fn && k[0] != '_' {
				return nil, fmt.Errorf("policy: %s: unknown setting %q; names that begin with _ are yours", cmp.Or(set[k], src.Name), k)
			}
			values[k] = v
		}
	}
	r := reader{values: values, set: set}
	p := &Policy{
		MaxPassDelay:        r.seconds("cycle_s", 0.01, 60),
		Smoothing:           r.number("smoothing", 0.01, 1),
		UsageWindow:         r.seconds("use_window_s", 1, 1e7),
		DefaultFetchRate:    r.number("fetch_gb_per_s", 1e-4, 1e3),
		LeaderTTL:           r.seconds("leader_ttl_s", 0.5, 60),
		LeaseMargin:         r.seconds("margin_s", 0.1, 30),
		IdleTimeout:         r.seconds("idle_s", 0, 1e5),
		BootTimeoutFactor:   r.number("boot_factor", 1, 100),
		MaxMissedReports:    r.number("silent_reports", 2, 100),
		Headroom:            r.number("headroom", 0, 100),
		UnhealthyFailures:   int(r.number("sick_errors", 1, 100)),
		RentRetryDelay:      r.seconds("refused_s", 1, 3600),
		SpotWaitThreshold:   r.seconds("spot_wait_s", 0, 3600),
		ReplicaMoveInterval: r.seconds("move_period_s", 1, 1e7),
		MaxDrainingShare:    r.number("emptying", 0, 1),
		ImageLocalityWindow: r.seconds("patience_s", 0, 1e6),
		StartWaitLimit:      r.seconds("begin_s", 0, 1e6),
		Admission: admit.Settings{
			Enabled:              r.boolean("admission"),
			MinServedShare:       r.number("serve", 0, 1),
			ClassMinServedShares: r.table("class_serve", 0, 1),
			MaxQueueWait:         r.seconds("answer_s", 0.01, 4),
			OverloadBacklog:      r.seconds("overload_s", 0, 1e6),
		},
		Relay: Relay{Enabled: r.boolean("relay"), MinWorkers: int(r.number("relay_workers", 1, 1e6))},
	}
	return p, r.err
}

// Check compares what the policy says of classes with those that the settings name.
func (p *Policy) CheckClasses(classes []string) error {
	for _, class := range slices.Sorted(maps.Keys(p.Admission.ClassMinServedShares)) {
		if !slices.Contains(classes, class) {
			return fmt.Errorf("policy: class_serve: no objective in the settings names the class %q", class)
		}
	}
	return nil
}

// place notes at which file and line a program assigns each of its names.
func place(set map[string]string, name string, file *syntax.File) {
	for _, stmt := range file.Stmts {
		if a, ok := stmt.(*syntax.AssignStmt); ok {
			if id, ok := a.LHS.(*syntax.Ident); ok {
				set[id.Name] = fmt.Sprintf("%s:%d", name, id.NamePos.Line)
			}
		}
	}
}

type reader struct {
	values starlark.StringDict
	set    map[string]string
	err    error
}

// refuse keeps the first complaint about a name, with the place where it was set.
func (r *reader) refuse(name, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("policy: %s: %s: %s", r.set[name], name, fmt.Sprintf(format, args...))
	}
}

func (r *reader) number(name string, min, max float64) float64 {
	v, ok := starlark.AsFloat(r.values[name])
	if !ok || !(v >= min && v <= max) {
		r.refuse(name, "%v is not between %v and %v", r.values[name], min, max)
	}
	return v
}

func (r *reader) seconds(name string, min, max float64) clock.Micros {
	return clock.FromSeconds(r.number(name, min, max))
}

func (r *reader) boolean(name string) bool {
	v, ok := r.values[name].(starlark.Bool)
	if !ok {
		r.refuse(name, "%v is neither True nor False", r.values[name])
	}
	return bool(v)
}

// table reads a dictionary from names of classes to numbers.
func (r *reader) table(name string, min, max float64) map[string]float64 {
	out := map[string]float64{}
	dict, ok := r.values[name].(*starlark.Dict)
	if !ok {
		r.refuse(name, "%v is not a dictionary", r.values[name])
		return out
	}
	for _, item := range dict.Items() {
		class, text := starlark.AsString(item[0])
		v, num := starlark.AsFloat(item[1])
		if !text || class == "" || !num || !(v >= min && v <= max) {
			r.refuse(name, "%v: %v is not a class with a number between %v and %v", item[0], item[1], min, max)
		}
		out[class] = v
	}
	return out
}
