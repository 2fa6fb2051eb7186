// Package client is the Go client of lilacthread for users and operators. It retries
// requests while the service is not available.
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

// Client sends requests to a controller or to the load balancer in front of the controllers.
type Client struct{ rpc *rpc.Client }

// New returns a client of the service at addr (host:port).
func New(addr string) *Client { return &Client{rpc.New(addr)} }

// Errors after which a request is not retried.
var (
	ErrNotFound = errors.New("no such job")
	ErrRefused  = errors.New("refused")
)

// retryPeriod is how long a request is retried while the service is not available.
const retryPeriod = 60 * time.Second

// Submit submits a job. Submitting the same job again has no further effect.
func (c *Client) Submit(job *wire.Job) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodPost, "/v2/runs", job)
}

// Status returns the state of a job.
func (c *Client) Status(id string) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodGet, "/v2/runs/"+id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(id string) (*wire.JobStatus, error) {
	return do[wire.JobStatus](c, http.MethodPost, "/v2/runs/"+id+"/cancel", nil)
}

// Admission returns the node's view of admission control: how submissions and machines are
// shared among accounts.
func (c *Client) Admission() (*wire.AdmissionStatus, error) {
	return do[wire.AdmissionStatus](c, http.MethodGet, "/admission", nil)
}

// Relays returns the node's view of relaying: which controllers hold workers' connections for
// the leader.
func (c *Client) Relays() (*wire.RelayStatus, error) {
	return do[wire.RelayStatus](c, http.MethodGet, "/relays", nil)
}

// do sends a request and retries it, after the time that the service asks for, until there
// is a final answer or the time limit is reached.
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
			_ = wire.Decode(body, &problem) // without a valid body the error has only the status
			return nil, fmt.Errorf("%w (%d): %s", ErrRefused, status, problem.Error)
		case err == nil:
			err = fmt.Errorf("the service answered with status %d", status)
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
