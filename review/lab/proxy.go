package lab

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lilacthread/internal/config"
	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// Message is a report of a worker or a batch of commands for it, on its way through a proxy.
type Message struct {
	Machine string
	Node    string       // the controller that gets the report; empty for commands
	Report  *wire.Report // nil for commands
	Orders  *wire.Orders // nil for a report
	Status  int          // of the answer; 0: none yet, or none at all
	Reset   bool         // the connection was reset before the message arrived
	url     string
	body    []byte
}

// Repeat delivers a copy of the message and returns the status of its answer, 0 without one.
func (m *Message) Repeat() int {
	res, err := http.Post(m.url, "application/msgpack", bytes.NewReader(m.body))
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// Links are proxies on all links between workers and controllers.
type Links struct {
	// Cut decides whether the connection that carries a message is reset before the message
	// arrives. It may be called by several goroutines at once, as Seen.
	Cut func(*Message) bool
	// Seen gets every message once it is answered or lost.
	Seen  func(*Message)
	mu    sync.Mutex
	addrs map[string]string // of the proxies for commands, by the worker's address
}

// Deploy is sim.Deploy with the proxies.
func (k *Links) Deploy(w *sim.World) (*sim.RealTimeServer, []config.Config, error) {
	zones := w.Config.Params.Zones
	configs := make([]config.Config, w.Config.Params.Size)
	proxies := map[string]string{}
	k.addrs = map[string]string{}
	for i := range configs {
		c := &configs[i]
		*c = w.Config
		c.Name, c.Zone = fmt.Sprintf("node-%d", i), zones[i%len(zones)]
		var err error
		if c.Listen, err = freePort(); err != nil {
			return nil, nil, err
		}
		if c.PeerListen, err = freePort(); err != nil {
			return nil, nil, err
		}
		node, target := c.Name, c.Listen
		if proxies[node], err = serve(func(w http.ResponseWriter, r *http.Request) { k.passReport(w, r, node, target) }); err != nil {
			return nil, nil, err
		}
	}
	server, err := sim.Serve(w, proxies)
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

// serve serves a handler on a port of its own and returns the address.
func serve(handler http.HandlerFunc) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, handler)
	return ln.Addr().String(), nil
}

// passReport passes a worker's report to a controller. In the report it names the worker's
// proxy for commands instead of the worker.
func (k *Links) passReport(w http.ResponseWriter, r *http.Request, node, target string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	report, err := wire.DecodeReport(body)
	if err == nil {
		report.Addr, err = k.commandProxy(report.Machine, report.Addr)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	k.pass(w, &Message{Machine: report.Machine, Node: node, Report: report}, "http://"+target+r.URL.Path, wire.Encode(report))
}

// commandProxy returns the address of the proxy for commands to a worker.
func (k *Links) commandProxy(machine, addr string) (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addrs[addr] != "" {
		return k.addrs[addr], nil
	}
	proxy, err := serve(func(w http.ResponseWriter, r *http.Request) {
		orders := new(wire.Orders)
		body, err := io.ReadAll(r.Body)
		if err != nil || wire.Decode(body, orders) != nil {
			panic(http.ErrAbortHandler)
		}
		k.pass(w, &Message{Machine: machine, Orders: orders}, "http://"+addr+r.URL.Path, body)
	})
	k.addrs[addr] = proxy
	return proxy, err
}

// pass passes a message on, unless its connection is to be reset, and its answer back.
func (k *Links) pass(w http.ResponseWriter, m *Message, url string, body []byte) {
	m.url, m.body = url, body
	defer func() { k.Seen(m) }()
	if m.Reset = k.Cut(m); m.Reset {
		reset(w)
	}
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post(url, "application/msgpack", bytes.NewReader(body))
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	m.Status = res.StatusCode
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(res.StatusCode)
	w.Write(answer)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// picked holds the addresses that freePort has returned.
var picked = map[string]bool{}

// freePort returns an address on loopback where nothing listens at present, below the range of
// outgoing connections, and never the same one twice.
func freePort() (string, error) {
	err := errors.New("no free port on loopback")
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		var ln net.Listener
		if ln, err = net.Listen("tcp4", addr); err == nil && !picked[addr] {
			picked[addr] = true
			return addr, ln.Close()
		} else if err == nil {
			ln.Close()
		}
	}
	return "", err
}
