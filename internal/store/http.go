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

// HTTP is the state service over the network. Post runs a function on the
// owner goroutine.
type HTTPClient struct {
	client *rpc.Client
	post   func(func())
}

// NewHTTP makes a client of the state service at addr.
func NewHTTPClient(addr string, post func(func())) *HTTPClient {
	return &HTTPClient{client: rpc.New(addr), post: post}
}

const timeout = 1500 * time.Millisecond

// call runs one request in the background and classifies its outcome.
func call[T any](h *HTTPClient, method, path string, in any, limit time.Duration, done func(Outcome, *T)) {
	go func() {
		out := new(T)
		status, raw, _, err := h.client.Call(method, path, in, out, limit)
		o := Unknown
		switch {
		case errors.Is(err, rpc.ErrNotSent):
			o = Refused
		case err != nil:
		case status == http.StatusOK:
			o = OK
		case status == http.StatusNotFound, status == http.StatusConflict:
			o = Failed
			if wire.Decode(raw, out) != nil {
				out = new(T)
			}
		case status == http.StatusGone:
			o = Gone
		case status == http.StatusTooManyRequests:
			o = RateLimited
		case status == http.StatusBadRequest:
			var p wire.Problem
			if wire.Decode(raw, &p) == nil && p.Error == noSuchLease {
				o = Refused
				break
			}
			o = Invalid
			slog.Info("state service refused a request", "method", method, "path", path, "why", p.Error)
		case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
			o = Refused
		}
		if o == Unknown {
			slog.Debug("state service", "path", path, "status", status, "err", err)
		}
		h.post(func() { done(o, out) })
	}()
}

// noSuchLease is the protocol's error for a change that hangs on an ended lease.
const noSuchLease = "no such lease"

type none struct{}

// List reads a page of keys.
func (h *HTTPClient) List(prefix, after string, limit int, done func(Outcome, *wire.ItemList)) {
	q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("since", after)
	}
	call(h, http.MethodGet, "/store?"+q.Encode(), nil, 2*timeout, done)
}

// Get reads one key.
func (h *HTTPClient) Get(key string, done func(Outcome, *wire.Item)) {
	call(h, http.MethodGet, "/store/"+key, nil, timeout, done)
}

// Txn runs a transaction.
func (h *HTTPClient) Txn(txn *wire.Txn, done func(Outcome, *wire.TxnAnswer)) {
	call(h, http.MethodPost, "/txn", txn, timeout, done)
}

// Grant asks for a lease.
func (h *HTTPClient) Grant(ttl int64, done func(Outcome, uint64)) {
	call(h, http.MethodPost, "/grants", &wire.LeaseRequest{TTL: ttl}, timeout,
		func(o Outcome, a *wire.LeaseAnswer) { done(o, a.Lease) })
}

// Renew renews a lease.
func (h *HTTPClient) Renew(lease uint64, done func(Outcome)) {
	call(h, http.MethodPost, fmt.Sprintf("/grants/%d/renew", lease), nil, timeout/2,
		func(o Outcome, _ *none) { done(o) })
}

// Revoke ends a lease.
func (h *HTTPClient) Revoke(lease uint64, done func(Outcome)) {
	call(h, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, timeout,
		func(o Outcome, _ *none) { done(o) })
}

// Watch waits for changes.
func (h *HTTPClient) Watch(prefix string, since uint64, wait int64, done func(Outcome, *wire.WatchAnswer)) {
	q := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)}, "hold_ms": {strconv.FormatInt(wait, 10)}}
	call(h, http.MethodGet, "/watch?"+q.Encode(), nil, time.Duration(wait)*time.Millisecond+3*time.Second, done)
}
