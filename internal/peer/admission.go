package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/admit"
	"lilacthread/wire/fb"
)

// encodeNotice writes an admission notice and returns its offset, or 0 if n is nil.
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

// decodeNotice returns the admission notice of a message, or nil if there is none.
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
		if i < t.AsksLength() { // older versions send no asks
			t.Asks(&ask, i)
			refusal.Account, refusal.CPUs = ask.Account(), ask.Cpus()
		}
		n.Refusals = append(n.Refusals, refusal)
	}
	return n
}

// encodeAdmissionTable writes an admission table and returns its offset, or 0 if t is nil.
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

// decodeAdmissionTable returns the admission table of a message, or nil if there is none.
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

// checkVectorLength returns n, the length of a vector in a frame, and panics if no frame can
// hold such a vector. The length comes from the sender, so memory must not be allocated for
// it unchecked.
func checkVectorLength(n int) int {
	if n < 0 || n > MaxFrameBytes {
		panic(errInvalidFrame) // Decode recovers from it, as from a panic of the library
	}
	return n
}
