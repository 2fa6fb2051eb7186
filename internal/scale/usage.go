package scale

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is the resource usage of a process: CPU time and I/O since its start, and the memory
// and sockets that it holds now.
type Usage struct {
	CPU      time.Duration // user and system time
	CPUWait  time.Duration // time its present threads were ready to run but had no core
	Resident int64         // bytes of resident memory
	Sockets  int           // open sockets
	IOBytes  int64         // bytes read and written by system calls, sockets included
}

// ticksPerSecond is the rate of the clock ticks in which /proc gives CPU time. Linux fixes it
// at 100 for user space.
const ticksPerSecond = 100

// readUsage reads the resource usage of a process from /proc. It fails only if the process does
// not exist or its stat file is invalid; other values that can't be read stay zero.
func readUsage(pid int) (Usage, error) {
	var u Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the process name before ") " may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return u, fmt.Errorf("%s/stat: %d fields after the process name, want at least 22", dir, len(fields))
	}
	ticks := parseInt(fields[11]) + parseInt(fields[12])
	u.CPU = time.Duration(ticks) * time.Second / ticksPerSecond
	u.Resident = residentBytes(pid)
	if fds, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		for _, fd := range fds {
			if target, err := os.Readlink(filepath.Join(dir, "fd", fd.Name())); err == nil && strings.HasPrefix(target, "socket:") {
				u.Sockets++
			}
		}
	}
	if io, err := os.ReadFile(filepath.Join(dir, "io")); err == nil {
		for line := range strings.Lines(string(io)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name == "rchar" || name == "wchar" {
				u.IOBytes += parseInt(value)
			}
		}
	}
	threads, _ := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	for _, name := range threads {
		if raw, err := os.ReadFile(name); err == nil {
			if parts := bytes.Fields(raw); len(parts) == 3 {
				u.CPUWait += time.Duration(parseInt(string(parts[1])))
			}
		}
	}
	return u, nil
}

// residentBytes returns the resident memory of a process, or 0 if the process does not exist.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	return parseInt(fields[1]) * int64(os.Getpagesize())
}

// parseInt parses a decimal integer and returns 0 if the text is invalid.
func parseInt(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// checkHost returns an error if the run could need more open files than this process may have,
// or more than half of the memory of the machine.
func (s *Scenario) checkHost() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if need := uint64(s.Workers*workerSockets + otherSockets); need > limit.Cur {
		return fmt.Errorf("%d workers need %d open files, but the limit of this process is %d (ulimit -n)", s.Workers, need, limit.Cur)
	}
	if need := int64(s.Workers)*workerBytes + int64(s.Controllers)*int64(s.MemoryMB)<<20; need > totalMemory()/2 {
		return fmt.Errorf("%d workers and %d controllers need up to %d MB, but half of this machine's memory is %d MB",
			s.Workers, s.Controllers, need>>20, totalMemory()>>21)
	}
	return nil
}

// Upper bounds of what the simulated environment needs in this process.
const (
	workerSockets = 4         // per worker: a listener, a connection to a controller, connections for command batches
	otherSockets  = 1000      // state service, cloud and users
	workerBytes   = 300 << 10 // memory per simulated worker, with a margin
)

// totalMemory returns the memory of the machine in bytes, or 0 if it can't be read.
func totalMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
