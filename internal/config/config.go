// Package config reads and validates the platform's settings file (JSON) and derives limits
// of the controller from it. The operators' own settings are in package policy.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"

	"lilacthread/internal/clock"
)

// Peer is another controller of the deployment.
type Peer struct {
	Name string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"endpoint"`
}

// Team holds the guaranteed and the maximum resources of a team; 0 means no guarantee or no
// limit.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective. Kind says what is measured and which of the other
// fields apply: the class of jobs, the time in seconds, the share of the jobs that have to
// meet it, and a factor that the controller does not use.
type Objective struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within float64 `json:"within_s"`
	Share  float64 `json:"share"`
	Times  float64 `json:"times"`
}

// StateLimits are the limits of the state service: requests and writes per second, the size
// of a value in KiB and the operations of a transaction. Next holds the limits after an
// upgrade of the service, whose time is not known; a limit that is missing in Next does not
// change.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	Next     *struct {
		RPS      *float64 `json:"rps"`
		WriteRPS *float64 `json:"write_rps"`
		ValueKB  *float64 `json:"value_kb"`
		TxnOps   *int     `json:"txn_ops"`
	} `json:"next"`
}

// Lowest returns, for each limit, the smaller one of the current and the next value.
func (s StateLimits) Lowest() StateLimits {
	if n := s.Next; n != nil {
		lower(&s.RPS, n.RPS)
		lower(&s.WriteRPS, n.WriteRPS)
		lower(&s.ValueKB, n.ValueKB)
		lower(&s.TxnOps, n.TxnOps)
	}
	s.Next = nil
	return s
}

// lower sets current to next if next is given and smaller.
func lower[T int | float64](current, next *T) {
	if next != nil {
		*current = min(*current, *next)
	}
}

// ValueBytes returns the greatest size of a value in bytes.
func (s StateLimits) ValueBytes() int { return int(s.ValueKB * 1024) }

// Config is the content of the platform's settings file. The struct tags give the names of
// the settings, whose suffixes are their units.
type Config struct {
	Name       string `json:"host_name"`
	Zone       string `json:"location"`
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_listen"`
	Peers      []Peer `json:"peers"`
	Endpoints  struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Size       int         `json:"size"` // number of controllers
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			Report   float64 `json:"report_s"`    // time between two reports of a worker
			Lease    float64 `json:"lease_s"`     // duration of a worker's lease
			GangWait float64 `json:"gang_wait_s"` // how long a task of a gang waits for the others to start
			GangPeer float64 `json:"gang_peer_s"` // how soon the other tasks of a gang stop after one task was lost
			Cancel   float64 `json:"cancel_s"`    // how soon after a user was notified of a cancellation no task of the job may run
		} `json:"workers"`
		State StateLimits `json:"state"`
		Cloud struct {
			RPS     float64 `json:"rps"`
			ListLag float64 `json:"list_lag_s"` // how far the list of machines may lag behind
		} `json:"cloud"`
		Resources struct {
			CPUShare float64 `json:"cpu_share"` // CPUs of this controller
			MemoryMB float64 `json:"memory_mb"`
			FDLimit  int     `json:"fd_limit"` // file descriptors
		} `json:"resources"`
		ClockError float64 `json:"clock_error_ms"` // validated, but not used
	} `json:"params"`
}

// Load reads and validates the settings file at path.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse decodes and validates settings. An error names the first field that is invalid.
func Parse(raw []byte) (*Config, error) {
	c := new(Config)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// check validates the settings.
func (c *Config) check() error {
	params := &c.Params
	required := []struct{ name, value string }{{"host_name", c.Name}, {"location", c.Zone}}
	for _, t := range required {
		if t.value == "" {
			return fmt.Errorf("%s: missing", t.name)
		}
	}
	addrs := []struct{ name, value string }{
		{"listen", c.Listen}, {"peer_listen", c.PeerListen},
		{"endpoints.cloud", c.Endpoints.Cloud}, {"endpoints.state", c.Endpoints.State},
	}
	for i, peer := range c.Peers {
		if peer.Name == "" || peer.Name == c.Name {
			return fmt.Errorf("peers[%d].host_name: %q is empty or the name of this node", i, peer.Name)
		}
		addrs = append(addrs, struct{ name, value string }{fmt.Sprintf("peers[%d].endpoint", i), peer.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not an IP address and port", a.name, a.value)
		}
	}
	type number struct {
		name            string
		value, min, max float64
	}
	numbers := []number{
		{"params.size", float64(params.Size), 1, 99},
		{"params.workers.report_s", params.Workers.Report, 0.05, 600},
		{"params.workers.lease_s", params.Workers.Lease, 1, 3600},
		{"params.workers.gang_wait_s", params.Workers.GangWait, 0, 86400},
		{"params.workers.gang_peer_s", params.Workers.GangPeer, 0, 3600},
		{"params.workers.cancel_s", params.Workers.Cancel, params.Workers.Lease, 86400},
		{"params.state.rps", params.State.RPS, 1, 1e6},
		{"params.state.write_rps", params.State.WriteRPS, 1, 1e6},
		{"params.state.value_kb", params.State.ValueKB, 1, 1024},
		{"params.state.txn_ops", float64(params.State.TxnOps), 4, 10000},
		{"params.cloud.rps", params.Cloud.RPS, 0.01, 1e6},
		{"params.cloud.list_lag_s", params.Cloud.ListLag, 0, 3600},
		{"params.resources.cpu_share", params.Resources.CPUShare, 0.01, 1024},
		{"params.resources.memory_mb", params.Resources.MemoryMB, 32, 1 << 24},
		{"params.resources.fd_limit", float64(params.Resources.FDLimit), 64, 1 << 24},
		{"params.clock_error_ms", params.ClockError, 0, 1e7},
	}
	for i, t := range params.Teams {
		name := fmt.Sprintf("params.teams[%d]", i)
		if t.Name == "" {
			return fmt.Errorf("%s.name: missing", name)
		}
		for _, f := range []struct {
			name  string
			value float64
		}{{".cpus", t.CPUs}, {".cpus_max", t.CPUsMax}, {".gpus", t.GPUs}, {".gpus_max", t.GPUsMax}} {
			numbers = append(numbers, number{name + f.name, f.value, 0, 1e9})
		}
	}
	for i, o := range params.Objectives {
		name := fmt.Sprintf("params.objectives[%d].", i)
		numbers = append(numbers, number{name + "within_s", o.Within, 0, 1e7}, number{name + "share", o.Share, 0, 1})
	}
	if n := params.State.Next; n != nil {
		next := func(name string, v *float64, min, max float64) {
			if v != nil {
				numbers = append(numbers, number{"params.state.next." + name, *v, min, max})
			}
		}
		next("rps", n.RPS, 1, 1e6)
		next("write_rps", n.WriteRPS, 1, 1e6)
		next("value_kb", n.ValueKB, 1, 1024)
		if n.TxnOps != nil {
			ops := float64(*n.TxnOps)
			next("txn_ops", &ops, 4, 10000)
		}
	}
	for _, n := range numbers {
		if math.IsNaN(n.value) || n.value < n.min || n.value > n.max {
			return fmt.Errorf("%s: %v is not between %v and %v", n.name, n.value, n.min, n.max)
		}
	}
	if len(params.Zones) == 0 {
		return fmt.Errorf("params.zones: missing")
	}
	if len(params.Teams) == 0 {
		return fmt.Errorf("params.teams: missing")
	}
	return nil
}

// Classes returns the classes of jobs that the objectives name, without repetitions.
func (c *Config) Classes() []string {
	var out []string
	for _, o := range c.Params.Objectives {
		if o.Class != "" && !slices.Contains(out, o.Class) {
			out = append(out, o.Class)
		}
	}
	return out
}

// ReportInterval returns the time between two reports of a worker.
func (c *Config) ReportInterval() clock.Micros { return clock.FromSeconds(c.Params.Workers.Report) }

// WorkerLease returns the duration of a worker's lease.
func (c *Config) WorkerLease() clock.Micros { return clock.FromSeconds(c.Params.Workers.Lease) }

// MaxCommandBatches returns how many command batches to workers may be in flight. As many
// file descriptors are reserved for their connections.
func (c *Config) MaxCommandBatches() int { return max(c.Params.Resources.FDLimit/16, 8) }

// HostAddr returns the listening address if it is specific to this machine, so that only one
// live process can listen on it. It is empty if the settings name no host (0.0.0.0).
func (c *Config) HostAddr() string {
	if a, err := netip.ParseAddrPort(c.Listen); err != nil || a.Addr().IsUnspecified() {
		return ""
	}
	return c.Listen
}

// ReservedConns returns how many file descriptors are reserved for other uses than users,
// workers and command batches. The constant 44 covers the clients of the state service and
// the cloud, which keep up to 16 connections each, and 12 other files of the process. Each
// peer adds four, for up to two connections in each direction.
func (c *Config) ReservedConns() int { return 44 + 4*len(c.Peers) }

// MaxClientConns returns how many connections of users and workers a node accepts.
func (c *Config) MaxClientConns() int {
	return c.Params.Resources.FDLimit - c.MaxCommandBatches() - c.ReservedConns()
}

// MaxQueuedSubmissions returns how many submissions may wait at a node for the state
// service: as many as the service can write in four seconds, after which users retry, but at
// least 200.
func (c *Config) MaxQueuedSubmissions() int { return max(int(4*c.Params.State.WriteRPS), 200) }

// MaxFinalStates returns how many final job states a node caches; all of them are stored in
// the state service. The cache takes about a fiftieth of the node's memory; it holds at least
// 1000 states.
func (c *Config) MaxFinalRecords() int { return max(int(64*c.Params.Resources.MemoryMB), 1000) }
