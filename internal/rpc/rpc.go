// Package rpc makes MessagePack calls over HTTP/1.1 for the clients of the
// state service, the cloud and the users' command line.
package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"lilacthread/wire"
)

// Client calls one server.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New makes a client of the server at addr (host and port).
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewOnce makes a client that uses a connection for one call only.
func NewSingleUse(addr string) *Client {
	c := New(addr)
	c.httpClient.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// ErrNotSent means that no connection was made, so nothing was executed.
var ErrNotSent = errors.New("not sent")

// maxAnswer bounds answers; those of a watch have no limit of their own.
const maxAnswerBytes = 16 << 20

// Call sends in (nil: no body) and decodes the answer into out if the status
// is 200 or 201. The status is 0 when no valid answer came.
func (c *Client) Call(method, path string, message, answer any, timeout time.Duration) (int, []byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if message != nil {
		body = bytes.NewReader(wire.Encode(message))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, nil, nil, errors.Join(ErrNotSent, err)
	}
	req.Header.Set("Content-Type", "application/msgpack")
	res, err := c.httpClient.Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			err = errors.Join(ErrNotSent, err)
		}
		return 0, nil, nil, err
	}
	defer res.Body.Close()
	answerBody, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, nil, err
	}
	if answer != nil && (res.StatusCode == http.StatusOK || res.StatusCode == http.StatusCreated) {
		if err := wire.Decode(answerBody, answer); err != nil {
			return 0, answerBody, nil, err
		}
	}
	return res.StatusCode, answerBody, res.Header, nil
}
