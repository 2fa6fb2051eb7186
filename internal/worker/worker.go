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

const ordersTimeout = 2 * time.Second

// Order sends commands to the worker at addr.
func (h *HTTPClient) SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	go func() {
		client := rpc.NewSingleUse(addr)
		status, body, _, err := client.Call(http.MethodPost, "/orders", orders, nil, ordersTimeout)
		outcome := store.Unknown
		var report *wire.Report
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			outcome = store.Refused
		case err != nil:
		case status == http.StatusOK:
			outcome = store.OK
		case status == http.StatusConflict:
			outcome = store.Failed
		case status == http.StatusBadRequest:
			outcome = store.Refused
		}
		if outcome == store.OK || outcome == store.Failed {
			if report, err = wire.DecodeReport(body); err != nil {
				report = nil
			}
		}
		h.post(func() { done(outcome, report) })
	}()
}
