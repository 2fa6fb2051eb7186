package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/admit"
	"lilacthread/wire/fb"
)

func encodeNotice(b *flatbuffers.Builder, n *admit.Notice) flatbuffers.UOffsetT {
	if n == nil {
		return 0
	}
	fb.NoticeStartAccountsVector(b, len(n.Accounts))
	for i := len(n.Accounts) - 1; i >= 0; i-- {
		a := &n.Accounts[i]
		fb.CreateArrivals(b, a.Rate, a.Queued, a.Refused)
	}
	accounts := b.EndVector(len(n.Accounts))
	fb.NoticeStartToldVector(b, len(n.Refusals))
	for i := len(n.Refusals) - 1; i >= 0; i-- {
		b.PrependUint32(n.Refusals[i].Hash)
	}
	hashes := b.EndVector(len(n.Refusals))
	fb.NoticeStartAsksVector(b, len(n.Refusals))
	for i := len(n.Refusals) - 1; i >= 0; i-- {
		fb.CreateAsk(b, n.Refusals[i].Account, n.Refusals[i].CPUs)
	}
	asks := b.EndVector(len(n.Refusals))
	fb.NoticeStart(b)
	fb.NoticeAddDigest(b, n.Digest)
	fb.NoticeAddAccounts(b, accounts)
	fb.NoticeAddTold(b, hashes)
	fb.NoticeAddAsks(b, asks)
	return fb.NoticeEnd(b)
}

func decodeNotice(t *fb.Notice) *admit.Notice {
	if t == nil {
		return nil
	}
	n := &admit.Notice{Digest: t.Digest(), Accounts: make([]admit.Arrivals, checkVectorLength(t.AccountsLength()))}
	var a fb.Arrivals
	for i := range n.Accounts {
		t.Accounts(&a, i)
		n.Accounts[i] = admit.Arrivals{Rate: a.Rate(), Queued: a.Queued(), Refused: a.Refused()}
	}
	var ask fb.Ask
	for i := range checkVectorLength(t.ToldLength()) {
		refusal := admit.Refusal{Hash: t.Told(i)}
		if i < t.AsksLength() { // versions before this one say nothing of it
			t.Asks(&ask, i)
			refusal.Account, refusal.CPUs = ask.Account(), ask.Cpus()
		}
		n.Refusals = append(n.Refusals, refusal)
	}
	return n
}

func encodeAdmissionTable(b *flatbuffers.Builder, t *admit.Table) flatbuffers.UOffsetT {
	if t == nil {
		return 0
	}
	fb.AdmissionStartAccountsVector(b, len(t.Accounts))
	for i := len(t.Accounts) - 1; i >= 0; i-- {
		e := &t.Accounts[i]
		fb.CreateEntry(b, e.Rate, e.NodeRate, e.Slots, e.Held, e.Waiting, e.MinShare, e.Share)
	}
	accounts := b.EndVector(len(t.Accounts))
	fb.AdmissionStart(b)
	fb.AdmissionAddTerm(b, t.Term)
	fb.AdmissionAddNumber(b, t.Number)
	fb.AdmissionAddDigest(b, t.Digest)
	fb.AdmissionAddValidUs(b, uint64(t.ValidFor))
	fb.AdmissionAddOver(b, t.Overloaded)
	fb.AdmissionAddAccounts(b, accounts)
	return fb.AdmissionEnd(b)
}

func decodeAdmissionTable(f *fb.Admission) *admit.Table {
	if f == nil {
		return nil
	}
	t := &admit.Table{Term: f.Term(), Number: f.Number(), Digest: f.Digest(), ValidFor: admit.Micros(f.ValidUs()),
		Overloaded: f.Over(), Accounts: make([]admit.Entry, checkVectorLength(f.AccountsLength()))}
	var e fb.Entry
	for i := range t.Accounts {
		f.Accounts(&e, i)
		t.Accounts[i] = admit.Entry{Rate: e.Rate(), NodeRate: e.Part(), Slots: e.Slots(),
			Held: e.Held(), Waiting: e.Waiting(), MinShare: e.Floor(), Share: e.Share()}
	}
	return t
}

// bounded refuses a vector that is longer than any frame: its length is not to be
// trusted before its elements were read.
func checkVectorLength(n int) int {
	if n < 0 || n > MaxFrameBytes {
		panic(errInvalidFrame) // as the library does; see Decode
	}
	return n
}
