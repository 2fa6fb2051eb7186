package peer

import (
	"bytes"
	"reflect"
	"testing"

	"lilacthread/internal/admit"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

func sampleMessage() *Msg {
	return &Msg{ID: 7, Kind: fb.KindStatus, Node: "n", Term: 3, StateOK: true, ReportingWorkers: 2, Job: "req-000001",
		Body: []byte{1, 2}, Code: 200, Phase: "done", Done: 4, Running: 5, MaxFormatLevel: 2, FormatLevel: 1,
		RetryAfter: 9, InMemoryOnly: true,
		AdmissionNotice: &admit.Notice{Digest: 7, Accounts: []admit.Arrivals{{Rate: 1, Queued: 2, Refused: 3}, {Rate: 4}}, Refusals: []admit.Refusal{{Hash: 5, Account: 1, CPUs: 48}, {Hash: 6}}},
		AdmissionTable: &admit.Table{Term: 3, Number: 4, Digest: 7, ValidFor: 3_000_000, Overloaded: true,
			Accounts: []admit.Entry{{Rate: 1, NodeRate: 2, Slots: 4, Held: 5, Waiting: 6, MinShare: 7, Share: 8}, {Rate: 9}}},
		RelayedReports: []RelayedReport{{Body: []byte{1}, Machine: "m-1", Session: 2, Seq: 3, Token: 4}, {Machine: "m-2", Session: 1, Seq: 9, Token: 4, BaseSeq: 8}},
		ReportAnswers:  []RelayedAnswer{{Code: 200, Token: 4, Body: []byte{5}}, {Code: 503}},
		Orders:         []Order{{ID: 1, Addr: "10.0.0.1:9", Body: []byte{6}}},
		OrderResults:   []OrderResult{{ID: 1, Outcome: 2, Body: []byte{7}}, {ID: 2}},
		RelayTable:     &relay.Table{Term: 3, Number: 2, Members: []string{"a", "b"}}, ConnectionUsagePermille: 300}
}

func TestFrame(t *testing.T) {
	var buf bytes.Buffer
	want := sampleMessage()
	if err := WriteFrame(&buf, want.Encode()); err != nil {
		t.Fatal(err)
	}
	got, err := ReadFrame(&buf)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	for name, raw := range map[string][]byte{
		"oversized": {0xff, 0xff, 0xff, 0xff},
		"cut off":   {0, 0, 0, 9, 1},
		"invalid":   {0, 0, 0, 8, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0},
	} {
		if m, err := ReadFrame(bytes.NewReader(raw)); err == nil {
			t.Errorf("%s: %+v", name, m)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleMessage().Encode())
	f.Fuzz(func(t *testing.T, frame []byte) {
		if m, err := Decode(frame); err == nil && m.Kind > fb.KindResults {
			t.Fatal("unknown kind let through")
		}
	})
}
