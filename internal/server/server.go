// Package server is the HTTP edge: users, workers and health checks.
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

// Owner runs functions on the owner goroutine.
type Owner interface {
	Post(func())
	Core() *controller.Core
}

// Server serves one node's public address.
type Server struct {
	owner     Owner
	openConns atomic.Int64
	maxConns  int64
}

// New makes a server that keeps at most limit connections.
func New(owner Owner, limit int) *Server { return &Server{owner: owner, maxConns: int64(limit)} }

// Serve serves ln until it fails.
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
					c.Close() // the load balancer tries another node
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

const jobsPath = "/v2/runs"

// userShare is the percentage of the sockets up to which users are served; the
// rest is left to workers and health checks.
const userConnPercent = 80

// workerShare is the percentage up to which workers keep their connections. Beyond it each
// is closed with its answer and made anew for the next report: a fleet of more machines
// than this node has sockets would otherwise take them all, and users would be shed for as
// long as it stands. Found at 1.5 times a deployment of 1,800 machines and 2,500 sockets.
const workerConnPercent = 60

// beyond reports whether more than a percentage of the sockets is in use.
func (s *Server) usageExceeds(percent int64) bool { return s.openConns.Load() > s.maxConns*percent/100 }

// Share is the part of the sockets that is in use.
func (s *Server) ConnectionUsage() float64 {
	return float64(s.openConns.Load()) / float64(max(s.maxConns, 1))
}

// ServeHTTP routes by hand: the paths are few, and job ids need no decoding.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if s.usageExceeds(userConnPercent) && strings.HasPrefix(path, jobsPath) {
		// Sockets run short: users are shed first, workers last.
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

func checkMethod(w http.ResponseWriter, r *http.Request, want string) bool {
	if r.Method == want {
		return true
	}
	w.Header().Set("Allow", want)
	writeProblem(w, http.StatusMethodNotAllowed, "method not allowed")
	return false
}

func writeMessage(w http.ResponseWriter, status int, message any) {
	body := wire.Encode(message)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeProblem(w http.ResponseWriter, status int, why string) {
	writeMessage(w, status, &wire.Problem{Error: why})
}

// read takes the request's body in, or answers 400.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "body cannot be read or is too large")
		return nil, false
	}
	return body, true
}

// wait runs ask on the owner goroutine and waits for its answer.
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

func (s *Server) handleReady(w http.ResponseWriter, r *http.Request) {
	ready, answered := callCore(s, r, 900*time.Millisecond, func(c *controller.Core, reply func(bool)) { reply(c.Ready()) })
	if !answered || !ready {
		writeProblem(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeMessage(w, http.StatusOK, map[string]string{})
}

// tell answers an operator's question.
func writeSnapshot[T any](s *Server, w http.ResponseWriter, r *http.Request, snapshot func(*controller.Core) *T) {
	answer, ok := callCore(s, r, 2*time.Second, func(c *controller.Core, reply func(*T)) { reply(snapshot(c)) })
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, "busy")
		return
	}
	writeMessage(w, http.StatusOK, answer)
}

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

func (s *Server) handleJob(w http.ResponseWriter, r *http.Request, id string, handle func(*controller.Core, string, func(controller.Answer))) {
	if !wire.ValidID(id) {
		writeProblem(w, http.StatusNotFound, "no such job")
		return
	}
	answer, ok := callCore(s, r, 4*time.Second, func(c *controller.Core, reply func(controller.Answer)) { handle(c, id, reply) })
	writeAnswer(w, answer, ok)
}

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
		writeProblem(w, answer.Code, answer.Status.ID)
	case http.StatusNotFound:
		writeProblem(w, answer.Code, "no such job")
	default:
		writeProblem(w, answer.Code, "try again later")
	}
}

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
		slog.Info("malformed report", "err", err)
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
		writeProblem(w, answer.Code, "not in charge")
	}
}
