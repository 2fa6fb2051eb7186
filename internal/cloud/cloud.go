// Package cloud is the client of the cloud's interface.
package cloud

import (
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lilacthread/internal/rpc"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// HTTP is the cloud over the network; post runs a function on the owner
// goroutine.
type HTTPClient struct {
	client *rpc.Client
	post   func(func())
}

// NewHTTP makes a client of the cloud at addr.
func NewHTTPClient(addr string, post func(func())) *HTTPClient {
	return &HTTPClient{client: rpc.New(addr), post: post}
}

const requestTimeout = 5 * time.Second

func call[T any](h *HTTPClient, method, path string, request any, done func(store.Outcome, *T)) {
	go func() {
		answer := new(T)
		status, body, _, err := h.client.Call(method, path, request, answer, requestTimeout)
		outcome := store.Unknown
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			outcome = store.Refused
		case err != nil:
		case status == http.StatusOK:
			outcome = store.OK
		case status == http.StatusServiceUnavailable:
			outcome = store.Refused
			var problem wire.Problem
			if wire.Decode(body, &problem) == nil && problem.Error == "no capacity" {
				outcome = store.Failed
			}
		case status >= 400 && status < 500:
			outcome = store.Refused
		}
		if outcome != store.OK {
			slog.Debug("cloud", "path", path, "status", status, "err", err)
		}
		h.post(func() { done(outcome, answer) })
	}()
}

// Catalog reads the machine types.
func (h *HTTPClient) Catalog(done func(store.Outcome, *wire.Catalog)) {
	call(h, http.MethodGet, "/catalog", nil, done)
}

// Rent rents machines.
func (h *HTTPClient) Rent(request *wire.RentRequest, done func(store.Outcome, []string)) {
	call(h, http.MethodPost, "/machines", request, func(outcome store.Outcome, answer *wire.MachineIDs) { done(outcome, answer.Machines) })
}

// Release returns machines.
func (h *HTTPClient) Release(ids []string, done func(store.Outcome)) {
	type emptyAnswer struct{}
	call(h, http.MethodPost, "/machines/release", &wire.MachineIDs{Machines: ids},
		func(outcome store.Outcome, _ *emptyAnswer) { done(outcome) })
}

// List reads a page of machines.
func (h *HTTPClient) List(after string, limit int, done func(store.Outcome, *wire.MachineList)) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("since", after)
	}
	call(h, http.MethodGet, "/machines?"+query.Encode(), nil, done)
}
