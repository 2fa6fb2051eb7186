// Package node runs a controller as a process: it connects package controller to the
// network, the clocks and the clients of the state service, the cloud and the workers. All
// controller state belongs to one goroutine, the owner goroutine; the other goroutines
// pass functions to it with Node.Post. The package makes no scheduling decisions.
package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/internal/cloud"
	"lilacthread/internal/config"
	"lilacthread/internal/controller"
	"lilacthread/internal/peer"
	"lilacthread/internal/policy"
	"lilacthread/internal/server"
	"lilacthread/internal/store"
	"lilacthread/internal/worker"
	"lilacthread/wire"
)

// Node is one running controller. It implements controller.Env and server.Owner.
type Node struct {
	start       time.Time
	mu          sync.Mutex // guards queue
	queue       []func()
	wake        chan struct{}
	turns       turnWatch
	core        *controller.Core
	stateClient *store.HTTPClient
	cloudClient *cloud.HTTPClient
	peerLinks   *peer.Links
	workers     *worker.HTTPClient
	httpServer  *server.Server
}

// Run starts a controller and serves until a listener fails. The calling goroutine becomes
// the owner goroutine.
func Run(cfg *config.Config, pol *policy.Policy) error {
	n := &Node{wake: make(chan struct{}, 1), start: time.Now()}
	peerAddrs := map[string]string{}
	for _, p := range cfg.Peers {
		peerAddrs[p.Name] = p.Addr
	}
	listener, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peerListener, err := net.Listen("tcp4", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	n.stateClient = store.NewHTTPClient(cfg.Endpoints.State, n.Post)
	n.cloudClient = cloud.NewHTTPClient(cfg.Endpoints.Cloud, n.Post)
	n.peerLinks = peer.NewLinks(peerAddrs, n.Post)
	n.workers = worker.NewHTTPClient(n.Post)
	n.httpServer = server.New(n, cfg.MaxClientConns())
	n.core = controller.New(n, cfg, pol, rand.Uint64())
	serveErrors := make(chan error, 2)
	go func() {
		serveErrors <- peer.Serve(peerListener, func(m *peer.Msg, reply func(*peer.Msg)) {
			n.Post(func() { n.core.HandlePeerMessage(m, reply) })
		})
	}()
	go func() { serveErrors <- n.httpServer.Serve(listener) }()
	stopped := make(chan struct{})
	defer close(stopped)
	go n.turns.watch(stopped)
	n.Post(n.core.Start)
	for {
		select {
		case <-n.wake:
			n.drain()
		case err := <-serveErrors:
			return err
		}
	}
}

// Post queues f to run on the owner goroutine. It never blocks, so the owner goroutine may
// call it too.
func (n *Node) Post(f func()) {
	n.mu.Lock()
	n.queue = append(n.queue, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// drain runs the queued functions until the queue is empty.
func (n *Node) drain() {
	for {
		n.mu.Lock()
		batch := n.queue
		n.queue = nil
		n.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, f := range batch {
			n.turns.run(f)
		}
	}
}

// Core returns the controller. Only the owner goroutine may use it.
func (n *Node) Core() *controller.Core { return n.core }

// Now returns the time since the start of the node on the monotonic clock.
func (n *Node) Now() clock.Micros { return clock.Micros(time.Since(n.start).Microseconds()) }

// Wall returns the wall-clock time since the Unix epoch.
func (n *Node) Wall() clock.Micros { return clock.Micros(time.Now().UnixMicro()) }

// After runs f on the owner goroutine after the duration d.
func (n *Node) After(d clock.Micros, f func()) {
	time.AfterFunc(d.Duration(), func() { n.Post(f) })
}

// Call sends a message to the named peer and passes the answer, or nil on timeout, to done.
func (n *Node) Call(name string, m *peer.Msg, timeout clock.Micros, done func(*peer.Msg)) {
	n.peerLinks.Call(name, m, timeout.Duration(), done)
}

// SendOrders sends a command batch directly to the worker at addr.
func (n *Node) SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	n.workers.SendOrders(addr, orders, done)
}

// ConnectionUsage returns the share of the connections for users and workers that is in use.
func (n *Node) ConnectionUsage() float64 { return n.httpServer.ConnectionUsage() }

// State returns the client of the state service.
func (n *Node) State() store.Service { return n.stateClient }

// Cloud returns the client of the cloud.
func (n *Node) Cloud() controller.Cloud { return n.cloudClient }
