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
	start time.Time
	mu    sync.Mutex // guards queue
	queue []func()
	wake  chan struct{}
	core  *controller.Core
	state *store.HTTPClient
	cloud *cloud.HTTPClient
	links *peer.Links
	work  *worker.HTTPClient
	serve *server.Server
}

// Run serves until a listener fails.
func Run(cfg *config.Config, pol *policy.Policy) error {
	n := &Node{wake: make(chan struct{}, 1), start: time.Now()}
	peers := map[string]string{}
	for _, p := range cfg.Peers {
		peers[p.Name] = p.Addr
	}
	ln, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peerLn, err := net.Listen("tcp4", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	n.state = store.NewHTTPClient(cfg.Endpoints.State, n.Post)
	n.cloud = cloud.NewHTTPClient(cfg.Endpoints.Cloud, n.Post)
	n.links = peer.NewLinks(peers, n.Post)
	n.work = worker.NewHTTPClient(n.Post)
	n.serve = server.New(n, cfg.MaxClientConns())
	n.core = controller.New(n, cfg, pol, rand.Uint64())
	failed := make(chan error, 2)
	go func() {
		failed <- peer.Serve(peerLn, func(m *peer.Msg, reply func(*peer.Msg)) {
			n.Post(func() { n.core.HandlePeerMessage(m, reply) })
		})
	}()
	go func() { failed <- n.serve.Serve(ln) }()
	n.Post(n.core.Start)
	for {
		select {
		case <-n.wake:
			n.drain()
		case err := <-failed:
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
	n.links.Call(name, m, timeout.Duration(), done)
}

// Order sends commands straight to a worker.
func (n *Node) SendOrders(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report)) {
	n.work.SendOrders(addr, o, done)
}

// Sockets is the share of the connections for users and workers that is in use.
func (n *Node) ConnectionUsage() float64 { return n.serve.ConnectionUsage() }

// State is the state service.
func (n *Node) State() store.Service { return n.state }

// Cloud is the cloud.
func (n *Node) Cloud() controller.Cloud { return n.cloud }
