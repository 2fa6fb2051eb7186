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
	post   func(func())
	byName map[string]*link
}

type link struct {
	name, addr string
	outgoing   chan []byte
	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]func(*Msg)
	conn       net.Conn
	timeouts   int
}

// NewLinks makes links to the peers given by name and address.
func NewLinks(peers map[string]string, post func(func())) *Links {
	l := &Links{post: post, byName: map[string]*link{}}
	for name, addr := range peers {
		peerLink := &link{name: name, addr: addr, outgoing: make(chan []byte, 64), pending: map[uint64]func(*Msg){}}
		l.byName[name] = peerLink
		go l.run(peerLink)
	}
	return l
}

// Ask sends m to a peer; done gets the answer, or nil after the timeout.
func (l *Links) Call(name string, m *Msg, timeout time.Duration, done func(*Msg)) {
	peerLink := l.byName[name]
	if peerLink == nil {
		l.post(func() { done(nil) })
		return
	}
	peerLink.mu.Lock()
	peerLink.lastID++
	id := peerLink.lastID
	peerLink.pending[id] = done
	peerLink.mu.Unlock()
	m.ID = id
	select {
	case peerLink.outgoing <- m.Encode():
	default: // the peer is not taking anything
	}
	time.AfterFunc(timeout, func() {
		peerLink.mu.Lock()
		callback := peerLink.pending[id]
		delete(peerLink.pending, id)
		if callback != nil {
			if peerLink.timeouts++; peerLink.timeouts >= 2 && peerLink.conn != nil {
				peerLink.conn.Close() // quiet: a cut holds its packets back
			}
		}
		peerLink.mu.Unlock()
		if callback != nil {
			l.post(func() { callback(nil) })
		}
	})
}

func (l *Links) run(peerLink *link) {
	for {
		conn, err := net.DialTimeout("tcp", peerLink.addr, time.Second)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			peerLink.drain()
			continue
		}
		peerLink.mu.Lock()
		peerLink.conn, peerLink.timeouts = conn, 0
		peerLink.mu.Unlock()
		closed := make(chan struct{})
		go func() {
			l.readAnswers(peerLink, conn)
			close(closed)
		}()
		peerLink.writeFrames(conn, closed)
		conn.Close()
		<-closed
		peerLink.mu.Lock()
		peerLink.conn = nil
		peerLink.mu.Unlock()
	}
}

// drain throws away frames whose askers have given up or soon will.
func (l *link) drain() {
	for {
		select {
		case <-l.outgoing:
		default:
			return
		}
	}
}

func (l *link) writeFrames(conn net.Conn, closed chan struct{}) {
	for {
		select {
		case frame := <-l.outgoing:
			conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if WriteFrame(conn, frame) != nil {
				return
			}
		case <-closed:
			return
		}
	}
}

func (l *Links) readAnswers(peerLink *link, conn net.Conn) {
	for {
		m, err := ReadFrame(conn)
		if err != nil {
			if err != io.EOF {
				slog.Debug("peer link", "peer", peerLink.name, "err", err)
			}
			return
		}
		peerLink.mu.Lock()
		callback := peerLink.pending[m.ID]
		delete(peerLink.pending, m.ID)
		peerLink.timeouts = 0
		peerLink.mu.Unlock()
		if callback != nil {
			l.post(func() { callback(m) })
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
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, errInvalidFrame
	}
	frame := make([]byte, length)
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
				handle(m, func(answer *Msg) {
					answer.ID = m.ID
					frame := answer.Encode()
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
