// Package peer carries messages between controllers: FlatBuffers behind a
// length, over TCP.
package peer

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/admit"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// Msg is a message between controllers.
type Msg struct {
	ID      uint64
	Kind    fb.Kind
	Node    string
	Term    uint64
	StateOK bool
	Reports uint32
	Job     string
	Body    []byte
	Code    int
	Phase   string
	Done    int
	Running int
	Speaks  int // the sender's highest format level; 0 from version 0.1
	Level   int // the format level in force

	Notice     *admit.Notice // with a greeting; nil from versions without admission
	Table      *admit.Table  // with a leader's answer to one
	RetryAfter int           // with a refusal, in seconds
	InMemory   bool          // with a question for a job: answer from memory or not at all

	Incarnation uint64 // of the sender's process; 0 from versions without it

	Relayed []RelayedReport // of a batch of workers' reports
	Answers []RelayedAnswer // to one, in its order
	Orders  []Order         // of a batch of orders to workers
	Results []OrderResult   // of orders, in any order
	Relays  *relay.Table    // with a leader's answer to a greeting
	Sockets int             // with a greeting: thousandths of the sender's connections in use
}

// MaxFrame bounds a frame.
const MaxFrame = 256 << 10

var errFrame = errors.New("peer: invalid frame")

// Encode renders m.
func (m *Msg) Encode() []byte {
	b := flatbuffers.NewBuilder(256 + len(m.Body))
	node, job, phase := b.CreateString(m.Node), b.CreateString(m.Job), b.CreateString(m.Phase)
	var body flatbuffers.UOffsetT
	if m.Body != nil {
		body = b.CreateByteVector(m.Body)
	}
	notice, table := encodeNotice(b, m.Notice), encodeTable(b, m.Table)
	relayed := m.encodeRelay(b)
	fb.MessageStart(b)
	fb.MessageAddId(b, m.ID)
	fb.MessageAddKind(b, m.Kind)
	fb.MessageAddNode(b, node)
	fb.MessageAddTerm(b, m.Term)
	fb.MessageAddStateOk(b, m.StateOK)
	fb.MessageAddReports(b, m.Reports)
	fb.MessageAddUid(b, job)
	if m.Body != nil {
		fb.MessageAddBody(b, body)
	}
	fb.MessageAddCode(b, uint16(m.Code))
	fb.MessageAddPhase(b, phase)
	fb.MessageAddDone(b, uint32(m.Done))
	fb.MessageAddRunning(b, uint32(m.Running))
	fb.MessageAddSpeaks(b, byte(m.Speaks))
	fb.MessageAddLevel(b, byte(m.Level))
	fb.MessageAddNotice(b, notice) // 0: none
	fb.MessageAddAdmission(b, table)
	fb.MessageAddRetryAfter(b, byte(m.RetryAfter))
	fb.MessageAddInMemory(b, m.InMemory)
	fb.MessageAddIncarnation(b, m.Incarnation)
	relayed.add(b)
	fb.MessageAddSockets(b, uint16(m.Sockets))
	b.Finish(fb.MessageEnd(b))
	return b.FinishedBytes()
}

// Decode reads a frame. FlatBuffers for Go has no verifier, so a frame that
// points outside itself panics inside the library; that is caught here.
func Decode(frame []byte) (m *Msg, err error) {
	defer func() {
		if recover() != nil {
			m, err = nil, errFrame
		}
	}()
	if len(frame) < 8 {
		return nil, errFrame
	}
	t := fb.GetRootAsMessage(frame, 0)
	m = &Msg{
		ID: t.Id(), Kind: t.Kind(), Node: string(t.Node()), Term: t.Term(),
		StateOK: t.StateOk(), Reports: t.Reports(), Job: string(t.Uid()),
		Code: int(t.Code()), Phase: string(t.Phase()), Done: int(t.Done()), Running: int(t.Running()),
		Speaks: int(t.Speaks()), Level: int(t.Level()), RetryAfter: int(t.RetryAfter()), InMemory: t.InMemory(), Incarnation: t.Incarnation(),
		Notice: decodeNotice(t.Notice(nil)), Table: decodeTable(t.Admission(nil)), Sockets: int(t.Sockets()),
	}
	m.decodeRelay(t)
	if body := t.BodyBytes(); body != nil {
		m.Body = append([]byte(nil), body...)
	}
	if m.Kind > fb.KindResults {
		return nil, errFrame
	}
	return m, nil
}
