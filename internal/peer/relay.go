package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// RelayedReport is a worker's report on its way to the leader.
type RelayedReport struct {
	Body    []byte // whole, in MessagePack; nil: as the report with number Base, but for the rest
	Machine string
	Session uint64
	Seq     uint64
	Token   uint64
	BaseSeq uint64
}

// Size is about what it takes of a frame.
func (r *RelayedReport) Size() int { return itemOverhead + len(r.Machine) + len(r.Body) }

// RelayedAnswer is the leader's answer to one.
type RelayedAnswer struct {
	Code  int
	Token uint64
	Body  []byte // in MessagePack, with commands; nil: there are none
}

// Order is an order to a worker that another controller is to send.
type Order struct {
	ID   uint64
	Addr string
	Body []byte // in MessagePack
}

// Size is about what it takes of a frame.
func (o *Order) Size() int { return itemOverhead + len(o.Addr) + len(o.Body) }

// OrderResult is what became of one.
type OrderResult struct {
	ID      uint64
	Outcome uint8
	Body    []byte // the worker's report in MessagePack, if there is one
}

// Size is about what it takes of a frame.
func (r *OrderResult) Size() int { return itemOverhead + len(r.Body) }

// itemRest is more than the fixed part of an item takes of a frame.
const itemOverhead = 72

// vector writes the tables of a list, and the vector of their offsets.
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

func encodeBytes(b *flatbuffers.Builder, body []byte) flatbuffers.UOffsetT {
	if body == nil {
		return 0
	}
	return b.CreateByteVector(body)
}

// relayOffsets are those of what a message holds for relaying; 0: nothing.
type relayOffsets struct{ reports, answers, orders, results, relays flatbuffers.UOffsetT }

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

// add enters what is there into the message being built.
func (o relayOffsets) addToMessage(b *flatbuffers.Builder) {
	fb.MessageAddRelayed(b, o.reports)
	fb.MessageAddAnswers(b, o.answers)
	fb.MessageAddOrders(b, o.orders)
	fb.MessageAddResults(b, o.results)
	fb.MessageAddRelays(b, o.relays)
}

func cloneBytes(body []byte) []byte {
	if body == nil {
		return nil
	}
	return append([]byte{}, body...)
}

// decodeRelay reads what a message holds for relaying.
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
