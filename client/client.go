// Package client is the users' client of lilacthread.
package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lilacthread/internal/rpc"
	"lilacthread/wire"
)

// Client talks to a controller or to the load balancer before them.
type Client struct{ rpc *rpc.Client }

// New makes a client of the service at addr (host and port).
func New(addr string) *Client { return &Client{rpc.New(addr)} }

// Errors that are final.
var (
	ErrNotFound = errors.New("no such job")
	ErrRefused  = errors.New("refused")
)

// patience is how long a request is repeated while the service can't take it.
const patience = 60 * time.Second

// Submit submits a job; the same job may be submitted again.
func (c *Client) Submit(job *wire.Job) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodPost, "/v2/runs", job)
}

// Status asks for a job's state.
func (c *Client) Status(id string) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodGet, "/v2/runs/"+id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(id string) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodPost, "/v2/runs/"+id+"/cancel", nil)
}

// Admission asks how the node shares submissions, and the leader machines.
func (c *Client) Admission() (*wire.AdmissionStatus, error) {
	return do[wire.AdmissionStatus](c, http.MethodGet, "/admission", nil)
}

// Relays tells which controllers carry workers' connections.
func (c *Client) Relays() (*wire.RelayStatus, error) {
	return do[wire.RelayStatus](c, http.MethodGet, "/relays", nil)
}

func do[T any](c *Client, method, path string, in any) (*T, error) {
	give := time.Now().Add(patience)
	for {
		st := new(T)
		status, raw, header, err := c.rpc.Call(method, path, in, st, 5*time.Second)
		switch {
		case status == http.StatusOK || status == http.StatusCreated:
			return st, nil
		case status == http.StatusNotFound:
			return nil, ErrNotFound
		case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity:
			var p wire.Problem
			_ = wire.Decode(raw, &p) // without a reason the status must do
			return nil, fmt.Errorf("%w (%d): %s", ErrRefused, status, p.Error)
		case err == nil:
			err = fmt.Errorf("service answered %d", status)
		}
		wait := time.Second
		if header != nil {
			if s, e := strconv.Atoi(header.Get("Retry-After")); e == nil && s > 1 {
				wait = time.Duration(min(s, 30)) * time.Second
			}
		}
		if time.Now().Add(wait).After(give) {
			return nil, err
		}
		time.Sleep(wait)
	}
}
