package admit

import (
	"math"

	"lilacthread/internal/clock"
	"lilacthread/internal/quota"
)

// Shares settles when there is more to do than the machines can take, and how much of
// them each team is due then, by its guarantee. Within a team Served says who goes first.
type TeamShares struct {
	accounts        *AccountIndex
	teams           []Team
	settings        Settings
	Overloaded      bool   // overloaded now
	modeChangeSince Micros // since when the other mode is called for; clock.Forever while it is not
}

// Team is what the settings say of one.
type Team struct {
	Name      string
	Guarantee float64 // CPUs
	Limit     float64 // CPUs; 0: none
}

// Rules are the operators' settings of admission.
type Settings struct {
	Enabled              bool
	MinServedShare       float64            // part of each account's jobs that is served before all else
	ClassMinServedShares map[string]float64 // of classes: their parts instead
	MaxQueueWait         Micros             // a submission that would wait longer is refused at once
	OverloadBacklog      Micros             // overload begins when the work waiting takes this long; 0: from the aims
}

// Floors are the parts of their jobs that the accounts are to be served, in turn.
func (r Settings) AccountMinServedShares(accounts *AccountIndex) []float64 {
	shares := make([]float64, accounts.Len())
	for i, a := range accounts.Accounts {
		shares[i] = r.MinServedShare
		if share, ok := r.ClassMinServedShares[a.Class]; ok {
			shares[i] = share
		}
	}
	return shares
}

// begins is when work waiting means overload: a quarter of the narrowest of the widest
// aims of those who ask. What waits less than that is reached in time in the usual
// order. Services are not among the demands: their aims are a few seconds.
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
	minOverloadBacklog     = 60 * clock.Second // while a fleet starts, more than that can wait for its boots
	modeChangeDelay        = 3 * clock.Second  // how long a change of mode must be called for
)

// NewShares makes the shares of a deployment.
func NewTeamShares(accounts *AccountIndex, teams []Team, settings Settings) *TeamShares {
	return &TeamShares{accounts: accounts, teams: teams, settings: settings, modeChangeSince: clock.Forever}
}

// Demand is what an account's unfinished work, services aside, asks of the machines.
type Demand struct {
	Held          float64 // CPUs that its tasks hold
	Waiting       float64 // CPUs that its waiting tasks ask for
	RemainingWork float64 // CPU-seconds of both that are yet to do
}

// Due is what an account is due, in CPUs: by its floor, and by its team's share.
type Entitlement struct {
	MinShare, Share float64
}

const milli = 1000

// Judge works out what the teams are due of capacity CPUs, which is what machines have
// for work that is not production, up or on their way. room tells whether machines can
// still be rented. It reports nil, and leaves Over false, while the usual order serves
// everybody.
func (s *TeamShares) Evaluate(now Micros, capacity float64, canRent bool, demands []Demand) []float64 {
	if !s.settings.Enabled || len(demands) != s.accounts.Len() {
		s.Overloaded = false
		return nil
	}
	var held, waiting, work float64
	for _, d := range demands {
		held, waiting, work = held+d.Held, waiting+d.Waiting, work+d.RemainingWork
	}
	// The work that waits, measured by how long all machines would take for it.
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

// divide shares out among the teams, by guarantee and up to their limits.
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

// units is thousandths of a CPU.
func milliCPUs(cpus float64) int64 {
	return int64(math.Min(math.Max(cpus, 0)*milli, float64(quota.MaxAmount)))
}
