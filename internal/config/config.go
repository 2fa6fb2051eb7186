// Package config reads and checks the platform's settings file.
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

// Peer is another controller.
type Peer struct {
	Name string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"endpoint"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one aim of the users.
type Objective struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within float64 `json:"within_s"`
	Share  float64 `json:"share"`
	Times  float64 `json:"times"`
}

// State is the limits of the state service. Next, if given, holds those that
// it will have from some moment after an upgrade; a limit that is missing there
// stays as it is.
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

// Lowest is the smaller of the present and the next limits, each for itself.
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

func lower[T int | float64](current, next *T) {
	if next != nil {
		*current = min(*current, *next)
	}
}

// ValueBytes is the size of the largest value.
func (s StateLimits) ValueBytes() int { return int(s.ValueKB * 1024) }

// Config is the platform's settings file.
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
		Size       int         `json:"size"`
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			Report   float64 `json:"report_s"`
			Lease    float64 `json:"lease_s"`
			GangWait float64 `json:"gang_wait_s"`
			GangPeer float64 `json:"gang_peer_s"`
			Cancel   float64 `json:"cancel_s"`
		} `json:"workers"`
		State StateLimits `json:"state"`
		Cloud struct {
			RPS     float64 `json:"rps"`
			ListLag float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Resources struct {
			CPUShare float64 `json:"cpu_share"`
			MemoryMB float64 `json:"memory_mb"`
			FDLimit  int     `json:"fd_limit"`
		} `json:"resources"`
		ClockError float64 `json:"clock_error_ms"`
	} `json:"params"`
}

// Load reads the file at path and checks it.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse reads settings; the error names the first field that is wrong.
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
			return fmt.Errorf("peers[%d].host_name: %q is missing or this node's own", i, peer.Name)
		}
		addrs = append(addrs, struct{ name, value string }{fmt.Sprintf("peers[%d].endpoint", i), peer.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not an address and port", a.name, a.value)
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

// Classes lists the classes of jobs that the objectives name.
func (c *Config) Classes() []string {
	var out []string
	for _, o := range c.Params.Objectives {
		if o.Class != "" && !slices.Contains(out, o.Class) {
			out = append(out, o.Class)
		}
	}
	return out
}

// ReportEvery is the workers' report interval.
func (c *Config) ReportInterval() clock.Micros { return clock.FromSeconds(c.Params.Workers.Report) }

// WorkerLease is the lease of a worker.
func (c *Config) WorkerLease() clock.Micros { return clock.FromSeconds(c.Params.Workers.Lease) }

// OrderLimit is how many orders to workers may be under way at once; so many
// sockets are kept for them.
func (c *Config) MaxCommandBatches() int { return max(c.Params.Resources.FDLimit/16, 8) }

// OwnAddr is the address that only a process on this machine can listen at, and so only
// one at a time; empty if the settings name no machine (0.0.0.0).
func (c *Config) HostAddr() string {
	if a, err := netip.ParseAddrPort(c.Listen); err != nil || a.Addr().IsUnspecified() {
		return ""
	}
	return c.Listen
}

// Reserved is how many sockets are kept back for the state service and the cloud, whose
// clients keep 16 open each, and for the peers, two each way.
func (c *Config) ReservedConns() int { return 44 + 4*len(c.Peers) }

// Served is how many connections of users and workers a node takes.
func (c *Config) MaxClientConns() int {
	return c.Params.Resources.FDLimit - c.MaxCommandBatches() - c.ReservedConns()
}

// MaxWaiting is how many submissions may wait at a node for the state service: what it
// takes in four seconds, after which users ask again.
func (c *Config) MaxQueuedSubmissions() int { return max(int(4*c.Params.State.WriteRPS), 200) }

// MaxFinals is how many final states a node remembers; all are in the state service. They
// take a fiftieth of its memory or so.
func (c *Config) MaxFinalStates() int { return max(int(64*c.Params.Resources.MemoryMB), 1000) }
