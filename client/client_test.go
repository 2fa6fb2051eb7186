package client

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lilacthread/wire"
)

func TestFinalAnswers(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost && r.URL.Path == "/v2/runs":
			w.WriteHeader(http.StatusUnprocessableEntity)
			w.Write(wire.Encode(&wire.Problem{Error: "unknown team"}))
		case r.URL.Path == "/v2/runs/req-000001":
			w.Write(wire.Encode(&wire.JobStatus{ID: "req-000001", Phase: wire.PhaseRunning, Done: 3, Running: 2}))
		case r.URL.Path == "/v2/runs/req-000001/cancel":
			w.Write(wire.Encode(&wire.JobStatus{ID: "req-000001", Phase: wire.PhaseCancelled}))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"))
	if _, err := c.Submit(&wire.Job{}); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "unknown team") {
		t.Errorf("submit: %v", err)
	}
	if status, err := c.Status("req-000001"); err != nil || status.Done != 3 || status.Running != 2 {
		t.Errorf("status: %+v, %v", status, err)
	}
	if status, err := c.Cancel("req-000001"); err != nil || status.Phase != wire.PhaseCancelled {
		t.Errorf("cancel: %+v, %v", status, err)
	}
	if _, err := c.Status("req-000002"); !errors.Is(err, ErrNotFound) {
		t.Errorf("unknown: %v", err)
	}
}
