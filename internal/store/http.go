package store

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lilacthread/internal/rpc"
	"lilacthread/wire"
)

// HTTPClient is a Service that calls the state service over HTTP. It calls post to run the
// completion functions on the owner goroutine.
type HTTPClient struct {
	client *rpc.Client
	post   func(func())
}

// NewHTTPClient returns a client of the state service at addr (host:port).
func NewHTTPClient(addr string, post func(func())) *HTTPClient {
	return &HTTPClient{client: rpc.New(addr), post: post}
}

const requestTimeout = 1500 * time.Millisecond

// call sends a request in the background and maps the response to an Outcome.
func call[T any](h *HTTPClient, method, path string, request any, timeout time.Duration, done func(Outcome, *T)) {
	go func() {
		answer := new(T)
		status, body, _, err := h.client.Call(method, path, request, answer, timeout)
		outcome := Unknown
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			outcome = Refused
		case err != nil:
		case status == http.StatusOK:
			outcome = OK
		case status == http.StatusNotFound, status == http.StatusConflict:
			outcome = Failed
			if wire.Decode(body, answer) != nil {
				answer = new(T)
			}
		case status == http.StatusGone:
			outcome = Gone
		case status == http.StatusTooManyRequests:
			outcome = RateLimited
		case status == http.StatusBadRequest:
			var problem wire.Problem
			if wire.Decode(body, &problem) == nil && problem.Error == noSuchLease {
				outcome = Refused
				break
			}
			outcome = Invalid
			slog.Info("state service refused a request", "method", method, "path", path, "why", problem.Error)
		case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
			outcome = Refused
		}
		if outcome == Unknown {
			slog.Debug("state service request has an unknown outcome", "path", path, "status", status, "err", err)
		}
		h.post(func() { done(outcome, answer) })
	}()
}

// noSuchLease is the state service's error for a change that is attached to an ended lease.
const noSuchLease = "no such lease"

// emptyAnswer is the type of answers whose body is not used.
type emptyAnswer struct{}

// List implements Service.
func (h *HTTPClient) List(prefix, after string, limit int, done func(Outcome, *wire.ItemList)) {
	query := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("since", after)
	}
	call(h, http.MethodGet, "/store?"+query.Encode(), nil, 2*requestTimeout, done)
}

// Get implements Service.
func (h *HTTPClient) Get(key string, done func(Outcome, *wire.Item)) {
	call(h, http.MethodGet, "/store/"+key, nil, requestTimeout, done)
}

// Txn implements Service.
func (h *HTTPClient) Txn(txn *wire.Txn, done func(Outcome, *wire.TxnAnswer)) {
	call(h, http.MethodPost, "/txn", txn, requestTimeout, done)
}

// Grant implements Service.
func (h *HTTPClient) Grant(ttlMillis int64, done func(Outcome, uint64)) {
	call(h, http.MethodPost, "/grants", &wire.LeaseRequest{TTL: ttlMillis}, requestTimeout,
		func(outcome Outcome, answer *wire.LeaseAnswer) { done(outcome, answer.Lease) })
}

// Renew implements Service.
func (h *HTTPClient) Renew(lease uint64, done func(Outcome)) {
	call(h, http.MethodPost, fmt.Sprintf("/grants/%d/renew", lease), nil, requestTimeout/2,
		func(outcome Outcome, _ *emptyAnswer) { done(outcome) })
}

// Revoke implements Service.
func (h *HTTPClient) Revoke(lease uint64, done func(Outcome)) {
	call(h, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, requestTimeout,
		func(outcome Outcome, _ *emptyAnswer) { done(outcome) })
}

// Watch implements Service.
func (h *HTTPClient) Watch(prefix string, since uint64, waitMillis int64, done func(Outcome, *wire.WatchAnswer)) {
	query := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)}, "hold_ms": {strconv.FormatInt(waitMillis, 10)}}
	call(h, http.MethodGet, "/watch?"+query.Encode(), nil, time.Duration(waitMillis)*time.Millisecond+3*time.Second, done)
}
