package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"lilacthread/internal/config"
	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// Options configures how Run starts the controllers and where output goes.
type Options struct {
	Program  string    // the controller's executable
	Args     []string  // the controller's arguments before --config
	Progress io.Writer // receives a line per phase and regular lines during the ramp-up
	Log      io.Writer // receives the controllers' logs; nil discards them
}

// deployment holds the state of a run: the controller processes, the simulated services and
// the users who submit jobs.
type deployment struct {
	*Scenario
	Options
	simServer    *sim.RealTimeServer
	dir          string // temporary directory of the controllers' configuration files
	configs      []config.Config
	procs        []*process // by controller; nil while it is down
	earlierUsage []Usage    // by controller: total of its processes that were killed
	users        *users
	report       *Report
}

// process is a running controller process.
type process struct {
	*exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// Run runs a scenario to its end, or until ctx is cancelled. If the run fails after its start,
// Run returns the incomplete report along with the error. A broken rule is not an error: the
// report lists it in Violations.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if err := s.checkHost(); err != nil {
		return nil, err
	}
	d := &deployment{Scenario: s, Options: o, report: &Report{Scenario: s}}
	defer d.close()
	if err := d.start(); err != nil {
		return d.report, err
	}
	if err := d.ramp(ctx); err != nil {
		return d.report, err
	}
	for i := range s.Phases {
		if err := d.runPhase(ctx, &s.Phases[i]); err != nil {
			return d.report, err
		}
	}
	d.finish()
	return d.report, nil
}

// start starts the simulated services, the controllers and the users.
func (d *deployment) start() error {
	w := sim.NewWorld(d.Controllers, nil, 7)
	d.applyTo(&w.Config)
	w.Config.Params.Size, w.ReportChanges = d.Controllers, true
	zones := w.Config.Params.Zones
	w.Cloud.Types = []wire.MachineType{d.machineType(zones)}
	for i, zone := range zones {
		machines := d.Workers / len(zones)
		if i < d.Workers%len(zones) {
			machines++
		}
		w.Cloud.Capacity["worker/"+zone], w.Cloud.Capacity["worker/"+zone+"/spot"] = machines, 0
	}
	var err error
	if d.simServer, d.configs, err = sim.Deploy(w); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "scale"); err != nil {
		return err
	}
	d.procs, d.earlierUsage = make([]*process, d.Controllers), make([]Usage, d.Controllers)
	for i := range d.configs {
		raw, err := json.Marshal(&d.configs[i])
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.configPath(i), raw, 0o600); err != nil {
			return err
		}
		if err := d.startController(i); err != nil {
			return err
		}
	}
	d.users = newUsers(d)
	return nil
}

// configPath returns the path of a controller's configuration file.
func (d *deployment) configPath(i int) string { return filepath.Join(d.dir, d.configs[i].Name+".json") }

// startController starts the process of a controller.
func (d *deployment) startController(i int) error {
	cmd := exec.Command(d.Program, append(append([]string(nil), d.Args...), "--config", d.configPath(i))...)
	cmd.Stderr = d.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		cmd.Wait() // checkControllers reports an unexpected exit
		close(p.exited)
	}()
	d.procs[i] = p
	return nil
}

// checkControllers returns an error if a controller exited without being killed by the run,
// for instance because its port was in use.
func (d *deployment) checkControllers() error {
	for i, p := range d.procs {
		if p == nil {
			continue
		}
		select {
		case <-p.exited:
			return fmt.Errorf("controller %s exited unexpectedly: %v", d.configs[i].Name, p.ProcessState)
		default:
		}
	}
	return nil
}

// killController kills a controller, if it runs, with SIGKILL. The resource usage of the
// process stays in the controller's total.
func (d *deployment) killController(i int) {
	p := d.procs[i]
	if p == nil {
		return
	}
	if u, err := readUsage(p.Process.Pid); err == nil {
		d.earlierUsage[i].add(u)
	}
	p.Process.Kill()
	<-p.exited
	d.procs[i] = nil
}

// close stops the users, the controllers and the simulated services and removes the temporary
// files.
func (d *deployment) close() {
	if d.users != nil {
		d.users.stop()
	}
	for i := range d.procs {
		d.killController(i)
	}
	if d.simServer != nil {
		d.simServer.Close()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}

// leaderIndex returns the index of the leader, or -1 if there is none.
func (d *deployment) leaderIndex() int {
	name := ""
	d.simServer.WithWorld(func(w *sim.World) { name = w.State.Leader() })
	return slices.IndexFunc(d.configs, func(c config.Config) bool { return c.Name == name })
}

// rampTimeout limits the time in which the workers start.
const rampTimeout = 4 * time.Minute

// ramp submits one service replica per worker, so that the controllers rent all machines and
// keep them, and waits until 99% of the replicas run.
func (d *deployment) ramp(ctx context.Context) error {
	d.users.submitServices()
	start := time.Now()
	for tick := 0; ; tick++ {
		running := 0
		d.simServer.WithWorld(func(w *sim.World) { running = w.RunningTasks() })
		if tick%10 == 0 {
			fmt.Fprintf(d.Progress, "ramp: %d of %d workers, %.0f s\n", running, d.Workers, time.Since(start).Seconds())
		}
		if running >= d.Workers*99/100 {
			d.report.RampSeconds = time.Since(start).Seconds()
			return sleep(ctx, 5*time.Second)
		}
		if time.Since(start) > rampTimeout {
			return fmt.Errorf("only %d of %d workers started within %v", running, d.Workers, rampTimeout)
		}
		if err := errors.Join(d.checkControllers(), sleep(ctx, time.Second)); err != nil {
			return err
		}
	}
}

// sleep waits for a duration, or until ctx is done and then returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// runPhase runs one phase and adds its result to the report. The measurement excludes a warm-up
// in which the number of running tasks still grows, except in a phase with a fault, which is
// measured from its start.
func (d *deployment) runPhase(ctx context.Context, p *Phase) error {
	d.users.setPhase(p)
	warmUp := min(p.Duration/3, time.Duration(1.5*p.RunSeconds*float64(time.Second)))
	if p.hasFault() {
		warmUp = 0
	}
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	before := d.takeSample()
	d.injectFaults(p)
	for remaining := p.Duration - warmUp; remaining > 0; remaining -= time.Second {
		if err := sleep(ctx, min(remaining, time.Second)); err != nil {
			return err
		}
		if err := errors.Join(d.checkControllers(), d.checkMemory()); err != nil {
			return err
		}
	}
	result := d.phaseResult(p, before, d.takeSample())
	d.report.Phases = append(d.report.Phases, result)
	fmt.Fprintln(d.Progress, result.progressLine())
	return nil
}

// injectFaults injects the faults of a phase. It restarts no controller while there is no
// leader.
func (d *deployment) injectFaults(p *Phase) {
	d.simServer.WithWorld(func(w *sim.World) {
		w.CrashMachines(int(p.MachinesLost))
		if p.ZoneCutSeconds > 0 {
			w.CutZone(w.Config.Params.Zones[0], sim.Micros(p.ZoneCutSeconds*1e6))
		}
	})
	leader := d.leaderIndex()
	switch {
	case leader < 0:
	case p.Kill == "leader":
		d.restartController(leader, p)
	case p.Kill == "follower":
		d.restartController((leader+1)%d.Controllers, p)
	case p.Kill == "each":
		for i := range d.Controllers {
			d.restartController(i, p)
			time.Sleep(restartInterval)
		}
	}
}

// restartInterval is the pause after each restart when all controllers are restarted in turn.
const restartInterval = 2 * time.Second

// restartController kills a controller and starts it again after the delay of the phase. A
// failure to start it is recorded as a violation.
func (d *deployment) restartController(i int, p *Phase) {
	d.killController(i)
	time.Sleep(time.Duration(p.RestartDelaySeconds * float64(time.Second)))
	if err := d.startController(i); err != nil {
		d.report.Violations = append(d.report.Violations, "controller not restarted: "+err.Error())
	}
}

var errMemory = errors.New("the run uses more than half of this machine's memory")

// checkMemory returns an error if this process and the controllers together use more than half
// of the memory of the machine.
func (d *deployment) checkMemory() error {
	resident := residentBytes(os.Getpid())
	for _, p := range d.procs {
		if p != nil {
			resident += residentBytes(p.Process.Pid)
		}
	}
	if resident > totalMemory()/2 {
		return errMemory
	}
	return nil
}

// drainTimeout limits how long the run waits, after the last phase, for jobs to finish.
const drainTimeout = 30 * time.Second

// finish waits for the last jobs, runs the final checks and completes the report.
func (d *deployment) finish() {
	d.users.drain(drainTimeout)
	d.simServer.WithWorld(func(w *sim.World) {
		w.Checker.CheckOverdue(w.Now())
		w.Checker.CheckFinal()
		d.report.Violations = append(d.report.Violations, w.Checker.Violations...)
		d.report.recordWaits(w.Checker)
	})
	d.report.Unfinished = d.users.unfinished()
	d.report.AcceptLatency = newQuantiles(d.users.acceptLatency, 1000)
	d.report.Refused = int(d.users.refused.Load())
}
