// Package admit decides, under overload, which submissions are accepted and which jobs
// are placed first. It computes each account's share of the machines and of the state
// service's write rate, the admission table that all controllers share, the submission
// queue, and the retry time of a refused submission. It does no I/O and reads no clock:
// the caller passes the time. It neither places tasks nor writes records.
package admit

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lilacthread/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Account is the unit of accounting: one class of jobs of one team. All classes of a team
// that no objective names share one account, whose Class is empty, so that users cannot
// create accounts by inventing class names.
type Account struct {
	Team, Class string
}

// Objective is the part of a class's service-level objective that admission uses.
type Objective struct {
	Class  string
	Within Micros // target time for the start or the end of a job
}

// AccountIndex numbers the accounts of a deployment. All controllers have the same settings
// and therefore the same numbers; Digest differs between indexes made from different
// settings.
type AccountIndex struct {
	Accounts        []Account
	LongestTargets  []Micros // by account: the longest target time of its class, or 0 if it has none
	Digest          uint32
	byAccount       map[Account]int
	defaultAccounts map[string]int // by team: the account of all classes that no objective names
}

// NewAccountIndex numbers the accounts of the given teams, whose names must not be empty,
// and of the classes that the objectives name.
func NewAccountIndex(teams []string, objectives []Objective) *AccountIndex {
	index := &AccountIndex{byAccount: map[Account]int{}, defaultAccounts: map[string]int{}}
	longest := map[string]Micros{}
	for _, objective := range objectives {
		if objective.Class != "" {
			longest[objective.Class] = max(longest[objective.Class], objective.Within)
		}
	}
	digest := xxhash.New()
	add := func(account Account) {
		index.byAccount[account] = len(index.Accounts)
		index.Accounts, index.LongestTargets = append(index.Accounts, account), append(index.LongestTargets, longest[account.Class])
		digest.WriteString(account.Team + "\x00" + account.Class + "\x00")
	}
	teams = slices.Clone(teams)
	slices.Sort(teams)
	for _, team := range slices.Compact(teams) {
		index.defaultAccounts[team] = len(index.Accounts)
		add(Account{Team: team})
		for _, class := range slices.Sorted(maps.Keys(longest)) {
			add(Account{Team: team, Class: class})
		}
	}
	index.Digest = uint32(digest.Sum64())
	return index
}

// IndexOf returns the account number of a job, or -1 if the team is unknown.
func (index *AccountIndex) IndexOf(team, class string) int {
	if i, ok := index.byAccount[Account{team, class}]; ok {
		return i
	}
	if i, ok := index.defaultAccounts[team]; ok {
		return i
	}
	return -1
}

// Len returns the number of accounts.
func (index *AccountIndex) Len() int { return len(index.Accounts) }
