// Package worker is the client of the workers' own interface.
package worker

import (
	"errors"
	"net/http"
	"time"

	"lilacthread/internal/rpc"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// HTTP sends orders over the network, each on a connection of its own: one that
// could not be made proves that nothing was executed. Post runs a function on
// the owner goroutine.
type HTTPClient struct{ post func(func()) }

// NewHTTP makes a client of all workers.
func NewHTTPClient(post func(func())) *HTTPClient { return &HTTPClient{post: post} }

const timeout = 2 * time.Second

// Order sends commands to the worker at addr.
func (h *HTTPClient) SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	go func() {
		client := rpc.NewSingleUse(addr)
		status, raw, _, err := client.Call(http.MethodPost, "/orders", orders, nil, timeout)
		o := store.Unknown
		var report *wire.Report
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			o = store.Refused
		case err != nil:
		case status == http.StatusOK:
			o = store.OK
		case status == http.StatusConflict:
			o = store.Failed
		case status == http.StatusBadRequest:
			o = store.Refused
		}
		if o == store.OK || o == store.Failed {
			if report, err = wire.DecodeReport(raw); err != nil {
				report = nil
			}
		}
		h.post(func() { done(o, report) })
	}()
}
