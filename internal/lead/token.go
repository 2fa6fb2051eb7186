package lead

import "lilacthread/wire"

// Workers refuse commands with a lower token than the highest they have seen. At the beginning of
// a term the token is the term's number. The leader may raise it within its term, which makes
// workers refuse the commands that it has sent before. A raised token is committed to the term
// key before it is used, so the next term is higher than every token that was ever used, and
// versions that know no raised tokens continue from it.

// Token returns the token of this leader's commands: the highest one committed in its term.
func (e *Elector) Token() uint64 { return e.token }

// NextTokenChange returns the next higher token and the change that records it. The caller commits
// the change in a transaction with Guard before it calls AdoptToken.
func (e *Elector) NextTokenChange() (uint64, wire.Change) {
	next := e.token + 1
	return next, wire.Change{PutKey: TermKey, Value: wire.Encode(&termRecord{next})}
}

// AdoptToken makes a committed token that of this leader's commands. It ignores lower ones.
func (e *Elector) AdoptToken(token uint64) { e.token = max(e.token, token) }
