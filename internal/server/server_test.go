package server

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/peer"
	"lilacthread/internal/policy"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// unreachableEnv is the environment of a node that reaches neither peers, workers, the state
// service nor the cloud.
type unreachableEnv struct{}

func (unreachableEnv) Now() clock.Micros                                                { return 0 }
func (unreachableEnv) Wall() clock.Micros                                               { return 0 }
func (unreachableEnv) After(clock.Micros, func())                                       {}
func (unreachableEnv) Call(_ string, _ *peer.Msg, _ clock.Micros, done func(*peer.Msg)) { done(nil) }
func (unreachableEnv) SendOrders(_ string, _ *wire.Orders, done func(store.Outcome, *wire.Report)) {
	done(store.Refused, nil)
}
func (unreachableEnv) ConnectionUsage() float64 { return 0 }
func (unreachableEnv) State() store.Service     { return unreachableState{} }
func (unreachableEnv) Cloud() controller.Cloud  { return unreachableCloud{} }

// unreachableState is a state service that refuses every request and answers no watch.
type unreachableState struct{}

func (unreachableState) List(_, _ string, _ int, done func(store.Outcome, *wire.ItemList)) {
	done(store.Refused, &wire.ItemList{})
}
func (unreachableState) Get(_ string, done func(store.Outcome, *wire.Item)) {
	done(store.Refused, &wire.Item{})
}
func (unreachableState) Txn(_ *wire.Txn, done func(store.Outcome, *wire.TxnAnswer)) {
	done(store.Refused, &wire.TxnAnswer{})
}
func (unreachableState) Grant(_ int64, done func(store.Outcome, uint64)) { done(store.Refused, 0) }
func (unreachableState) Renew(_ uint64, done func(store.Outcome))        { done(store.Refused) }
func (unreachableState) Revoke(_ uint64, done func(store.Outcome))       { done(store.Refused) }
func (unreachableState) Watch(string, uint64, int64, func(store.Outcome, *wire.WatchAnswer)) {
}

// unreachableCloud is a cloud that refuses every request.
type unreachableCloud struct{}

func (unreachableCloud) Catalog(done func(store.Outcome, *wire.Catalog)) { done(store.Refused, nil) }
func (unreachableCloud) Rent(_ *wire.RentRequest, done func(store.Outcome, []string)) {
	done(store.Refused, nil)
}
func (unreachableCloud) Release(_ []string, done func(store.Outcome)) { done(store.Refused) }
func (unreachableCloud) List(_ string, _ int, done func(store.Outcome, *wire.MachineList)) {
	done(store.Refused, nil)
}

// TestWorkerConnectionsClosed checks that a worker's connection is closed after the answer
// when more than workerConnPercent of the connection limit is in use. Otherwise a fleet with
// more machines than the node has connections would leave none for users.
func TestWorkerConnectionsClosed(t *testing.T) {
	s := New(&testOwner{}, 10)
	for open, want := range map[int64]string{5: "", 7: "close"} {
		s.openConns.Store(open)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/checkin", strings.NewReader("x")))
		if got := w.Header().Get("Connection"); got != want {
			t.Errorf("%d of 10 connections open: header Connection is %q, want %q", open, got, want)
		}
	}
}

// testOwner is an Owner that runs posted functions at once, one at a time.
type testOwner struct {
	mu   sync.Mutex
	core *controller.Core
}

func (o *testOwner) Post(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

func (o *testOwner) Core() *controller.Core { return o.core }

func newTestOwner() *testOwner {
	cfg := &config.Config{Name: "n0"}
	cfg.Params.State.RPS, cfg.Params.State.WriteRPS, cfg.Params.Cloud.RPS = 100, 100, 1
	o := &testOwner{core: controller.New(unreachableEnv{}, cfg, policy.Default(), 1)}
	o.Post(o.core.Start)
	return o
}

// TestUsersRefusedFirst checks that with few connections left, requests of users are refused at
// once while reports of workers still reach the controller.
func TestUsersRefusedFirst(t *testing.T) {
	s := New(newTestOwner(), 10)
	s.openConns.Store(9)
	for path, want := range map[string]string{"/v2/runs/nobody": "1", "/checkin": ""} {
		w := httptest.NewRecorder()
		method := http.MethodGet
		body := ""
		if path == "/checkin" {
			method, body = http.MethodPost, string(wire.Encode(&wire.Report{Machine: "m-1", Type: "t", Session: 1}))
		}
		s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if w.Code != 503 || w.Header().Get("Retry-After") != want {
			t.Errorf("%s: %d, Retry-After %q", path, w.Code, w.Header().Get("Retry-After"))
		}
	}
	s.openConns.Store(8)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v2/runs/nobody", nil))
	if w.Code != 404 {
		t.Errorf("below the limit: status %d, want 404", w.Code)
	}
}

// TestResponses checks the status, the Retry-After header and the encoding of the answers of a
// node that reaches no other service, also to malformed requests.
func TestResponses(t *testing.T) {
	srv := httptest.NewServer(New(newTestOwner(), 100))
	defer srv.Close()
	job := string(wire.Encode(&wire.Job{ID: "req-000001", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i"}))
	cases := []struct {
		method, path, body string
		status             int
		retry              bool
	}{
		{"GET", "/", "", 404, false},
		{"GET", "/v2/run", "", 404, false},
		{"GET", "/v2/runs", "", 405, false},
		{"DELETE", "/v2/runs/req-000001", "", 405, false},
		{"GET", "/v2/runs/req-000001/cancel", "", 405, false},
		{"GET", "/v2/runs/nobody", "", 404, false},
		{"GET", "/checkin", "", 405, false},
		{"POST", "/ready", "", 405, false},
		{"GET", "/ready", "", 503, false},
		{"POST", "/v2/runs", "", 400, false},
		{"POST", "/v2/runs", "{}", 400, false},
		// A submission that lacks a field is answered 400 unless the job was accepted before,
		// which this node can't find out.
		{"POST", "/v2/runs", "\x81\xa3uid\xaareq-000001", 503, true},
		{"POST", "/v2/runs", "\x81\xa3uid\xa5job-1", 400, false},
		{"POST", "/v2/runs", job + "x", 400, false},
		{"POST", "/v2/runs", strings.Repeat("\x91", 60_000), 400, false},
		{"POST", "/v2/runs", job + strings.Repeat("x", wire.MaxBody), 400, false},
		{"POST", "/checkin", "\x80", 400, false},
		{"POST", "/checkin", "\xdf\xff\xff\xff\xff", 400, false},
		// The node can neither look up nor accept a job: it answers at once. Users get a
		// Retry-After header.
		{"POST", "/v2/runs", job, 503, true},
		{"GET", "/v2/runs/req-000001", "", 503, true},
		{"POST", "/v2/runs/req-000001/cancel", "", 503, true},
		{"POST", "/checkin", string(wire.Encode(&wire.Report{Machine: "m-1", Type: "t", Session: 1})), 503, false},
	}
	for _, c := range cases {
		req, err := http.NewRequest(c.method, srv.URL+c.path, bytes.NewReader([]byte(c.body)))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		body, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode != c.status || (res.Header.Get("Retry-After") != "") != c.retry {
			t.Errorf("%s %s (%d bytes): %d, Retry-After %q, want %d", c.method, c.path, len(c.body),
				res.StatusCode, res.Header.Get("Retry-After"), c.status)
		}
		if wire.Check(body) != nil {
			t.Errorf("%s %s: the answer is not MessagePack: %q", c.method, c.path, body)
		}
	}
}
