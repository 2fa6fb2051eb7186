// Package lab2 holds the stand-ins of the second review's cases: a state service, a cloud,
// workers and users on loopback and the real clock, and the controllers as processes of their
// own. The stand-ins follow the users' protocol page and do nothing that it doesn't allow. A
// case adds its disruption through the fields and methods that say so.
package lab2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacthread/internal/config"
	"lilacthread/wire"
)

// Exit codes of a case.
const (
	Held    = 0 // the rule held
	Broken  = 1 // the rule was broken
	Unable  = 2 // the case could not run
	maxTime = 112 * time.Second
)

// Lab is a small deployment with its stand-ins.
type Lab struct {
	Config    config.Config
	State     *State
	Cloud     *Cloud
	Nodes     []*Node
	Trouble   bool // false with TROUBLE=0: the case must not cause its disruption
	dir       string
	program   []string // words of the deploy file's run command
	start     time.Time
	mu        sync.Mutex // guards the fields below and everything in State, Cloud and Worker
	record    *os.File
	jobs      map[string]*Job
	onMachine map[string]map[string]bool // by task: the machines that it is on
	finish    sync.Once
	Twice     []string // tasks that started on a machine while they were on another
}

// Node is one controller.
type Node struct {
	Name, Zone string
	Listen     string
	PeerListen string
	lab        *Lab
	settings   string
	stateAddr  string
	FDLimit    int // if not 0, the process gets this limit of file descriptors
	cmd        *exec.Cmd
	exited     chan struct{} // closed when the process has ended
	killed     bool          // the lab ended it
	err        error         // of the ended process
}

// Job is a job that a user has submitted or is about to submit.
type Job struct {
	wire.Job
	Run      time.Duration // run time of a task; 0: it runs until it is stopped
	Accepted bool
	done     map[string]bool
	failed   int       // task attempts that failed
	Started  time.Time // when its first task started to run on a machine
}

// New prepares a deployment like dalaleks-almaty of the users' brief, with the given number of
// controllers in the given zones and, beside the case's folder, its record.
func New(controllers int, zones ...string) *Lab {
	folder := os.Getenv("CASE")
	if folder == "" {
		folder = "."
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), jobs: map[string]*Job{}, onMachine: map[string]map[string]bool{}}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		l.Fail("%v", err)
	}
	if l.dir, err = os.MkdirTemp("", "lilacthread-review-"); err != nil {
		l.Fail("%v", err)
	}
	if raw, err := os.ReadFile("deploy/service.toml"); err != nil {
		l.Fail("%v", err)
	} else {
		for _, line := range strings.Split(string(raw), "\n") {
			if value, ok := strings.CutPrefix(line, "run = "); ok {
				l.program = strings.Fields(strings.Trim(value, `"`))
			}
		}
	}
	if len(l.program) == 0 {
		l.Fail("deploy/service.toml has no run command")
	}
	l.setDefaults(controllers, zones)
	l.State = newState(l)
	l.Cloud = newCloud(l)
	for i := range controllers {
		l.Nodes = append(l.Nodes, &Node{lab: l, Name: fmt.Sprintf("spindle-%d", i), Zone: zones[i%len(zones)]})
	}
	time.AfterFunc(maxTime, func() { l.Fail("out of time") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		l.Fail("stopped from outside")
	}()
	return l
}

// setDefaults fills the settings with those of the users' example in DEPLOY.
func (l *Lab) setDefaults(controllers int, zones []string) {
	p := &l.Config.Params
	p.Size, p.Zones = controllers, zones
	p.Teams = []config.Team{{Name: "media-ops"}}
	p.Objectives = []config.Objective{
		{Kind: "wait", Class: "hall-ingest", Within: 4, Share: 0.92},
		{Kind: "finished", Class: "lecture-transcode", Within: 120, Share: 0.9},
		{Kind: "finished", Class: "footage-sweep", Within: 250, Share: 0.92},
	}
	p.Workers.Report, p.Workers.Lease, p.Workers.GangWait, p.Workers.GangPeer, p.Workers.Cancel = 1, 10, 50, 4, 40
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 250, 100, 32, 32
	p.Cloud.RPS, p.Cloud.ListLag = 2, 3
	p.Resources.CPUShare, p.Resources.MemoryMB, p.Resources.FDLimit = 0.096, 98, 900
	p.ClockError = 25
}

// Now returns the time since the start of the case.
func (l *Lab) Now() time.Duration { return time.Since(l.start) }

// Note writes a line to the record and to standard output.
func (l *Lab) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", l.Now().Seconds(), fmt.Sprintf(format, args...))
	if l.record != nil {
		l.record.WriteString(line)
	}
	fmt.Print(line)
}

// Log writes a line to the record only.
func (l *Lab) Log(format string, args ...any) {
	if l.record != nil {
		fmt.Fprintf(l.record, "%8.3f  %s\n", l.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// Fail ends the case because it could not run.
func (l *Lab) Fail(format string, args ...any) {
	l.End(Unable, "the case could not run: "+format, args...)
}

// End notes the result, ends all processes and exits with the code.
func (l *Lab) End(code int, format string, args ...any) {
	l.finish.Do(func() {
		l.Note("result %d: %s", code, fmt.Sprintf(format, args...))
		for _, n := range l.Nodes {
			n.Kill()
		}
		if l.dir != "" {
			os.RemoveAll(l.dir)
		}
		if l.record != nil {
			l.record.Close()
		}
		os.Exit(code)
	})
	select {} // another goroutine ends the case
}

// Start starts the stand-ins and all controllers.
func (l *Lab) Start() {
	for _, n := range l.Nodes {
		n.Listen, n.PeerListen = l.freePort(), l.freePort()
		n.stateAddr = l.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.State.serve(n.Name, w, r) }))
	}
	cloudAddr := l.serve(http.HandlerFunc(l.Cloud.serve))
	go l.Cloud.run()
	go l.State.run()
	for _, n := range l.Nodes {
		c := l.Config
		c.Name, c.Zone, c.Listen, c.PeerListen = n.Name, n.Zone, n.Listen, n.PeerListen
		c.Endpoints.Cloud, c.Endpoints.State = cloudAddr, n.stateAddr
		for _, other := range l.Nodes {
			if other != n {
				c.Peers = append(c.Peers, config.Peer{Name: other.Name, Zone: other.Zone, Addr: other.PeerListen})
			}
		}
		raw, err := json.Marshal(&c)
		n.settings = filepath.Join(l.dir, n.Name+".json")
		if err == nil {
			err = os.WriteFile(n.settings, raw, 0o600)
		}
		if err != nil {
			l.Fail("%v", err)
		}
	}
	for _, n := range l.Nodes {
		n.Start()
	}
}

// freePort returns a loopback address where nothing listens at present, below the range that
// the system uses for outgoing connections.
func (l *Lab) freePort() string {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if ln, err := net.Listen("tcp4", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	l.Fail("no free port")
	return ""
}

// serve serves a handler on a loopback port of its own and returns the address.
func (l *Lab) serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Fail("%v", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go srv.Serve(ln)
	return ln.Addr().String()
}

// Start starts the controller's process with the run command of the deploy file.
func (n *Node) Start() {
	args := append(append([]string{}, n.lab.program[1:]...), n.settings)
	cmd := exec.Command(n.lab.program[0], args...)
	if n.FDLimit > 0 {
		words := append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, n.FDLimit), n.lab.program[0]}, args...)
		cmd = exec.Command("/bin/sh", words...)
	}
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.lab.Fail("%v", err)
	}
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if level := os.Getenv("CASE_LOG_LEVEL"); level != "" {
		cmd.Env = append(cmd.Env, "LOG_LEVEL="+level)
	}
	if err := cmd.Start(); err != nil {
		n.lab.Fail("%v", err)
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.killed = cmd, exited, false
	n.lab.Note("%s started", n.Name)
	go func() {
		n.err = cmd.Wait()
		log.Close()
		close(exited)
	}()
}

// Kill kills the controller's process, if it runs, and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil || n.Ended() {
		return
	}
	n.killed = true
	n.cmd.Process.Kill()
	<-n.exited
}

// Ended reports whether the controller's process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// EndedByItself reports whether the controller's process has ended although nobody killed it,
// and how.
func (n *Node) EndedByItself() (string, bool) {
	if n.cmd == nil || !n.Ended() || n.killed {
		return "", false
	}
	return fmt.Sprint(n.err), true
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// LogText returns what the controller has written to standard error.
func (n *Node) LogText() string {
	raw, _ := os.ReadFile(filepath.Join(n.lab.dir, n.Name+".log"))
	return string(raw)
}

// node returns the controller with the given name, or nil.
func (l *Lab) node(name string) *Node {
	for _, n := range l.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Leader returns the controller that the leader key names, or nil.
func (l *Lab) Leader() *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.State.items["lead/key"]
	var rec struct {
		Node string `msgpack:"node"`
	}
	if it == nil || wire.Decode(it.value, &rec) != nil {
		return nil
	}
	return l.node(rec.Node)
}

// Await polls a condition every 50 ms and fails the case if it doesn't hold in time.
func (l *Lab) Await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, n := range l.Nodes {
				l.Log("log of %s:\n%s", n.Name, n.LogText())
			}
			l.Fail("waited in vain for: %s", what)
		}
	}
	l.Note("%s", what)
}

// AwaitReady waits until all controllers answer health checks with 200 and one leads.
func (l *Lab) AwaitReady() {
	l.Await("all controllers are ready and one leads", 30*time.Second, func() bool {
		for _, n := range l.Nodes {
			if status, _ := call(http.MethodGet, "http://"+n.Listen+"/ready", nil, nil, time.Second); status != http.StatusOK {
				return false
			}
		}
		return l.Leader() != nil
	})
}
