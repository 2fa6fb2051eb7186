// Package lab is what the cases of the review share: it starts controllers as real processes
// with the command of the deploy file against the project's stand-ins on loopback, sends the
// requests of users, and keeps a record of what was sent, answered and run.
package lab

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacthread/internal/config"
	"lilacthread/internal/rpc"
	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// Exit codes of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case could not run
)

// Lab is a running deployment with its record.
type Lab struct {
	Trouble bool // false with TROUBLE=0
	Server  *sim.RealTimeServer
	Configs []config.Config
	Procs   []*exec.Cmd
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	dir     string
}

// Start opens the record and starts one controller for each node of the world. It must be
// called once. The caller ends the deployment with Finish.
func Start(w *sim.World) (*Lab, error) { return StartWith(w, sim.Deploy) }

// StartWith is Start with another function in place of sim.Deploy.
func StartWith(w *sim.World, deploy func(*sim.World) (*sim.RealTimeServer, []config.Config, error)) (*Lab, error) {
	recordPath := flag.String("record", "record.txt", "where to write the record")
	program := flag.String("program", "target/lilacthread", "the built daemon")
	flag.Parse()
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(*recordPath); err != nil {
		return nil, err
	}
	if l.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if l.Server, l.Configs, err = deploy(w); err != nil {
		return l, err
	}
	if _, err := os.Stat(*program); err != nil {
		return l, errors.New("the daemon is not built")
	}
	l.Printf("disruption on: %v", l.Trouble)
	for i := range l.Configs {
		path := filepath.Join(l.dir, l.Configs[i].Name+".json")
		raw, err := json.Marshal(&l.Configs[i])
		if err == nil {
			err = os.WriteFile(path, raw, 0o600)
		}
		if err != nil {
			return l, err
		}
		log, err := os.Create(filepath.Join(l.dir, l.Configs[i].Name+".log"))
		if err != nil {
			return l, err
		}
		cmd := exec.Command(*program, "--with", "admission", "--with", "relay", "--config", path)
		cmd.Stderr = log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return l, err
		}
		l.Procs = append(l.Procs, cmd)
	}
	return l, nil
}

// Elapsed returns the time since the start.
func (l *Lab) Elapsed() time.Duration { return time.Since(l.start) }

// Printf adds a line to the record, with the time since the start.
func (l *Lab) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// AwaitReady waits until all controllers answer GET /ready with 200.
func (l *Lab) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for i := range l.Configs {
		for l.Ready(i) != 200 {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// Ready returns the status of GET /ready at a controller, 0 without an answer within 1 s.
func (l *Lab) Ready(i int) int {
	status, _, _, err := rpc.NewSingleUse(l.Configs[i].Listen).Call("GET", "/ready", nil, nil, time.Second)
	if err != nil {
		return 0
	}
	return status
}

// CPUSeconds returns the processor time that a controller has used so far.
func (l *Lab) CPUSeconds(i int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.Procs[i].Process.Pid))
	if err != nil {
		return -1
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	var user, system float64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return (user + system) / 100
}

// Request sends a user's request to a controller on a connection of its own and returns the
// status, 0 without an answer in time.
func (l *Lab) Request(node int, method, path string, body any, limit time.Duration) (int, wire.JobStatus) {
	var status wire.JobStatus
	code, _, _, err := rpc.NewSingleUse(l.Configs[node].Listen).Call(method, path, body, &status, limit)
	if err != nil {
		code = 0
	}
	return code, status
}

// Logs copies the log lines of the controllers that contain one of the words to the record.
func (l *Lab) Logs(words ...string) {
	for i := range l.Configs {
		raw, _ := os.ReadFile(filepath.Join(l.dir, l.Configs[i].Name+".log"))
		for _, line := range strings.Split(string(raw), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					l.Printf("log of %s: %s", l.Configs[i].Name, line)
					break
				}
			}
		}
	}
}

// Finish ends all processes, writes the verdict and exits with the code.
func (l *Lab) Finish(code int, format string, args ...any) {
	if l == nil {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
		os.Exit(code)
	}
	for _, cmd := range l.Procs {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		cmd.Wait()
	}
	if l.Server != nil {
		l.Server.Close()
	}
	verdict := [...]string{"HELD", "BROKEN", "CANNOT RUN"}[code]
	l.Printf("%s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, args...))
	l.record.Close()
	os.RemoveAll(l.dir)
	os.Exit(code)
}
