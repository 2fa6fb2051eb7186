// Package policy reads the operators' settings. They are Starlark programs that assign
// values to known names; the embedded defaults run first. The package checks the values but
// does not act on them. The platform's settings file is read by package config.
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

// Policy holds the operators' settings. Each field is described in default.star, under the
// name with which Parse reads it.
type Policy struct {
	MaxPassDelay        clock.Micros
	Smoothing           float64
	UsageWindow         clock.Micros
	DefaultFetchRate    float64 // GB per second
	LeaderTTL           clock.Micros
	LeaseMargin         clock.Micros
	IdleTimeout         clock.Micros
	BootTimeoutFactor   float64
	MaxMissedReports    float64 // in report intervals
	Headroom            float64
	UnhealthyFailures   int
	RentRetryDelay      clock.Micros
	SpotWaitThreshold   clock.Micros
	ReplicaMoveInterval clock.Micros
	MaxDrainingShare    float64 // of the machines
	ImageLocalityWindow clock.Micros
	StartWaitLimit      clock.Micros
	Admission           admit.Settings
	Relay               Relay
}

// Relay holds the settings of relaying, in which controllers that do not lead hold workers'
// connections for the leader.
type Relay struct {
	Enabled    bool
	MinWorkers int // number of workers at which relaying is switched on
}

// Default returns the embedded policy.
func Default() *Policy {
	p, err := Parse()
	if err != nil {
		panic(err) // the tests cover the embedded program
	}
	return p
}

// Program is a Starlark program. The name appears in error messages.
type Program struct{ Name, Text string }

// Parse runs the embedded defaults and then the given programs in order. Each program can
// read and override the values set before it.
func Parse(programs ...Program) (*Policy, error) {
	values := starlark.StringDict{}
	known := map[string]bool{}
	positions := map[string]string{} // file and line of the last assignment of each name
	for i, program := range append([]Program{{"default.star", defaults}}, programs...) {
		thread := &starlark.Thread{Name: program.Name}
		thread.SetMaxExecutionSteps(1_000_000)
		file, prog, err := starlark.SourceProgramOptions(&syntax.FileOptions{}, program.Name, program.Text, values.Has)
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		globals, err := prog.Init(thread, values)
		if err != nil {
			return nil, fmt.Errorf("policy: %w", err)
		}
		globals.Freeze()
		recordPositions(positions, program.Name, file)
		for name, value := range globals {
			if i == 0 {
				known[name] = true
			} else if _, isFunction := value.(starlark.Callable); !known[name] && !isFunction && name[0] != '_' {
				return nil, fmt.Errorf("policy: %s: unknown setting %q; names of helper variables must begin with _", cmp.Or(positions[name], program.Name), name)
			}
			values[name] = value
		}
	}
	settings := reader{values: values, positions: positions}
	policy := &Policy{
		MaxPassDelay:        settings.seconds("cycle_s", 0.01, 60),
		Smoothing:           settings.number("smoothing", 0.01, 1),
		UsageWindow:         settings.seconds("use_window_s", 1, 1e7),
		DefaultFetchRate:    settings.number("fetch_gb_per_s", 1e-4, 1e3),
		LeaderTTL:           settings.seconds("leader_ttl_s", 0.5, 60),
		LeaseMargin:         settings.seconds("margin_s", 0.1, 30),
		IdleTimeout:         settings.seconds("idle_s", 0, 1e5),
		BootTimeoutFactor:   settings.number("boot_factor", 1, 100),
		MaxMissedReports:    settings.number("silent_reports", 2, 100),
		Headroom:            settings.number("headroom", 0, 100),
		UnhealthyFailures:   int(settings.number("sick_errors", 1, 100)),
		RentRetryDelay:      settings.seconds("refused_s", 1, 3600),
		SpotWaitThreshold:   settings.seconds("spot_wait_s", 0, 3600),
		ReplicaMoveInterval: settings.seconds("move_period_s", 1, 1e7),
		MaxDrainingShare:    settings.number("emptying", 0, 1),
		ImageLocalityWindow: settings.seconds("patience_s", 0, 1e6),
		StartWaitLimit:      settings.seconds("begin_s", 0, 1e6),
		Admission: admit.Settings{
			Enabled:              settings.boolean("admission"),
			MinServedShare:       settings.number("serve", 0, 1),
			ClassMinServedShares: settings.table("class_serve", 0, 1),
			MaxQueueWait:         settings.seconds("answer_s", 0.01, 4),
			OverloadBacklog:      settings.seconds("overload_s", 0, 1e6),
		},
		Relay: Relay{Enabled: settings.boolean("relay"), MinWorkers: int(settings.number("relay_workers", 1, 1e6))},
	}
	return policy, settings.err
}

// CheckClasses returns an error if the policy has a setting for a class that is not among
// classes, the classes that the objectives of the platform's settings name.
func (p *Policy) CheckClasses(classes []string) error {
	for _, class := range slices.Sorted(maps.Keys(p.Admission.ClassMinServedShares)) {
		if !slices.Contains(classes, class) {
			return fmt.Errorf("policy: class_serve: no objective in the settings names the class %q", class)
		}
	}
	return nil
}

// recordPositions records the file and line at which a program assigns each of its names.
func recordPositions(positions map[string]string, name string, file *syntax.File) {
	for _, stmt := range file.Stmts {
		if assignment, ok := stmt.(*syntax.AssignStmt); ok {
			if identifier, ok := assignment.LHS.(*syntax.Ident); ok {
				positions[identifier.Name] = fmt.Sprintf("%s:%d", name, identifier.NamePos.Line)
			}
		}
	}
}

// reader converts the values of a policy and keeps the first error.
type reader struct {
	values    starlark.StringDict
	positions map[string]string
	err       error
}

// fail keeps the first error, with the name of the setting and the file and line of its
// assignment.
func (r *reader) fail(name, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("policy: %s: %s: %s", r.positions[name], name, fmt.Sprintf(format, args...))
	}
}

// number reads a number between min and max.
func (r *reader) number(name string, min, max float64) float64 {
	v, ok := starlark.AsFloat(r.values[name])
	if !ok || !(v >= min && v <= max) {
		r.fail(name, "%v is not between %v and %v", r.values[name], min, max)
	}
	return v
}

// seconds reads a duration between min and max seconds.
func (r *reader) seconds(name string, min, max float64) clock.Micros {
	return clock.FromSeconds(r.number(name, min, max))
}

// boolean reads True or False.
func (r *reader) boolean(name string) bool {
	v, ok := r.values[name].(starlark.Bool)
	if !ok {
		r.fail(name, "%v is neither True nor False", r.values[name])
	}
	return bool(v)
}

// table reads a dictionary from class names to numbers between min and max.
func (r *reader) table(name string, min, max float64) map[string]float64 {
	out := map[string]float64{}
	dict, ok := r.values[name].(*starlark.Dict)
	if !ok {
		r.fail(name, "%v is not a dictionary", r.values[name])
		return out
	}
	for _, item := range dict.Items() {
		class, isString := starlark.AsString(item[0])
		value, isNumber := starlark.AsFloat(item[1])
		if !isString || class == "" || !isNumber || !(value >= min && value <= max) {
			r.fail(name, "%v: %v is not a class name with a number between %v and %v", item[0], item[1], min, max)
		}
		out[class] = value
	}
	return out
}
