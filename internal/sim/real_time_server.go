package sim

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/rpc"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// RealTimeServer runs a simulated environment in real time on loopback. Its state service,
// cloud and workers serve controllers that are real processes, over HTTP. The checker's
// rules apply as in virtual time, but whoever submits jobs must report them, their
// requests and the answers to the checker (AddJob, BeginRequest, CheckSubmitAnswer,
// CheckStatusAnswer).
type RealTimeServer struct {
	mu          sync.Mutex // guards the simulated environment
	world       *World
	start       time.Time
	clients     map[string]*rpc.Client // connections to the controllers, for report copies
	addrs       map[string]string      // addresses of the controllers
	connections map[string]*workerConn // by machine
	closers     []io.Closer            // HTTP servers
	stop        chan struct{}
	running     sync.WaitGroup
	listenErr   error // failures to listen for workers
	// StateAddr and CloudAddr are the addresses of the state service and the cloud.
	StateAddr, CloudAddr string
	Traffic              Traffic
}

// Traffic counts the messages between workers and controllers, and the bytes of their
// bodies.
type Traffic struct {
	Reports, Answered, Redirected, Failed uint64
	ReportBytes, AnswerBytes              uint64
	Orders, OrderBytes                    uint64
}

// workerConn is a worker's connection to the controller that it reports to.
type workerConn struct {
	node   string
	client *rpc.Client
}

// Serve starts to run an environment whose controllers take reports at the given addresses
// by name. Close ends it.
func Serve(w *World, nodes map[string]string) (*RealTimeServer, error) {
	rt := &RealTimeServer{world: w, start: time.Now(), clients: map[string]*rpc.Client{}, addrs: nodes, connections: map[string]*workerConn{}, stop: make(chan struct{})}
	w.server, w.Nodes = rt, nil
	for _, name := range sortedKeys(nodes) {
		w.Nodes = append(w.Nodes, &Node{world: w, name: name})
		rt.clients[name] = rpc.New(nodes[name])
	}
	var err error
	if rt.StateAddr, err = rt.listen(http.HandlerFunc(rt.serveState)); err != nil {
		return nil, err
	}
	if rt.CloudAddr, err = rt.listen(http.HandlerFunc(rt.serveCloud)); err != nil {
		rt.Close()
		return nil, err
	}
	rt.running.Add(1)
	go rt.run()
	return rt, nil
}

// WithWorld advances the environment to the present time and calls f with it, locked.
func (rt *RealTimeServer) WithWorld(f func(w *World)) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.world.Run(Micros(time.Since(rt.start).Microseconds()))
	f(rt.world)
}

// run advances the environment every 2 ms until Close.
func (rt *RealTimeServer) run() {
	defer rt.running.Done()
	for {
		select {
		case <-rt.stop:
			return
		case <-time.After(2 * time.Millisecond):
			rt.WithWorld(func(*World) {})
		}
	}
}

// Close ends the run and stops all HTTP servers.
func (rt *RealTimeServer) Close() error {
	close(rt.stop)
	rt.running.Wait()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, c := range rt.closers {
		c.Close()
	}
	return rt.listenErr
}

// listen serves a handler on a port of its own and returns the address.
func (rt *RealTimeServer) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	rt.closers = append(rt.closers, srv)
	go srv.Serve(ln)
	return ln.Addr().String(), nil
}

// serveWorker gives a worker an address for command batches. The caller holds the lock.
func (rt *RealTimeServer) serveWorker(x *Worker) {
	addr, err := rt.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o wire.Orders
		if r.URL.Path == "/orders" && !decodeRequest(w, r, &o) {
			return
		}
		if rt.inboundLost(x.id) { // the request is lost
			time.Sleep(4 * time.Second)
			return
		}
		status, report := http.StatusServiceUnavailable, (*wire.Report)(nil)
		rt.WithWorld(func(*World) {
			switch {
			case x.dead || x.suspended:
			case r.URL.Path == "/show":
				status, report = http.StatusOK, x.snapshot()
			default:
				var outcome store.Outcome
				status = http.StatusOK
				rt.Traffic.Orders++
				rt.Traffic.OrderBytes += uint64(len(wire.Encode(&o)))
				if outcome, report = x.executeOrders(&o); outcome != store.OK {
					status = http.StatusConflict
				}
			}
		})
		respond(w, status, report)
	}))
	if err != nil {
		rt.listenErr = errors.Join(rt.listenErr, err)
		return
	}
	x.addr = addr
}

// postReport sends a worker's report to a controller. The caller holds the lock.
func (rt *RealTimeServer) postReport(node string, rep *wire.Report, answered func(controller.ReportAnswer)) {
	client := rt.connect(rep.Machine, node)
	rt.Traffic.Reports++
	rt.Traffic.ReportBytes += uint64(len(wire.Encode(rep)))
	go func() {
		rt.postReportCopy(rep)
		var answer controller.ReportAnswer
		status, raw, _, err := client.Call(http.MethodPost, "/checkin", rep, &answer.Body, 4*time.Second)
		answer.Code = status
		var redirect wire.Redirect
		if err == nil && status == http.StatusMisdirectedRequest && wire.Decode(raw, &redirect) == nil {
			answer.Leader = redirect.ReportTo
		}
		if rt.inboundLost(rep.Machine) { // the answer is lost
			time.Sleep(4 * time.Second)
			answer = controller.ReportAnswer{}
		}
		rt.WithWorld(func(*World) {
			rt.Traffic.count(status, len(raw))
			answered(answer)
		})
	}()
}

// count counts the answer to a report.
func (t *Traffic) count(status, bytes int) {
	switch status {
	case http.StatusOK:
		t.Answered++
	case http.StatusMisdirectedRequest:
		t.Redirected++
	default:
		t.Failed++
	}
	t.AnswerBytes += uint64(bytes)
}

// connect returns a worker's connection to a controller and closes one to another.
func (rt *RealTimeServer) connect(machine, node string) *rpc.Client {
	conn := rt.connections[machine]
	if conn == nil {
		conn = new(workerConn)
		rt.connections[machine] = conn
	}
	if conn.node != node {
		if conn.client != nil {
			conn.client.Close()
		}
		conn.node, conn.client = node, rpc.New(rt.addrs[node])
	}
	return conn.client
}

// inboundLost reports whether all messages to a machine are lost.
func (rt *RealTimeServer) inboundLost(machine string) (lost bool) {
	rt.WithWorld(func(w *World) { lost = w.inboundLost[machine] })
	return lost
}

// postReportCopy sends a delayed copy of a report to some controller if World.reportCopier
// chooses the report.
func (rt *RealTimeServer) postReportCopy(report *wire.Report) {
	var target *Node
	var delay Micros
	rt.WithWorld(func(w *World) { target, delay = w.pickCopyTarget() })
	if target != nil {
		time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
			rt.clients[target.name].Call(http.MethodPost, "/checkin", report, nil, 4*time.Second)
		})
	}
}

// respond writes a response with a MessagePack body.
func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	w.Write(wire.Encode(v))
}

// decodeRequest decodes a request's body. If that fails it answers 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil || wire.Decode(body, v) != nil {
		respond(w, http.StatusBadRequest, &wire.Problem{Error: "malformed"})
		return false
	}
	return true
}

// queryNumber returns a number in a request's query; 0 if it is missing or malformed.
func queryNumber(r *http.Request, key string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	return n
}

// serveState serves the state service.
func (rt *RealTimeServer) serveState(w http.ResponseWriter, r *http.Request) {
	path, query := r.URL.Path, r.URL.Query()
	var status int
	var body any
	withState := func(f func(s *State)) {
		rt.WithWorld(func(w *World) {
			w.State.countRequest()
			if w.State.Outage {
				status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "trouble"}
				return
			}
			status = http.StatusOK
			f(w.State)
		})
	}
	empty := struct{}{}
	switch {
	case path == "/store":
		withState(func(s *State) {
			body = s.listPage(query.Get("starts"), query.Get("since"), int(queryNumber(r, "limit")))
		})
	case strings.HasPrefix(path, "/store/"):
		withState(func(s *State) {
			if it := s.items[path[len("/store/"):]]; it != nil {
				copied := *it
				body = &copied
				return
			}
			status, body = http.StatusNotFound, map[string]uint64{"epoch": s.revision}
		})
	case path == "/txn":
		var t wire.Txn
		if !decodeRequest(w, r, &t) {
			return
		}
		withState(func(s *State) {
			switch s.checkLimits(&t) {
			case store.Invalid:
				status, body = http.StatusBadRequest, &wire.Problem{Error: "too large"}
				return
			case store.RateLimited:
				status, body = http.StatusTooManyRequests, &wire.Problem{Error: "too many"}
				return
			}
			outcome, answer := s.txn(&t)
			body = answer
			switch outcome {
			case store.Failed:
				status = http.StatusConflict
			case store.Refused:
				status, body = http.StatusBadRequest, &wire.Problem{Error: "no such lease"}
			}
		})
	case path == "/grants":
		var q wire.LeaseRequest
		if !decodeRequest(w, r, &q) {
			return
		}
		withState(func(s *State) { body = &wire.LeaseAnswer{Lease: s.grantLease(Micros(q.TTL) * millisecond)} })
	case strings.HasPrefix(path, "/grants/"):
		idText, _ := strings.CutSuffix(path[len("/grants/"):], "/renew")
		id, err := strconv.ParseUint(idText, 10, 64)
		if err != nil {
			respond(w, http.StatusBadRequest, &wire.Problem{Error: "malformed"})
			return
		}
		withState(func(s *State) {
			body = &empty
			if r.Method == http.MethodDelete {
				s.removeLease(id)
			} else if !s.renewLease(id) {
				status = http.StatusNotFound
			}
		})
	case path == "/watch":
		answers := make(chan *wire.WatchAnswer, 1)
		rt.WithWorld(func(w *World) {
			w.State.countRequest()
			w.State.addWatch(query.Get("starts"), queryNumber(r, "since"), Micros(queryNumber(r, "hold_ms"))*millisecond,
				func(a *wire.WatchAnswer) { answers <- a })
		})
		select {
		case a := <-answers:
			status, body = http.StatusOK, a
		case <-r.Context().Done():
			return
		}
	default:
		status, body = http.StatusNotFound, &wire.Problem{Error: "no such path"}
	}
	respond(w, status, body)
}

// serveCloud serves the cloud.
func (rt *RealTimeServer) serveCloud(w http.ResponseWriter, r *http.Request) {
	var rentRequest wire.RentRequest
	var machineIDs wire.MachineIDs
	switch path := r.URL.Path; {
	case path == "/machines" && r.Method == http.MethodPost && !decodeRequest(w, r, &rentRequest),
		path == "/machines/release" && !decodeRequest(w, r, &machineIDs):
		return
	}
	status, body := http.StatusOK, any(nil)
	rt.WithWorld(func(w *World) {
		switch path := r.URL.Path; {
		case w.Cloud.Outage:
			status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "trouble"}
		case path == "/catalog":
			body = &wire.Catalog{Types: append([]wire.MachineType(nil), w.Cloud.Types...)}
		case path == "/machines/release":
			for _, id := range machineIDs.Machines {
				w.Cloud.remove(id)
			}
			body = &struct{}{}
		case path == "/machines" && r.Method == http.MethodPost:
			ids, ok := w.Cloud.rent(&rentRequest)
			if body = &(wire.MachineIDs{Machines: ids}); !ok {
				status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "no capacity"}
			}
		default:
			body = w.Cloud.list(r.URL.Query().Get("since"), int(queryNumber(r, "limit")))
		}
	})
	respond(w, status, body)
}

// StartLoopback starts a small environment with the given number of controllers: one zone
// and machines that boot in half a second. The caller starts the controllers with the
// returned configurations.
func StartLoopback(nodes int) (*RealTimeServer, []config.Config, error) {
	w := NewWorld(nodes, []string{"a"}, 7)
	p := &w.Config.Params
	p.Teams = []config.Team{{Name: "core"}}
	p.Workers.Report, p.Workers.Lease, p.Workers.Cancel = 0.3, 5, 30
	p.Cloud.RPS, p.Cloud.ListLag = 10, 0.5
	p.State.WriteRPS = 400
	w.Cloud.Types = []wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchRate: 10, Price: 1,
		SpotPrice: 0.3, BootTime: 0.5, Zones: []string{"a"}}}
	return Deploy(w)
}

// Deploy starts to run an environment whose controllers are spread over its zones. The
// caller starts the controllers with the returned configurations.
func Deploy(w *World) (*RealTimeServer, []config.Config, error) {
	zones := w.Config.Params.Zones
	configs := make([]config.Config, len(w.Nodes))
	listen := map[string]string{}
	for i := range configs {
		c := &configs[i]
		*c = w.Config
		c.Name, c.Zone = w.Nodes[i].name, zones[i%len(zones)]
		var err1, err2 error
		c.Listen, err1 = freePort()
		c.PeerListen, err2 = freePort()
		if err := errors.Join(err1, err2); err != nil {
			return nil, nil, err
		}
		listen[c.Name] = c.Listen
	}
	server, err := Serve(w, listen)
	if err != nil {
		return nil, nil, err
	}
	for i := range configs {
		c := &configs[i]
		c.Endpoints.State, c.Endpoints.Cloud = server.StateAddr, server.CloudAddr
		for j, o := range configs {
			if j != i {
				c.Peers = append(c.Peers, config.Peer{Name: o.Name, Zone: o.Zone, Addr: o.PeerListen})
			}
		}
	}
	return server, configs, nil
}

// firstPort and lastPort limit the ports on which controllers listen. They are below the
// system's range for outgoing connections, since a controller that is killed and restarted
// could otherwise find its port taken by such a connection.
const firstPort, lastPort = 10_000, 30_000

// freePort returns an address on loopback where nothing listens at present.
func freePort() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ln, err := net.Listen("tcp4", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}
