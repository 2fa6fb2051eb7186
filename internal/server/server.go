// Package server serves the HTTP interface of a node for users, workers, operators and health
// checks. It decodes and validates requests and limits connections; all decisions are made
// by package controller. Messages between controllers arrive through package peer.
package server

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lilacthread/internal/controller"
	"lilacthread/wire"
)

// Owner gives access to the controller, whose state belongs to the owner goroutine.
type Owner interface {
	// Post runs a function on the owner goroutine.
	Post(func())
	// Core returns the controller; only functions run by Post may use it.
	Core() *controller.Core
}

// Server serves the public address of one node.
type Server struct {
	owner     Owner
	openConns atomic.Int64
	maxConns  int64
}

// New returns a server that accepts at most limit open connections.
func New(owner Owner, limit int) *Server { return &Server{owner: owner, maxConns: int64(limit)} }

// Serve accepts connections on ln until the listener fails.
func (s *Server) Serve(ln net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      20 * time.Second,
		IdleTimeout:       5 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				if s.openConns.Add(1) > s.maxConns {
					c.Close() // the load balancer retries on another node
				}
			case http.StateClosed, http.StateHijacked:
				s.openConns.Add(-1)
			}
		},
	}
	err := srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// jobsPath is the path of submissions; the paths of a job begin with it.
const jobsPath = "/v2/runs"

// userConnPercent is the percentage of the connection limit above which requests of users are
// refused. The remaining connections are reserved for workers and health checks.
const userConnPercent = 80

// workerConnPercent is the percentage of the connection limit above which a worker's
// connection is closed after the answer, so that its next report opens a new one. Otherwise
// a fleet with more machines than the node has connections, such as 2,700 machines with 2,500
// connections, would hold all of them, and users would be refused permanently.
const workerConnPercent = 60

// usageExceeds reports whether more than the given percentage of the connection limit is in
// use.
func (s *Server) usageExceeds(percent int64) bool { return s.openConns.Load() > s.maxConns*percent/100 }

// ConnectionUsage returns the share of the connection limit that is in use; 1 is all of it.
func (s *Server) ConnectionUsage() float64 {
	return float64(s.openConns.Load()) / float64(max(s.maxConns, 1))
}

// ServeHTTP implements http.Handler. It routes without a ServeMux because there are only a
// few paths and job ids need no decoding.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if s.usageExceeds(userConnPercent) && strings.HasPrefix(path, jobsPath) {
		// When connections run short, users are refused before workers.
		w.Header().Set("Connection", "close")
		writeAnswer(w, controller.Answer{}, false)
		return
	}
	switch {
	case path == "/checkin":
		if checkMethod(w, r, http.MethodPost) {
			s.handleReport(w, r)
		}
	case path == "/ready":
		if checkMethod(w, r, http.MethodGet) {
			s.handleReady(w, r)
		}
	case path == "/admission":
		if checkMethod(w, r, http.MethodGet) {
			writeSnapshot(s, w, r, (*controller.Core).Admission)
		}
	case path == "/relays":
		if checkMethod(w, r, http.MethodGet) {
			writeSnapshot(s, w, r, (*controller.Core).Relays)
		}
	case path == jobsPath:
		if checkMethod(w, r, http.MethodPost) {
			s.handleSubmit(w, r)
		}
	case strings.HasPrefix(path, jobsPath+"/"):
		id := path[len(jobsPath)+1:]
		if id, ok := strings.CutSuffix(id, "/cancel"); ok {
			if checkMethod(w, r, http.MethodPost) {
				s.handleJob(w, r, id, (*controller.Core).Cancel)
			}
			return
		}
		if checkMethod(w, r, http.MethodGet) {
			s.handleJob(w, r, id, (*controller.Core).Status)
		}
	default:
		writeProblem(w, http.StatusNotFound, "no such path")
	}
}

// checkMethod answers 405 and returns false unless the request has the method want.
func checkMethod(w http.ResponseWriter, r *http.Request, want string) bool {
	if r.Method == want {
		return true
	}
	w.Header().Set("Allow", want)
	writeProblem(w, http.StatusMethodNotAllowed, "method not allowed")
	return false
}

// writeMessage answers with a status and a MessagePack body.
func writeMessage(w http.ResponseWriter, status int, message any) {
	body := wire.Encode(message)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// writeProblem answers with an error status and its reason.
func writeProblem(w http.ResponseWriter, status int, why string) {
	writeMessage(w, status, &wire.Problem{Error: why})
}

// readBody reads the request's body. If that fails it answers 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "the request body cannot be read or is too large")
		return nil, false
	}
	return body, true
}

// callCore runs handle on the owner goroutine and waits for the answer. It returns false if
// there is none within timeout or if the client disconnects.
func callCore[T any](s *Server, r *http.Request, timeout time.Duration, handle func(*controller.Core, func(T))) (T, bool) {
	answers := make(chan T, 1)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	s.owner.Post(func() {
		handle(s.owner.Core(), func(answer T) {
			select {
			case answers <- answer:
			default:
			}
		})
	})
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// handleReady answers a health check of the load balancer.
func (s *Server) handleReady(w http.ResponseWriter, r *http.Request) {
	ready, answered := callCore(s, r, 900*time.Millisecond, func(c *controller.Core, reply func(bool)) { reply(c.Ready()) })
	if !answered || !ready {
		writeProblem(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeMessage(w, http.StatusOK, map[string]string{})
}

// writeSnapshot answers an operator's query with a snapshot of the controller's state.
func writeSnapshot[T any](s *Server, w http.ResponseWriter, r *http.Request, snapshot func(*controller.Core) *T) {
	answer, ok := callCore(s, r, 2*time.Second, func(c *controller.Core, reply func(*T)) { reply(snapshot(c)) })
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, "busy")
		return
	}
	writeMessage(w, http.StatusOK, answer)
}

// handleSubmit handles a job submission. A malformed one with a valid job id still goes to the
// controller, because a job that was accepted before is answered with its status.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	job, err := wire.DecodeJob(body)
	handle := func(c *controller.Core, reply func(controller.Answer)) { c.Submit(job, reply) }
	if err != nil {
		id := wire.SubmittedID(body)
		if id == "" {
			writeProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		handle = func(c *controller.Core, reply func(controller.Answer)) { c.RejectMalformed(id, err.Error(), reply) }
	}
	answer, ok := callCore(s, r, 4*time.Second, handle)
	writeAnswer(w, answer, ok)
}

// handleJob handles a status query or a cancellation of the job id.
func (s *Server) handleJob(w http.ResponseWriter, r *http.Request, id string, handle func(*controller.Core, string, func(controller.Answer))) {
	if !wire.ValidID(id) {
		writeProblem(w, http.StatusNotFound, "no such job")
		return
	}
	answer, ok := callCore(s, r, 4*time.Second, func(c *controller.Core, reply func(controller.Answer)) { handle(c, id, reply) })
	writeAnswer(w, answer, ok)
}

// writeAnswer writes the controller's answer to a user; ok is false if there was none in time.
func writeAnswer(w http.ResponseWriter, answer controller.Answer, ok bool) {
	if !ok {
		answer = controller.Answer{Code: http.StatusServiceUnavailable, RetryAfter: 1}
	}
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	switch answer.Code {
	case http.StatusOK, http.StatusCreated:
		writeMessage(w, answer.Code, &answer.Status)
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		writeProblem(w, answer.Code, answer.Status.ID) // with these codes, ID holds the reason
	case http.StatusNotFound:
		writeProblem(w, answer.Code, "no such job")
	default:
		writeProblem(w, answer.Code, "try again later")
	}
}

// handleReport handles a worker's report. Status 421 redirects the worker to another
// controller.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	if s.usageExceeds(workerConnPercent) {
		w.Header().Set("Connection", "close")
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	report, err := wire.DecodeReport(body)
	if err != nil {
		slog.Info("worker report is malformed", "err", err)
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	answer, ok := callCore(s, r, 3*time.Second, func(c *controller.Core, reply func(controller.ReportAnswer)) { c.HandleReport(report, reply) })
	switch {
	case !ok:
		writeProblem(w, http.StatusServiceUnavailable, "busy")
	case answer.Code == http.StatusOK:
		writeMessage(w, answer.Code, &answer.Body)
	case answer.Code == http.StatusMisdirectedRequest:
		writeMessage(w, answer.Code, &wire.Redirect{ReportTo: answer.Leader})
	default:
		writeProblem(w, answer.Code, "the report was not handled")
	}
}
