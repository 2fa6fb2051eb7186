// Package rpc sends MessagePack requests over HTTP/1.1 for the clients of the state
// service, the cloud, the workers and the users' interface. It does not retry. Messages
// between controllers use package peer instead.
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

// Client sends requests to one server.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client of the server at addr (host:port) that reuses connections.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 16, // config.ReservedConns allows for as many
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewSingleUse returns a client that makes a new connection for each call.
func NewSingleUse(addr string) *Client {
	c := New(addr)
	c.httpClient.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// ErrNotSent means that the request was not sent, usually because no connection could be made,
// so the server executed nothing.
var ErrNotSent = errors.New("not sent")

// maxAnswerBytes bounds the size of an answer. The protocol sets no limit for answers to a watch.
const maxAnswerBytes = 16 << 20

// Call sends message, or no body if message is nil. If the status is 200 or 201 and answer
// is not nil, it decodes the response into answer. It returns the status, the body and the
// header of the response; the status is 0 if there was no valid response.
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
