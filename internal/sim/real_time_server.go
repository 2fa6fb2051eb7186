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

// Live plays a world in real time on loopback: its state service, cloud and workers
// take requests over HTTP from controllers that are real processes. Rules are checked as
// in virtual time; whoever submits tells the checker (Known, Submitted, Polled).
type RealTimeServer struct {
	mu    sync.Mutex // guards the world
	w     *World
	start time.Time
	nodes map[string]*rpc.Client
	addrs map[string]string // of the controllers
	links map[string]*workerLink
	open  []io.Closer
	stop  chan struct{}
	done  sync.WaitGroup
	fail  error
	// Addresses of the state service and the cloud.
	StateAddr, CloudAddr string
	Traffic              Traffic
}

// Traffic counts what workers and controllers exchange; bodies only, in bytes.
type Traffic struct {
	Reports, Answered, Redirected, Failed uint64
	ReportBytes, AnswerBytes              uint64
	Orders, OrderBytes                    uint64
}

// workerLink is a worker's connection to the controller that it reports to.
type workerLink struct {
	node   string
	client *rpc.Client
}

// Serve begins to play a world whose controllers take reports at the given addresses,
// by name. Close ends it.
func Serve(w *World, nodes map[string]string) (*RealTimeServer, error) {
	l := &RealTimeServer{w: w, start: time.Now(), nodes: map[string]*rpc.Client{}, addrs: nodes, links: map[string]*workerLink{}, stop: make(chan struct{})}
	w.server, w.Nodes = l, nil
	for _, name := range sortedKeys(nodes) {
		w.Nodes = append(w.Nodes, &Node{w: w, name: name})
		l.nodes[name] = rpc.New(nodes[name])
	}
	var err error
	if l.StateAddr, err = l.listen(http.HandlerFunc(l.state)); err != nil {
		return nil, err
	}
	if l.CloudAddr, err = l.listen(http.HandlerFunc(l.cloud)); err != nil {
		l.Close()
		return nil, err
	}
	l.done.Add(1)
	go l.run()
	return l, nil
}

// Do runs f on the world.
func (l *RealTimeServer) WithWorld(f func(w *World)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.Run(Micros(time.Since(l.start).Microseconds()))
	f(l.w)
}

func (l *RealTimeServer) run() {
	defer l.done.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(2 * time.Millisecond):
			l.WithWorld(func(*World) {})
		}
	}
}

// Close stops the world and everything that it serves.
func (l *RealTimeServer) Close() error {
	close(l.stop)
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.Close()
	}
	return l.fail
}

// listen serves a handler at a port of its own.
func (l *RealTimeServer) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	l.open = append(l.open, srv)
	go srv.Serve(ln)
	return ln.Addr().String(), nil
}

// serve gives a worker an address for orders; the world is held.
func (l *RealTimeServer) serveWorker(x *Worker) {
	addr, err := l.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o wire.Orders
		if r.URL.Path == "/orders" && !decode(w, r, &o) {
			return
		}
		if l.deaf(x.id) { // nothing of it arrives
			time.Sleep(4 * time.Second)
			return
		}
		status, report := http.StatusServiceUnavailable, (*wire.Report)(nil)
		l.WithWorld(func(*World) {
			switch {
			case x.dead || x.hung:
			case r.URL.Path == "/show":
				status, report = http.StatusOK, x.snapshot()
			default:
				var outcome store.Outcome
				status = http.StatusOK
				l.Traffic.Orders++
				l.Traffic.OrderBytes += uint64(len(wire.Encode(&o)))
				if outcome, report = x.executeOrders(&o); outcome != store.OK {
					status = http.StatusConflict
				}
			}
		})
		respond(w, status, report)
	}))
	if err != nil {
		l.fail = errors.Join(l.fail, err)
		return
	}
	x.addr = addr
}

// report carries a worker's report to a controller; the world is held.
func (l *RealTimeServer) postReport(node string, rep *wire.Report, answered func(controller.ReportAnswer)) {
	c := l.link(rep.Machine, node)
	l.Traffic.Reports++
	l.Traffic.ReportBytes += uint64(len(wire.Encode(rep)))
	go func() {
		l.copyLater(rep)
		var a controller.ReportAnswer
		status, raw, _, err := c.Call(http.MethodPost, "/checkin", rep, &a.Body, 4*time.Second)
		a.Code = status
		var to wire.Redirect
		if err == nil && status == http.StatusMisdirectedRequest && wire.Decode(raw, &to) == nil {
			a.Leader = to.ReportTo
		}
		if l.deaf(rep.Machine) { // the worker waits for an answer in vain
			time.Sleep(4 * time.Second)
			a = controller.ReportAnswer{}
		}
		l.WithWorld(func(*World) {
			l.Traffic.count(status, len(raw))
			answered(a)
		})
	}()
}

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

// link is a worker's connection to a controller; the one that it had to another is closed.
func (l *RealTimeServer) link(machine, node string) *rpc.Client {
	link := l.links[machine]
	if link == nil {
		link = new(workerLink)
		l.links[machine] = link
	}
	if link.node != node {
		if link.client != nil {
			link.client.Close()
		}
		link.node, link.client = node, rpc.New(l.addrs[node])
	}
	return link.client
}

// deaf reports whether nothing reaches a machine.
func (l *RealTimeServer) deaf(machine string) (deaf bool) {
	l.WithWorld(func(w *World) { deaf = w.inboundLost[machine] })
	return deaf
}

// copyLater posts a late copy of a report to some controller, if copies are on.
func (l *RealTimeServer) copyLater(rep *wire.Report) {
	var n *Node
	var after Micros
	l.WithWorld(func(w *World) { n, after = w.pickCopyTarget() })
	if n != nil {
		time.AfterFunc(time.Duration(after)*time.Microsecond, func() {
			l.nodes[n.name].Call(http.MethodPost, "/checkin", rep, nil, 4*time.Second)
		})
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	w.Write(wire.Encode(v))
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil || wire.Decode(body, v) != nil {
		respond(w, http.StatusBadRequest, &wire.Problem{Error: "malformed"})
		return false
	}
	return true
}

// number reads a number of a request's query; 0 if there is none.
func number(r *http.Request, key string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	return n
}

// state is the state service's interface.
func (l *RealTimeServer) state(w http.ResponseWriter, r *http.Request) {
	path, query := r.URL.Path, r.URL.Query()
	var status int
	var body any
	do := func(f func(s *State)) {
		l.WithWorld(func(w *World) {
			w.State.countRequest()
			if w.State.Outage {
				status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "trouble"}
				return
			}
			status = http.StatusOK
			f(w.State)
		})
	}
	none := struct{}{}
	switch {
	case path == "/store":
		do(func(s *State) { body = s.page(query.Get("starts"), query.Get("since"), int(number(r, "limit"))) })
	case strings.HasPrefix(path, "/store/"):
		do(func(s *State) {
			if it := s.items[path[len("/store/"):]]; it != nil {
				copied := *it
				body = &copied
				return
			}
			status, body = http.StatusNotFound, map[string]uint64{"epoch": s.revision}
		})
	case path == "/txn":
		var t wire.Txn
		if !decode(w, r, &t) {
			return
		}
		do(func(s *State) {
			switch s.checkLimits(&t) {
			case store.Invalid:
				status, body = http.StatusBadRequest, &wire.Problem{Error: "too large"}
				return
			case store.RateLimited:
				status, body = http.StatusTooManyRequests, &wire.Problem{Error: "too many"}
				return
			}
			o, a := s.txn(&t)
			body = a
			switch o {
			case store.Failed:
				status = http.StatusConflict
			case store.Refused:
				status, body = http.StatusBadRequest, &wire.Problem{Error: "no such lease"}
			}
		})
	case path == "/grants":
		var q wire.LeaseRequest
		if !decode(w, r, &q) {
			return
		}
		do(func(s *State) { body = &wire.LeaseAnswer{Lease: s.grant(Micros(q.TTL) * millisecond)} })
	case strings.HasPrefix(path, "/grants/"):
		text, _ := strings.CutSuffix(path[len("/grants/"):], "/renew")
		id, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			respond(w, http.StatusBadRequest, &wire.Problem{Error: "malformed"})
			return
		}
		do(func(s *State) {
			body = &none
			if r.Method == http.MethodDelete {
				s.removeLease(id)
			} else if !s.renew(id) {
				status = http.StatusNotFound
			}
		})
	case path == "/watch":
		answers := make(chan *wire.WatchAnswer, 1)
		l.WithWorld(func(w *World) {
			w.State.countRequest()
			w.State.watch(query.Get("starts"), number(r, "since"), Micros(number(r, "hold_ms"))*millisecond,
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

// cloud is the cloud's interface.
func (l *RealTimeServer) cloud(w http.ResponseWriter, r *http.Request) {
	var rent wire.RentRequest
	var names wire.MachineIDs
	switch path := r.URL.Path; {
	case path == "/machines" && r.Method == http.MethodPost && !decode(w, r, &rent),
		path == "/machines/release" && !decode(w, r, &names):
		return
	}
	status, body := http.StatusOK, any(nil)
	l.WithWorld(func(w *World) {
		switch path := r.URL.Path; {
		case w.Cloud.Outage:
			status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "trouble"}
		case path == "/catalog":
			body = &wire.Catalog{Types: append([]wire.MachineType(nil), w.Cloud.Types...)}
		case path == "/machines/release":
			for _, id := range names.Machines {
				w.Cloud.remove(id)
			}
			body = &struct{}{}
		case path == "/machines" && r.Method == http.MethodPost:
			ids, ok := w.Cloud.rent(&rent)
			if body = &(wire.MachineIDs{Machines: ids}); !ok {
				status, body = http.StatusServiceUnavailable, &wire.Problem{Error: "no capacity"}
			}
		default:
			body = w.Cloud.list(r.URL.Query().Get("since"), int(number(r, "limit")))
		}
	})
	respond(w, status, body)
}

// Loopback begins to play a small world with so many controllers, which are to be started
// with the settings given: one zone, machines that boot in half a second.
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

// Deploy begins to play a world with its controllers, spread over its zones, which are to be
// started with the settings given.
func Deploy(w *World) (*RealTimeServer, []config.Config, error) {
	zones := w.Config.Params.Zones
	settings := make([]config.Config, len(w.Nodes))
	listen := map[string]string{}
	for i := range settings {
		c := &settings[i]
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
	l, err := Serve(w, listen)
	if err != nil {
		return nil, nil, err
	}
	for i := range settings {
		c := &settings[i]
		c.Endpoints.State, c.Endpoints.Cloud = l.StateAddr, l.CloudAddr
		for j, o := range settings {
			if j != i {
				c.Peers = append(c.Peers, config.Peer{Name: o.Name, Zone: o.Zone, Addr: o.PeerListen})
			}
		}
	}
	return l, settings, nil
}

// Ports of controllers lie below those that the system gives to connections: one that is killed
// and started again would otherwise find its port taken now and then.
const firstPort, lastPort = 10_000, 30_000

// freePort is an address on loopback that nobody listens at just now.
func freePort() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ln, err := net.Listen("tcp4", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}
