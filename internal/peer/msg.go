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
	ID               uint64
	Kind             fb.Kind
	Node             string
	Term             uint64
	StateOK          bool
	ReportingWorkers uint32
	Job              string
	Body             []byte
	Code             int
	Phase            string
	Done             int
	Running          int
	MaxFormatLevel   int // the sender's highest format level; 0 from version 0.1
	FormatLevel      int // the format level in force

	AdmissionNotice *admit.Notice // with a greeting; nil from versions without admission
	AdmissionTable  *admit.Table  // with a leader's answer to one
	RetryAfter      int           // with a refusal, in seconds
	InMemoryOnly    bool          // with a question for a job: answer from memory or not at all

	Incarnation uint64 // of the sender's process; 0 from versions without it

	RelayedReports          []RelayedReport // of a batch of workers' reports
	ReportAnswers           []RelayedAnswer // to one, in its order
	Orders                  []Order         // of a batch of orders to workers
	OrderResults            []OrderResult   // of orders, in any order
	RelayTable              *relay.Table    // with a leader's answer to a greeting
	ConnectionUsagePermille int             // with a greeting: thousandths of the sender's connections in use
}

// MaxFrame bounds a frame.
const MaxFrameBytes = 256 << 10

var errInvalidFrame = errors.New("peer: invalid frame")

// Encode renders m.
func (m *Msg) Encode() []byte {
	b := flatbuffers.NewBuilder(256 + len(m.Body))
	node, job, phase := b.CreateString(m.Node), b.CreateString(m.Job), b.CreateString(m.Phase)
	var body flatbuffers.UOffsetT
	if m.Body != nil {
		body = b.CreateByteVector(m.Body)
	}
	notice, table := encodeNotice(b, m.AdmissionNotice), encodeAdmissionTable(b, m.AdmissionTable)
	relayed := m.encodeRelayFields(b)
	fb.MessageStart(b)
	fb.MessageAddId(b, m.ID)
	fb.MessageAddKind(b, m.Kind)
	fb.MessageAddNode(b, node)
	fb.MessageAddTerm(b, m.Term)
	fb.MessageAddStateOk(b, m.StateOK)
	fb.MessageAddReports(b, m.ReportingWorkers)
	fb.MessageAddUid(b, job)
	if m.Body != nil {
		fb.MessageAddBody(b, body)
	}
	fb.MessageAddCode(b, uint16(m.Code))
	fb.MessageAddPhase(b, phase)
	fb.MessageAddDone(b, uint32(m.Done))
	fb.MessageAddRunning(b, uint32(m.Running))
	fb.MessageAddSpeaks(b, byte(m.MaxFormatLevel))
	fb.MessageAddLevel(b, byte(m.FormatLevel))
	fb.MessageAddNotice(b, notice) // 0: none
	fb.MessageAddAdmission(b, table)
	fb.MessageAddRetryAfter(b, byte(m.RetryAfter))
	fb.MessageAddInMemory(b, m.InMemoryOnly)
	fb.MessageAddIncarnation(b, m.Incarnation)
	relayed.addToMessage(b)
	fb.MessageAddSockets(b, uint16(m.ConnectionUsagePermille))
	b.Finish(fb.MessageEnd(b))
	return b.FinishedBytes()
}

// Decode reads a frame. FlatBuffers for Go has no verifier, so a frame that
// points outside itself panics inside the library; that is caught here.
func Decode(frame []byte) (m *Msg, err error) {
	defer func() {
		if recover() != nil {
			m, err = nil, errInvalidFrame
		}
	}()
	if len(frame) < 8 {
		return nil, errInvalidFrame
	}
	t := fb.GetRootAsMessage(frame, 0)
	m = &Msg{
		ID: t.Id(), Kind: t.Kind(), Node: string(t.Node()), Term: t.Term(),
		StateOK: t.StateOk(), ReportingWorkers: t.Reports(), Job: string(t.Uid()),
		Code: int(t.Code()), Phase: string(t.Phase()), Done: int(t.Done()), Running: int(t.Running()),
		MaxFormatLevel: int(t.Speaks()), FormatLevel: int(t.Level()), RetryAfter: int(t.RetryAfter()), InMemoryOnly: t.InMemory(), Incarnation: t.Incarnation(),
		AdmissionNotice: decodeNotice(t.Notice(nil)), AdmissionTable: decodeAdmissionTable(t.Admission(nil)), ConnectionUsagePermille: int(t.Sockets()),
	}
	m.decodeRelayFields(t)
	if body := t.BodyBytes(); body != nil {
		m.Body = append([]byte(nil), body...)
	}
	if m.Kind > fb.KindResults {
		return nil, errInvalidFrame
	}
	return m, nil
}
