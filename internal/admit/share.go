package admit

import (
	"math"

	"lilacthread/internal/clock"
	"lilacthread/internal/quota"
)

// TeamShares detects overload, which is more work than the machines can do in time, and
// divides the machines among teams by their guarantees while it lasts. Within a team,
// ObjectiveTracker sets the order.
type TeamShares struct {
	accounts        *AccountIndex
	teams           []Team
	settings        Settings
	Overloaded      bool   // whether overload mode is on
	modeChangeSince Micros // since when the other mode has been indicated; clock.Forever while it is not
}

// Team is a team's entry in the settings.
type Team struct {
	Name      string
	Guarantee float64 // CPUs
	Limit     float64 // CPUs; 0 means no limit
}

// Settings are the operators' settings of admission.
type Settings struct {
	Enabled              bool
	MinServedShare       float64            // share of each account's jobs that is served before all other jobs
	ClassMinServedShares map[string]float64 // by class: overrides MinServedShare
	MaxQueueWait         Micros             // a submission that would wait longer in the queue is refused at once
	OverloadBacklog      Micros             // backlog, as time of all machines, at which overload begins; 0 derives it from the objectives
}

// AccountMinServedShares returns the minimum served share of each account, by number.
func (s Settings) AccountMinServedShares(accounts *AccountIndex) []float64 {
	shares := make([]float64, accounts.Len())
	for i, a := range accounts.Accounts {
		shares[i] = s.MinServedShare
		if share, ok := s.ClassMinServedShares[a.Class]; ok {
			shares[i] = share
		}
	}
	return shares
}

// overloadThreshold returns the backlog at which overload begins: a quarter of the shortest
// of the longest target times of the accounts that have demand. The usual order serves a
// smaller backlog in time. The demands do not include services, whose target times are only
// a few seconds.
func (s *TeamShares) overloadThreshold(demands []Demand) Micros {
	if s.settings.OverloadBacklog > 0 {
		return s.settings.OverloadBacklog
	}
	shortest := clock.Forever
	for a, target := range s.accounts.LongestTargets {
		if target > 0 && demands[a].Held+demands[a].Waiting > 0 {
			shortest = min(shortest, target)
		}
	}
	if shortest == clock.Forever {
		return defaultOverloadBacklog
	}
	return max(shortest/4, minOverloadBacklog)
}

const (
	defaultOverloadBacklog = 75 * clock.Second
	minOverloadBacklog     = 60 * clock.Second // while a fleet starts, even more work can wait only for machines to boot
	modeChangeDelay        = 3 * clock.Second  // how long a mode change must be indicated before it is made
)

// NewTeamShares returns the shares of a deployment, not overloaded.
func NewTeamShares(accounts *AccountIndex, teams []Team, settings Settings) *TeamShares {
	return &TeamShares{accounts: accounts, teams: teams, settings: settings, modeChangeSince: clock.Forever}
}

// Demand is what an account's unfinished jobs, services excluded, ask of the machines.
type Demand struct {
	Held          float64 // CPUs held by its running tasks
	Waiting       float64 // CPUs that its waiting tasks ask for
	RemainingWork float64 // CPU-seconds of both that remain
}

// Entitlement is what an account is entitled to, in CPUs: MinShare by its minimum served
// share, and Share by its team's share of the machines.
type Entitlement struct {
	MinShare, Share float64
}

// milli is the number of thousandths in a unit.
const milli = 1000

// Evaluate updates Overloaded and returns each team's share of capacity, both in CPUs.
// capacity covers machines for work that is not production, running or booting; canRent
// says whether more machines can be rented. Outside overload, Evaluate returns nil and the
// usual order serves all teams.
func (s *TeamShares) Evaluate(now Micros, capacity float64, canRent bool, demands []Demand) []float64 {
	if !s.settings.Enabled || len(demands) != s.accounts.Len() {
		s.Overloaded = false
		return nil
	}
	var held, waiting, work float64
	for _, d := range demands {
		held, waiting, work = held+d.Held, waiting+d.Waiting, work+d.RemainingWork
	}
	// The backlog is the waiting work, as the time that all machines would take for it.
	backlog := Micros(0)
	if total := held + waiting; total > 0 && capacity > 0 {
		backlog = clock.FromSeconds(math.Min(work*waiting/total/capacity, 1e9))
	}
	threshold := s.overloadThreshold(demands)
	overloaded := backlog > threshold && !canRent
	if s.Overloaded {
		overloaded = backlog > threshold/3
	}
	if overloaded == s.Overloaded {
		s.modeChangeSince = clock.Forever
	} else if s.modeChangeSince = min(s.modeChangeSince, now); now-s.modeChangeSince >= modeChangeDelay {
		s.Overloaded, s.modeChangeSince = overloaded, clock.Forever
	}
	if !s.Overloaded {
		return nil
	}
	return s.divide(capacity, demands)
}

// divide splits capacity among the teams by guarantee, up to their limits and demands.
func (s *TeamShares) divide(capacity float64, demands []Demand) []float64 {
	requests := make([]quota.Request, len(s.teams))
	for t, team := range s.teams {
		for a, account := range s.accounts.Accounts {
			if account.Team == team.Name {
				requests[t].Demand += milliCPUs(demands[a].Held + demands[a].Waiting)
			}
		}
		if team.Limit > 0 {
			requests[t].Demand = min(requests[t].Demand, milliCPUs(team.Limit))
		}
		requests[t].Weight = max(milliCPUs(team.Guarantee), 1)
	}
	shares := make([]float64, len(s.teams))
	for t, share := range quota.Divide(milliCPUs(capacity), requests) {
		shares[t] = float64(share) / milli
	}
	return shares
}

// milliCPUs converts CPUs to thousandths of a CPU.
func milliCPUs(cpus float64) int64 {
	return int64(math.Min(math.Max(cpus, 0)*milli, float64(quota.MaxAmount)))
}
