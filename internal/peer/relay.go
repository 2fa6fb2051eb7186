package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// RelayedReport is a worker's report that a relay forwards to the leader.
type RelayedReport struct {
	// Body is the full report in MessagePack. If it is nil, the report equals the one with
	// the number BaseSeq except for the fields below.
	Body    []byte
	Machine string
	Session uint64
	Seq     uint64
	Token   uint64
	BaseSeq uint64
}

// Size returns an upper bound of the bytes that the report takes in a frame.
func (r *RelayedReport) Size() int { return itemOverhead + len(r.Machine) + len(r.Body) }

// RelayedAnswer is the leader's answer to a RelayedReport.
type RelayedAnswer struct {
	Code  int // 200, 400 (malformed report), 503 (busy), 409 if the full report is needed, 421 if the node does not lead
	Token uint64
	Body  []byte // the answer with its commands, in MessagePack; nil if there are no commands
}

// Order is a command batch that another controller is to send to a worker.
type Order struct {
	ID   uint64 // matches the result to the batch
	Addr string // of the worker
	Body []byte // a wire.Orders, in MessagePack
}

// Size returns an upper bound of the bytes that the command batch takes in a frame.
func (o *Order) Size() int { return itemOverhead + len(o.Addr) + len(o.Body) }

// OrderResult is the result of an Order.
type OrderResult struct {
	ID      uint64 // of the Order
	Outcome uint8  // a store.Outcome
	Body    []byte // the worker's report in MessagePack, if there is one
}

// Size returns an upper bound of the bytes that the result takes in a frame.
func (r *OrderResult) Size() int { return itemOverhead + len(r.Body) }

// itemOverhead is an upper bound of the bytes that an item takes besides its strings and
// body.
const itemOverhead = 72

// encodeVector writes the items of a list and the vector of their offsets. It returns the
// offset of the vector, or 0 if the list is nil.
func encodeVector[T any](b *flatbuffers.Builder, list []T, encodeItem func(*T) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	if list == nil {
		return 0
	}
	offsets := make([]flatbuffers.UOffsetT, len(list))
	for i := range list {
		offsets[i] = encodeItem(&list[i])
	}
	b.StartVector(flatbuffers.SizeUOffsetT, len(list), flatbuffers.SizeUOffsetT)
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	return b.EndVector(len(offsets))
}

// encodeBytes writes a byte vector and returns its offset, or 0 if body is nil.
func encodeBytes(b *flatbuffers.Builder, body []byte) flatbuffers.UOffsetT {
	if body == nil {
		return 0
	}
	return b.CreateByteVector(body)
}

// relayOffsets holds the offsets of a message's fields for relaying; 0 if a field is absent.
type relayOffsets struct{ reports, answers, orders, results, relays flatbuffers.UOffsetT }

// encodeRelayFields writes the values of a message's fields for relaying.
func (m *Msg) encodeRelayFields(b *flatbuffers.Builder) relayOffsets {
	return relayOffsets{
		encodeVector(b, m.RelayedReports, func(r *RelayedReport) flatbuffers.UOffsetT {
			body, machine := encodeBytes(b, r.Body), b.CreateString(r.Machine)
			fb.ReportItemStart(b)
			fb.ReportItemAddBody(b, body)
			fb.ReportItemAddMachine(b, machine)
			fb.ReportItemAddSession(b, r.Session)
			fb.ReportItemAddSeq(b, r.Seq)
			fb.ReportItemAddToken(b, r.Token)
			fb.ReportItemAddBase(b, r.BaseSeq)
			return fb.ReportItemEnd(b)
		}),
		encodeVector(b, m.ReportAnswers, func(a *RelayedAnswer) flatbuffers.UOffsetT {
			body := encodeBytes(b, a.Body)
			fb.AnswerItemStart(b)
			fb.AnswerItemAddCode(b, uint16(a.Code))
			fb.AnswerItemAddToken(b, a.Token)
			fb.AnswerItemAddBody(b, body)
			return fb.AnswerItemEnd(b)
		}),
		encodeVector(b, m.Orders, func(o *Order) flatbuffers.UOffsetT {
			addr, body := b.CreateString(o.Addr), encodeBytes(b, o.Body)
			fb.OrderItemStart(b)
			fb.OrderItemAddId(b, o.ID)
			fb.OrderItemAddAddr(b, addr)
			fb.OrderItemAddBody(b, body)
			return fb.OrderItemEnd(b)
		}),
		encodeVector(b, m.OrderResults, func(r *OrderResult) flatbuffers.UOffsetT {
			body := encodeBytes(b, r.Body)
			fb.ResultItemStart(b)
			fb.ResultItemAddId(b, r.ID)
			fb.ResultItemAddOutcome(b, r.Outcome)
			fb.ResultItemAddBody(b, body)
			return fb.ResultItemEnd(b)
		}),
		encodeRelayTable(b, m.RelayTable),
	}
}

// encodeRelayTable writes a relay table and returns its offset, or 0 if t is nil.
func encodeRelayTable(b *flatbuffers.Builder, t *relay.Table) flatbuffers.UOffsetT {
	if t == nil {
		return 0
	}
	members := encodeVector(b, t.Members, func(name *string) flatbuffers.UOffsetT { return b.CreateString(*name) })
	fb.RelaysStart(b)
	fb.RelaysAddTerm(b, t.Term)
	fb.RelaysAddNumber(b, t.Number)
	fb.RelaysAddMembers(b, members)
	return fb.RelaysEnd(b)
}

// addToMessage adds the fields to the message that is being built.
func (o relayOffsets) addToMessage(b *flatbuffers.Builder) {
	fb.MessageAddRelayed(b, o.reports)
	fb.MessageAddAnswers(b, o.answers)
	fb.MessageAddOrders(b, o.orders)
	fb.MessageAddResults(b, o.results)
	fb.MessageAddRelays(b, o.relays)
}

// cloneBytes returns a copy of body, or nil if it is nil. Decoded bytes refer to the frame.
func cloneBytes(body []byte) []byte {
	if body == nil {
		return nil
	}
	return append([]byte{}, body...)
}

// decodeRelayFields sets the fields for relaying from a decoded message.
func (m *Msg) decodeRelayFields(t *fb.Message) {
	var report fb.ReportItem
	for i := range checkVectorLength(t.RelayedLength()) {
		t.Relayed(&report, i)
		m.RelayedReports = append(m.RelayedReports, RelayedReport{cloneBytes(report.BodyBytes()), string(report.Machine()),
			report.Session(), report.Seq(), report.Token(), report.Base()})
	}
	var answer fb.AnswerItem
	for i := range checkVectorLength(t.AnswersLength()) {
		t.Answers(&answer, i)
		m.ReportAnswers = append(m.ReportAnswers, RelayedAnswer{int(answer.Code()), answer.Token(), cloneBytes(answer.BodyBytes())})
	}
	var order fb.OrderItem
	for i := range checkVectorLength(t.OrdersLength()) {
		t.Orders(&order, i)
		m.Orders = append(m.Orders, Order{order.Id(), string(order.Addr()), cloneBytes(order.BodyBytes())})
	}
	var result fb.ResultItem
	for i := range checkVectorLength(t.ResultsLength()) {
		t.Results(&result, i)
		m.OrderResults = append(m.OrderResults, OrderResult{result.Id(), result.Outcome(), cloneBytes(result.BodyBytes())})
	}
	if r := t.Relays(nil); r != nil {
		m.RelayTable = &relay.Table{Term: r.Term(), Number: r.Number()}
		for i := range checkVectorLength(r.MembersLength()) {
			m.RelayTable.Members = append(m.RelayTable.Members, string(r.Members(i)))
		}
	}
}
