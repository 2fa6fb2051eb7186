// Package node runs a controller on real sockets: it owns the goroutine on
// which all scheduling state lives.
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

// Node is one running controller.
type Node struct {
	start       time.Time
	mu          sync.Mutex // guards queue
	queue       []func()
	wake        chan struct{}
	core        *controller.Core
	stateClient *store.HTTPClient
	cloudClient *cloud.HTTPClient
	peerLinks   *peer.Links
	workers     *worker.HTTPClient
	httpServer  *server.Server
}

// Run serves until a listener fails.
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

// Post runs f on the owner goroutine. It never blocks, so the owner may call
// it too.
func (n *Node) Post(f func()) {
	n.mu.Lock()
	n.queue = append(n.queue, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// drain runs what has been posted.
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
			f()
		}
	}
}

// Core is the controller; only the owner goroutine may use it.
func (n *Node) Core() *controller.Core { return n.core }

// Now is the steady clock.
func (n *Node) Now() clock.Micros { return clock.Micros(time.Since(n.start).Microseconds()) }

// Wall is the time of day.
func (n *Node) Wall() clock.Micros { return clock.Micros(time.Now().UnixMicro()) }

// After runs f on the owner goroutine after d.
func (n *Node) After(d clock.Micros, f func()) {
	time.AfterFunc(d.Duration(), func() { n.Post(f) })
}

// Ask sends a message to a peer.
func (n *Node) Call(name string, m *peer.Msg, timeout clock.Micros, done func(*peer.Msg)) {
	n.peerLinks.Call(name, m, timeout.Duration(), done)
}

// Order sends commands straight to a worker.
func (n *Node) SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	n.workers.SendOrders(addr, orders, done)
}

// Sockets is the share of the connections for users and workers that is in use.
func (n *Node) ConnectionUsage() float64 { return n.httpServer.ConnectionUsage() }

// State is the state service.
func (n *Node) State() store.Service { return n.stateClient }

// Cloud is the cloud.
func (n *Node) Cloud() controller.Cloud { return n.cloudClient }
