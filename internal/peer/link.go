package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Links talks to the other controllers: one connection to each, redialled when
// it breaks or goes quiet, requests paired with answers by number.
type Links struct {
	post  func(func())
	links map[string]*link
}

type link struct {
	name, addr string
	out        chan []byte
	mu         sync.Mutex
	next       uint64
	waiting    map[uint64]func(*Msg)
	conn       net.Conn
	misses     int
}

// NewLinks makes links to the peers given by name and address.
func NewLinks(peers map[string]string, post func(func())) *Links {
	l := &Links{post: post, links: map[string]*link{}}
	for name, addr := range peers {
		k := &link{name: name, addr: addr, out: make(chan []byte, 64), waiting: map[uint64]func(*Msg){}}
		l.links[name] = k
		go l.run(k)
	}
	return l
}

// Ask sends m to a peer; done gets the answer, or nil after the timeout.
func (l *Links) Call(name string, m *Msg, timeout time.Duration, done func(*Msg)) {
	k := l.links[name]
	if k == nil {
		l.post(func() { done(nil) })
		return
	}
	k.mu.Lock()
	k.next++
	id := k.next
	k.waiting[id] = done
	k.mu.Unlock()
	m.ID = id
	select {
	case k.out <- m.Encode():
	default: // the peer is not taking anything
	}
	time.AfterFunc(timeout, func() {
		k.mu.Lock()
		f := k.waiting[id]
		delete(k.waiting, id)
		if f != nil {
			if k.misses++; k.misses >= 2 && k.conn != nil {
				k.conn.Close() // quiet: a cut holds its packets back
			}
		}
		k.mu.Unlock()
		if f != nil {
			l.post(func() { f(nil) })
		}
	})
}

func (l *Links) run(k *link) {
	for {
		conn, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			k.drain()
			continue
		}
		k.mu.Lock()
		k.conn, k.misses = conn, 0
		k.mu.Unlock()
		broken := make(chan struct{})
		go func() {
			l.read(k, conn)
			close(broken)
		}()
		k.write(conn, broken)
		conn.Close()
		<-broken
		k.mu.Lock()
		k.conn = nil
		k.mu.Unlock()
	}
}

// drain throws away frames whose askers have given up or soon will.
func (k *link) drain() {
	for {
		select {
		case <-k.out:
		default:
			return
		}
	}
}

func (k *link) write(conn net.Conn, broken chan struct{}) {
	for {
		select {
		case frame := <-k.out:
			conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if WriteFrame(conn, frame) != nil {
				return
			}
		case <-broken:
			return
		}
	}
}

func (l *Links) read(k *link, conn net.Conn) {
	for {
		m, err := ReadFrame(conn)
		if err != nil {
			if err != io.EOF {
				slog.Debug("peer link", "peer", k.name, "err", err)
			}
			return
		}
		k.mu.Lock()
		f := k.waiting[m.ID]
		delete(k.waiting, m.ID)
		k.misses = 0
		k.mu.Unlock()
		if f != nil {
			l.post(func() { f(m) })
		}
	}
}

// WriteFrame writes one frame.
func WriteFrame(w io.Writer, frame []byte) error {
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(frame)), uint32(len(frame)))
	_, err := w.Write(append(buf, frame...))
	return err
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (*Msg, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrameBytes {
		return nil, errInvalidFrame
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return Decode(frame)
}

// Serve answers the peers that connect to ln. Handle runs on the connection's
// goroutine and calls reply at most once, from any goroutine.
func Serve(ln net.Listener, handle func(m *Msg, reply func(*Msg))) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			var mu sync.Mutex
			for {
				m, err := ReadFrame(conn)
				if err != nil {
					if errors.Is(err, errInvalidFrame) {
						slog.Info("malformed or oversized frame of a peer, its connection is closed", "from", conn.RemoteAddr())
					}
					return
				}
				handle(m, func(a *Msg) {
					a.ID = m.ID
					frame := a.Encode()
					go func() { // the owner never waits for a peer's socket
						mu.Lock()
						defer mu.Unlock()
						conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
						if WriteFrame(conn, frame) != nil {
							conn.Close()
						}
					}()
				})
			}
		}()
	}
}
