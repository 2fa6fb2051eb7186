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
	limit     int64
}

// New makes a server that keeps at most limit connections.
func New(owner Owner, limit int) *Server { return &Server{owner: owner, limit: int64(limit)} }

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
		ConnState: func(c net.Conn, st http.ConnState) {
			switch st {
			case http.StateNew:
				if s.openConns.Add(1) > s.limit {
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

const jobs = "/v2/runs"

// userShare is the percentage of the sockets up to which users are served; the
// rest is left to workers and health checks.
const userShare = 80

// workerShare is the percentage up to which workers keep their connections. Beyond it each
// is closed with its answer and made anew for the next report: a fleet of more machines
// than this node has sockets would otherwise take them all, and users would be shed for as
// long as it stands. Found at 1.5 times a deployment of 1,800 machines and 2,500 sockets.
const workerShare = 60

// beyond reports whether more than a percentage of the sockets is in use.
func (s *Server) usageExceeds(percent int64) bool { return s.openConns.Load() > s.limit*percent/100 }

// Share is the part of the sockets that is in use.
func (s *Server) ConnectionUsage() float64 {
	return float64(s.openConns.Load()) / float64(max(s.limit, 1))
}

// ServeHTTP routes by hand: the paths are few, and job ids need no decoding.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if s.usageExceeds(userShare) && strings.HasPrefix(path, jobs) {
		// Sockets run short: users are shed first, workers last.
		w.Header().Set("Connection", "close")
		answer(w, controller.Answer{}, false)
		return
	}
	switch {
	case path == "/checkin":
		if method(w, r, http.MethodPost) {
			s.report(w, r)
		}
	case path == "/ready":
		if method(w, r, http.MethodGet) {
			s.ready(w, r)
		}
	case path == "/admission":
		if method(w, r, http.MethodGet) {
			writeSnapshot(s, w, r, (*controller.Core).Admission)
		}
	case path == "/relays":
		if method(w, r, http.MethodGet) {
			writeSnapshot(s, w, r, (*controller.Core).Relays)
		}
	case path == jobs:
		if method(w, r, http.MethodPost) {
			s.submit(w, r)
		}
	case strings.HasPrefix(path, jobs+"/"):
		id := path[len(jobs)+1:]
		if id, ok := strings.CutSuffix(id, "/cancel"); ok {
			if method(w, r, http.MethodPost) {
				s.job(w, r, id, (*controller.Core).Cancel)
			}
			return
		}
		if method(w, r, http.MethodGet) {
			s.job(w, r, id, (*controller.Core).Status)
		}
	default:
		problem(w, http.StatusNotFound, "no such path")
	}
}

func method(w http.ResponseWriter, r *http.Request, want string) bool {
	if r.Method == want {
		return true
	}
	w.Header().Set("Allow", want)
	problem(w, http.StatusMethodNotAllowed, "method not allowed")
	return false
}

func write(w http.ResponseWriter, status int, v any) {
	body := wire.Encode(v)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func problem(w http.ResponseWriter, status int, why string) {
	write(w, status, &wire.Problem{Error: why})
}

// read takes the request's body in, or answers 400.
func read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		problem(w, http.StatusBadRequest, "body cannot be read or is too large")
		return nil, false
	}
	return body, true
}

// wait runs ask on the owner goroutine and waits for its answer.
func wait[T any](s *Server, r *http.Request, limit time.Duration, ask func(*controller.Core, func(T))) (T, bool) {
	answers := make(chan T, 1)
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	s.owner.Post(func() {
		ask(s.owner.Core(), func(a T) {
			select {
			case answers <- a:
			default:
			}
		})
	})
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	ok, in := wait(s, r, 900*time.Millisecond, func(c *controller.Core, reply func(bool)) { reply(c.Ready()) })
	if !in || !ok {
		problem(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	write(w, http.StatusOK, map[string]string{})
}

// tell answers an operator's question.
func writeSnapshot[T any](s *Server, w http.ResponseWriter, r *http.Request, ask func(*controller.Core) *T) {
	a, ok := wait(s, r, 2*time.Second, func(c *controller.Core, reply func(*T)) { reply(ask(c)) })
	if !ok {
		problem(w, http.StatusServiceUnavailable, "busy")
		return
	}
	write(w, http.StatusOK, a)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := read(w, r)
	if !ok {
		return
	}
	job, err := wire.DecodeJob(body)
	ask := func(c *controller.Core, reply func(controller.Answer)) { c.Submit(job, reply) }
	if err != nil {
		id := wire.SubmittedID(body)
		if id == "" {
			problem(w, http.StatusBadRequest, err.Error())
			return
		}
		ask = func(c *controller.Core, reply func(controller.Answer)) { c.RejectMalformed(id, err.Error(), reply) }
	}
	a, ok := wait(s, r, 4*time.Second, ask)
	answer(w, a, ok)
}

func (s *Server) job(w http.ResponseWriter, r *http.Request, id string, ask func(*controller.Core, string, func(controller.Answer))) {
	if !wire.ValidID(id) {
		problem(w, http.StatusNotFound, "no such job")
		return
	}
	a, ok := wait(s, r, 4*time.Second, func(c *controller.Core, reply func(controller.Answer)) { ask(c, id, reply) })
	answer(w, a, ok)
}

func answer(w http.ResponseWriter, a controller.Answer, ok bool) {
	if !ok {
		a = controller.Answer{Code: http.StatusServiceUnavailable, RetryAfter: 1}
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	switch a.Code {
	case http.StatusOK, http.StatusCreated:
		write(w, a.Code, &a.Status)
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		problem(w, a.Code, a.Status.ID)
	case http.StatusNotFound:
		problem(w, a.Code, "no such job")
	default:
		problem(w, a.Code, "try again later")
	}
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	if s.usageExceeds(workerShare) {
		w.Header().Set("Connection", "close")
	}
	body, ok := read(w, r)
	if !ok {
		return
	}
	rep, err := wire.DecodeReport(body)
	if err != nil {
		slog.Info("malformed report", "err", err)
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	a, ok := wait(s, r, 3*time.Second, func(c *controller.Core, reply func(controller.ReportAnswer)) { c.HandleReport(rep, reply) })
	switch {
	case !ok:
		problem(w, http.StatusServiceUnavailable, "busy")
	case a.Code == http.StatusOK:
		write(w, a.Code, &a.Body)
	case a.Code == http.StatusMisdirectedRequest:
		write(w, a.Code, &wire.Redirect{ReportTo: a.Leader})
	default:
		problem(w, a.Code, "not in charge")
	}
}
