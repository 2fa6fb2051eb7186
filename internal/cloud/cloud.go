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

const timeout = 5 * time.Second

func call[T any](h *HTTPClient, method, path string, in any, done func(store.Outcome, *T)) {
	go func() {
		out := new(T)
		status, raw, _, err := h.client.Call(method, path, in, out, timeout)
		o := store.Unknown
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			o = store.Refused
		case err != nil:
		case status == http.StatusOK:
			o = store.OK
		case status == http.StatusServiceUnavailable:
			o = store.Refused
			var p wire.Problem
			if wire.Decode(raw, &p) == nil && p.Error == "no capacity" {
				o = store.Failed
			}
		case status >= 400 && status < 500:
			o = store.Refused
		}
		if o != store.OK {
			slog.Debug("cloud", "path", path, "status", status, "err", err)
		}
		h.post(func() { done(o, out) })
	}()
}

// Catalog reads the machine types.
func (h *HTTPClient) Catalog(done func(store.Outcome, *wire.Catalog)) {
	call(h, http.MethodGet, "/catalog", nil, done)
}

// Rent rents machines.
func (h *HTTPClient) Rent(r *wire.RentRequest, done func(store.Outcome, []string)) {
	call(h, http.MethodPost, "/machines", r, func(o store.Outcome, n *wire.MachineIDs) { done(o, n.Machines) })
}

// Release returns machines.
func (h *HTTPClient) Release(ids []string, done func(store.Outcome)) {
	type none struct{}
	call(h, http.MethodPost, "/machines/release", &wire.MachineIDs{Machines: ids},
		func(o store.Outcome, _ *none) { done(o) })
}

// List reads a page of machines.
func (h *HTTPClient) List(after string, limit int, done func(store.Outcome, *wire.MachineList)) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("since", after)
	}
	call(h, http.MethodGet, "/machines?"+q.Encode(), nil, done)
}
