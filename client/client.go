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
const retryPeriod = 60 * time.Second

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

func do[T any](c *Client, method, path string, request any) (*T, error) {
	deadline := time.Now().Add(retryPeriod)
	for {
		answer := new(T)
		status, body, header, err := c.rpc.Call(method, path, request, answer, 5*time.Second)
		switch {
		case status == http.StatusOK || status == http.StatusCreated:
			return answer, nil
		case status == http.StatusNotFound:
			return nil, ErrNotFound
		case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity:
			var problem wire.Problem
			_ = wire.Decode(body, &problem) // without a reason the status must do
			return nil, fmt.Errorf("%w (%d): %s", ErrRefused, status, problem.Error)
		case err == nil:
			err = fmt.Errorf("service answered %d", status)
		}
		wait := time.Second
		if header != nil {
			if seconds, parseErr := strconv.Atoi(header.Get("Retry-After")); parseErr == nil && seconds > 1 {
				wait = time.Duration(min(seconds, 30)) * time.Second
			}
		}
		if time.Now().Add(wait).After(deadline) {
			return nil, err
		}
		time.Sleep(wait)
	}
}
