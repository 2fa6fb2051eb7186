// Package admit judges, under overload, whose work is taken in and placed first:
// what each account may take of the machines and of the state service, the table on
// which all controllers agree, the queue of submissions and what a refused user is
// told. It is pure: no I/O and no clock; the caller hands it the time.
package admit

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lilacthread/internal/clock"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// Account is whose work is counted together: a class of jobs of a team. Classes that
// no objective names share one account a team, with an empty class, so that users
// can't make accounts.
type Account struct {
	Team, Class string
}

// Aim is what the settings say of a class that matters to admission.
type Objective struct {
	Class  string
	Within Micros // of an objective: a start or an end is wanted within this time
}

// AccountIndex numbers the accounts of a deployment. All nodes have the same settings, so
// all have the same numbers; Digest tells an index made from others apart.
type AccountIndex struct {
	Accounts        []Account
	LongestTargets  []Micros // by account: the widest aim of its class, or 0
	Digest          uint32
	byAccount       map[Account]int
	defaultAccounts map[string]int // the account of a team's other classes
}

// NewAccountIndex makes the accounts of the teams, which are not empty, and of the classes
// that the aims name.
func NewAccountIndex(teams []string, objectives []Objective) *AccountIndex {
	b := &AccountIndex{byAccount: map[Account]int{}, defaultAccounts: map[string]int{}}
	longest := map[string]Micros{}
	for _, a := range objectives {
		if a.Class != "" {
			longest[a.Class] = max(longest[a.Class], a.Within)
		}
	}
	sum := xxhash.New()
	add := func(a Account) {
		b.byAccount[a] = len(b.Accounts)
		b.Accounts, b.LongestTargets = append(b.Accounts, a), append(b.LongestTargets, longest[a.Class])
		sum.WriteString(a.Team + "\x00" + a.Class + "\x00")
	}
	teams = slices.Clone(teams)
	slices.Sort(teams)
	for _, team := range slices.Compact(teams) {
		b.defaultAccounts[team] = len(b.Accounts)
		add(Account{Team: team})
		for _, class := range slices.Sorted(maps.Keys(longest)) {
			add(Account{Team: team, Class: class})
		}
	}
	b.Digest = uint32(sum.Sum64())
	return b
}

// Of numbers the account of a job; -1 if the team is unknown.
func (b *AccountIndex) IndexOf(team, class string) int {
	if i, ok := b.byAccount[Account{team, class}]; ok {
		return i
	}
	if i, ok := b.defaultAccounts[team]; ok {
		return i
	}
	return -1
}

// Len is how many accounts there are.
func (b *AccountIndex) Len() int { return len(b.Accounts) }
