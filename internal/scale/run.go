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
	settings     []config.Config
	procs        []*process
	earlierUsage []Usage // of a controller's earlier processes
	users        *users
	report       *Report
}

// process is a controller's process.
type process struct {
	*exec.Cmd
	ended chan struct{} // closed when it has
}

// Run plays a scenario and ends by itself, or when ctx does. The report is given as far as
// it came; its Broken lists the rules that did not hold.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if err := s.checkMachine(); err != nil {
		return nil, err
	}
	d := &deployment{Scenario: s, Options: o, report: &Report{Scenario: s}}
	defer d.close()
	if err := d.open(); err != nil {
		return d.report, err
	}
	if err := d.ramp(ctx); err != nil {
		return d.report, err
	}
	for i := range s.Phases {
		if err := d.play(ctx, &s.Phases[i]); err != nil {
			return d.report, err
		}
	}
	d.finish()
	return d.report, nil
}

// open starts the stand-ins and the controllers.
func (d *deployment) open() error {
	w := sim.NewWorld(d.Controllers, nil, 7)
	d.apply(&w.Config)
	w.Config.Params.Size, w.ReportChanges = d.Controllers, true
	zones := w.Config.Params.Zones
	w.Cloud.Types = []wire.MachineType{d.machineType(zones)}
	for i, zone := range zones {
		share := d.Workers / len(zones)
		if i < d.Workers%len(zones) {
			share++
		}
		w.Cloud.Capacity["worker/"+zone], w.Cloud.Capacity["worker/"+zone+"/spot"] = share, 0
	}
	var err error
	if d.simServer, d.settings, err = sim.Deploy(w); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "scale"); err != nil {
		return err
	}
	d.procs, d.earlierUsage = make([]*process, d.Controllers), make([]Usage, d.Controllers)
	for i := range d.settings {
		raw, err := json.Marshal(&d.settings[i])
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.path(i), raw, 0o600); err != nil {
			return err
		}
		if err := d.start(i); err != nil {
			return err
		}
	}
	d.users = newUsers(d)
	return nil
}

func (d *deployment) path(i int) string { return filepath.Join(d.dir, d.settings[i].Name+".json") }

func (d *deployment) start(i int) error {
	cmd := exec.Command(d.Program, append(append([]string(nil), d.Args...), "--config", d.path(i))...)
	cmd.Stderr = d.Log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		cmd.Wait() // how it ended is of no interest: none should by itself
		close(p.ended)
	}()
	d.procs[i] = p
	return nil
}

// watch reports a controller that ended by itself, such as one whose port was taken.
func (d *deployment) watch() error {
	for i, p := range d.procs {
		if p == nil {
			continue
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended by itself: %v", d.settings[i].Name, p.ProcessState)
		default:
		}
	}
	return nil
}

// kill ends a controller without a word; what it took counts on.
func (d *deployment) kill(i int) {
	p := d.procs[i]
	if p == nil {
		return
	}
	if u, err := usageOf(p.Process.Pid); err == nil {
		d.earlierUsage[i].add(u)
	}
	p.Process.Kill()
	<-p.ended
	d.procs[i] = nil
}

func (d *deployment) close() {
	if d.users != nil {
		d.users.stop()
	}
	for i := range d.procs {
		d.kill(i)
	}
	if d.simServer != nil {
		d.simServer.Close()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}

// leader is the index of the controller that leads, or -1.
func (d *deployment) leader() int {
	name := ""
	d.simServer.WithWorld(func(w *sim.World) { name = w.State.Leader() })
	return slices.IndexFunc(d.settings, func(c config.Config) bool { return c.Name == name })
}

// rampLimit is how long the fleet may take to come up.
const rampLimit = 4 * time.Minute

// ramp rents the fleet: one replica of a service keeps each machine.
func (d *deployment) ramp(ctx context.Context) error {
	d.users.submitServices()
	begin := time.Now()
	for tick := 0; ; tick++ {
		up := 0
		d.simServer.WithWorld(func(w *sim.World) { up = w.RunningTasks() })
		if tick%10 == 0 {
			fmt.Fprintf(d.Progress, "ramp: %d of %d workers, %.0f s\n", up, d.Workers, time.Since(begin).Seconds())
		}
		if up >= d.Workers*99/100 {
			d.report.Ramp = time.Since(begin).Seconds()
			return sleep(ctx, 5*time.Second)
		}
		if time.Since(begin) > rampLimit {
			return fmt.Errorf("only %d of %d workers came up in %v", up, d.Workers, rampLimit)
		}
		if err := errors.Join(d.watch(), sleep(ctx, time.Second)); err != nil {
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
func (d *deployment) play(ctx context.Context, p *Phase) error {
	d.users.setPhase(p)
	settle := min(p.For/3, time.Duration(1.5*p.Run*float64(time.Second)))
	if p.hasFault() {
		settle = 0
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	from := d.sample()
	d.trouble(p)
	for left := p.For - settle; left > 0; left -= time.Second {
		if err := sleep(ctx, min(left, time.Second)); err != nil {
			return err
		}
		if err := errors.Join(d.watch(), d.watchMemory()); err != nil {
			return err
		}
	}
	result := d.compare(p, from, d.sample())
	d.report.Phases = append(d.report.Phases, result)
	fmt.Fprintln(d.Progress, result.line())
	return nil
}

// trouble has fail what the phase says.
func (d *deployment) trouble(p *Phase) {
	d.simServer.WithWorld(func(w *sim.World) {
		w.CrashMachines(int(p.Lose))
		if p.Cut > 0 {
			w.CutZone(w.Config.Params.Zones[0], sim.Micros(p.Cut*1e6))
		}
	})
	leader := d.leader()
	switch {
	case leader < 0:
	case p.Kill == "leader":
		d.restart(leader, p)
	case p.Kill == "follower":
		d.restart((leader+1)%d.Controllers, p)
	case p.Kill == "each":
		for i := range d.Controllers {
			d.restart(i, p)
			time.Sleep(betweenRestarts)
		}
	}
}

// betweenRestarts is the pause between controllers that are restarted in turn.
const betweenRestarts = 2 * time.Second

// restart kills a controller and starts it again.
func (d *deployment) restart(victim int, p *Phase) {
	d.kill(victim)
	time.Sleep(time.Duration(p.Back * float64(time.Second)))
	if err := d.start(victim); err != nil {
		d.report.Broken = append(d.report.Broken, "not started again: "+err.Error())
	}
}

var errMemory = errors.New("the run took more than half of the machine's memory")

// watchMemory ends a run that grows beyond half of the machine's memory.
func (d *deployment) watchMemory() error {
	sum := residentOf(os.Getpid())
	for _, p := range d.procs {
		if p != nil {
			sum += residentOf(p.Process.Pid)
		}
	}
	if sum > totalMemory()/2 {
		return errMemory
	}
	return nil
}

// drainFor is how long users may wait for their last jobs.
const drainFor = 30 * time.Second

// finish lets the last jobs end and judges the run.
func (d *deployment) finish() {
	d.users.drain(drainFor)
	d.simServer.WithWorld(func(w *sim.World) {
		w.Rules.CheckOverdue(w.Now())
		w.Rules.CheckFinal()
		d.report.Broken = append(d.report.Broken, w.Rules.Violations...)
		d.report.recordWaits(w.Rules)
	})
	d.report.Unfinished = d.users.unfinished()
	d.report.Submissions = newQuantiles(d.users.acceptLatency, 1000)
	d.report.Refused = int(d.users.refused.Load())
}
