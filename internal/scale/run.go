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

// Options say how a scenario is played.
type Options struct {
	Program  string   // the controller's executable
	Args     []string // its arguments before --config
	Progress io.Writer
	Log      io.Writer // of the controllers
}

// deployment is a run under way.
type deployment struct {
	*Scenario
	Options
	simServer    *sim.RealTimeServer
	dir          string
	configs      []config.Config
	procs        []*process
	earlierUsage []Usage // of a controller's earlier processes
	users        *users
	report       *Report
}

// process is a controller's process.
type process struct {
	*exec.Cmd
	exited chan struct{} // closed when it has
}

// Run plays a scenario and ends by itself, or when ctx does. The report is given as far as
// it came; its Broken lists the rules that did not hold.
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

// open starts the stand-ins and the controllers.
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

func (d *deployment) configPath(i int) string { return filepath.Join(d.dir, d.configs[i].Name+".json") }

func (d *deployment) startController(i int) error {
	cmd := exec.Command(d.Program, append(append([]string(nil), d.Args...), "--config", d.configPath(i))...)
	cmd.Stderr = d.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		cmd.Wait() // how it ended is of no interest: none should by itself
		close(p.exited)
	}()
	d.procs[i] = p
	return nil
}

// watch reports a controller that ended by itself, such as one whose port was taken.
func (d *deployment) checkControllers() error {
	for i, p := range d.procs {
		if p == nil {
			continue
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended by itself: %v", d.configs[i].Name, p.ProcessState)
		default:
		}
	}
	return nil
}

// kill ends a controller without a word; what it took counts on.
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

// leader is the index of the controller that leads, or -1.
func (d *deployment) leaderIndex() int {
	name := ""
	d.simServer.WithWorld(func(w *sim.World) { name = w.State.Leader() })
	return slices.IndexFunc(d.configs, func(c config.Config) bool { return c.Name == name })
}

// rampLimit is how long the fleet may take to come up.
const rampTimeout = 4 * time.Minute

// ramp rents the fleet: one replica of a service keeps each machine.
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
			return fmt.Errorf("only %d of %d workers came up in %v", running, d.Workers, rampTimeout)
		}
		if err := errors.Join(d.checkControllers(), sleep(ctx, time.Second)); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// play runs one phase and measures it, but for its first seconds, in which the load grows.
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

// trouble has fail what the phase says.
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

// betweenRestarts is the pause between controllers that are restarted in turn.
const restartInterval = 2 * time.Second

// restart kills a controller and starts it again.
func (d *deployment) restartController(i int, p *Phase) {
	d.killController(i)
	time.Sleep(time.Duration(p.RestartDelaySeconds * float64(time.Second)))
	if err := d.startController(i); err != nil {
		d.report.Violations = append(d.report.Violations, "not started again: "+err.Error())
	}
}

var errMemory = errors.New("the run took more than half of the machine's memory")

// watchMemory ends a run that grows beyond half of the machine's memory.
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

// drainFor is how long users may wait for their last jobs.
const drainTimeout = 30 * time.Second

// finish lets the last jobs end and judges the run.
func (d *deployment) finish() {
	d.users.drain(drainTimeout)
	d.simServer.WithWorld(func(w *sim.World) {
		w.Rules.CheckOverdue(w.Now())
		w.Rules.CheckFinal()
		d.report.Violations = append(d.report.Violations, w.Rules.Violations...)
		d.report.recordWaits(w.Rules)
	})
	d.report.Unfinished = d.users.unfinished()
	d.report.AcceptLatency = newQuantiles(d.users.acceptLatency, 1000)
	d.report.Refused = int(d.users.refused.Load())
}
