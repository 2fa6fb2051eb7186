// Package worker is the client of the workers' HTTP interface, through which a controller
// sends command batches directly. Workers' reports arrive through package server.
package worker

import (
	"errors"
	"net/http"
	"time"

	"lilacthread/internal/rpc"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// HTTPClient sends command batches to workers over HTTP. Each batch uses a new connection,
// so that a failure to connect proves that nothing was executed. It calls post to run the
// completion functions on the owner goroutine.
type HTTPClient struct{ post func(func()) }

// NewHTTPClient returns a client for all workers.
func NewHTTPClient(post func(func())) *HTTPClient { return &HTTPClient{post: post} }

const ordersTimeout = 2 * time.Second

// SendOrders sends a command batch to the worker at addr (host:port). The outcome is Failed
// if the worker executed nothing because its session does not match or because it has
// received a higher token. With OK and Failed, done also gets the worker's report, or nil if
// the report can't be decoded.
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
