// Package peer transports messages between controllers over TCP. Each frame is a FlatBuffers
// message (schema wire/peer.fbs) that follows its length. The package does not interpret the
// messages: the controller does.
package peer

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/admit"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// Msg is a message between controllers. It has the fields of all kinds; those that a kind
// does not use are zero.
type Msg struct {
	ID               uint64 // matches an answer to its request
	Kind             fb.Kind
	Node             string // name of the sender
	Term             uint64 // the term in which the sender leads, or 0
	StateOK          bool   // the sender reaches the state service
	ReportingWorkers uint32 // workers that recently reported to the sender and whose reports it does not forward
	Job              string // with a query for a job: its ID
	Body             []byte // a submission, a worker's report or its answer, in MessagePack
	Code             int    // with an answer: an HTTP status
	Phase            string // with an answer about a job: its phase
	Done             int    // with an answer about a job: number of tasks that are done
	Running          int    // with an answer about a job: number of tasks that are running
	MaxFormatLevel   int    // the highest format level that the sender reads and writes; 0 from version 0.1
	FormatLevel      int    // the format level in force, as far as the sender knows

	AdmissionNotice *admit.Notice // with a Hello message; nil from versions without admission control
	AdmissionTable  *admit.Table  // with a leader's answer to a Hello message
	RetryAfter      int           // with a refusal, in seconds
	InMemoryOnly    bool          // with a query for a job: answer from memory only, without reading the state service

	Incarnation uint64 // of the sender's process; 0 from versions without it

	RelayedReports          []RelayedReport // a batch of workers' reports for the leader
	ReportAnswers           []RelayedAnswer // the answers to a batch of reports, in its order
	Orders                  []Order         // command batches that the receiver is to send to workers
	OrderResults            []OrderResult   // results of command batches, in any order
	RelayTable              *relay.Table    // with a leader's answer to a Hello message
	ConnectionUsagePermille int             // with a Hello message: the part of the sender's connections that is in use, in thousandths
}

// MaxFrameBytes is the maximum length of a frame.
const MaxFrameBytes = 256 << 10

var errInvalidFrame = errors.New("peer: invalid frame")

// Encode returns the message as a frame.
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
	fb.MessageAddNotice(b, notice) // offset 0 leaves the field out
	fb.MessageAddAdmission(b, table)
	fb.MessageAddRetryAfter(b, byte(m.RetryAfter))
	fb.MessageAddInMemory(b, m.InMemoryOnly)
	fb.MessageAddIncarnation(b, m.Incarnation)
	relayed.addToMessage(b)
	fb.MessageAddSockets(b, uint16(m.ConnectionUsagePermille))
	b.Finish(fb.MessageEnd(b))
	return b.FinishedBytes()
}

// Decode returns the message in a frame. FlatBuffers for Go has no verifier, so the library
// panics on a frame with offsets that point outside it; Decode recovers and returns an error.
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
