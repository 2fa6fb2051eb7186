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

// Usage is what a process has taken since its start, and holds now.
type Usage struct {
	CPU      time.Duration // user and system
	CPUWait  time.Duration // ready to run, but without a core
	Resident int64         // bytes
	Sockets  int
	IOBytes  int64 // bytes read and written
}

// ticksPerSecond is the unit of processor time in /proc, fixed by Linux for user space.
const ticksPerSecond = 100

// usageOf reads the kernel's account of a process.
func readUsage(pid int) (Usage, error) {
	var u Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the name may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return u, fmt.Errorf("%s/stat: %d fields", dir, len(fields))
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

// residentOf is what a process holds of the memory; 0 of one that has just ended.
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

// number reads a whole number of a line of the kernel's; 0 if it is none.
func parseInt(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// checkMachine refuses a run for which the machine's memory or this process's sockets
// would not do.
func (s *Scenario) checkHost() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if need := uint64(s.Workers*workerSockets + otherSockets); need > limit.Cur {
		return fmt.Errorf("%d workers need %d open files, this process may have %d (ulimit -n)", s.Workers, need, limit.Cur)
	}
	if need := int64(s.Workers)*workerBytes + int64(s.Controllers)*int64(s.MemoryMB)<<20; need > totalMemory()/2 {
		return fmt.Errorf("%d workers and %d controllers need up to %d MB, half of this machine's memory is %d MB",
			s.Workers, s.Controllers, need>>20, totalMemory()>>21)
	}
	return nil
}

const (
	workerSockets = 4 // a listener, a connection to a controller, orders
	otherSockets  = 1000
	workerBytes   = 300 << 10 // of a hollow one, measured with room to spare
)

// memory is the machine's, in bytes.
func totalMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
