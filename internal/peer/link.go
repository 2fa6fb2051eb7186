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

// Links sends requests to the other controllers over one TCP connection to each. A
// connection is dialed again when it breaks or when requests on it time out. Answers are
// matched to requests by message ID.
type Links struct {
	post   func(func())
	byName map[string]*link
}

// link holds the connection to one peer and its outstanding requests.
type link struct {
	name, addr string
	outgoing   chan []byte
	mu         sync.Mutex // guards the fields below
	lastID     uint64
	pending    map[uint64]func(*Msg) // callbacks of the outstanding requests, by message ID
	conn       net.Conn              // nil while disconnected
	timeouts   int                   // requests that timed out since the last answer
}

// NewLinks starts a link to each peer; peers maps names to addresses. post runs a function on
// the owner goroutine.
func NewLinks(peers map[string]string, post func(func())) *Links {
	l := &Links{post: post, byName: map[string]*link{}}
	for name, addr := range peers {
		peerLink := &link{name: name, addr: addr, outgoing: make(chan []byte, 64), pending: map[uint64]func(*Msg){}}
		l.byName[name] = peerLink
		go l.run(peerLink)
	}
	return l
}

// Call sends m to a peer. done gets the answer, or nil after the timeout or if the peer is
// not known; it runs on the owner goroutine.
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
	default: // the queue is full: the message is dropped and the request times out
	}
	time.AfterFunc(timeout, func() {
		peerLink.mu.Lock()
		callback := peerLink.pending[id]
		delete(peerLink.pending, id)
		if callback != nil {
			if peerLink.timeouts++; peerLink.timeouts >= 2 && peerLink.conn != nil {
				peerLink.conn.Close() // a network partition may hold back its packets, so a new connection is made
			}
		}
		peerLink.mu.Unlock()
		if callback != nil {
			l.post(func() { callback(nil) })
		}
	})
}

// run keeps the connection to one peer open.
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

// drain discards the queued frames of a peer that cannot be reached: their requests have
// timed out or soon will.
func (l *link) drain() {
	for {
		select {
		case <-l.outgoing:
		default:
			return
		}
	}
}

// writeFrames sends queued frames until a write fails or closed is closed.
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

// readAnswers passes answers to the callbacks of their requests until a read fails.
func (l *Links) readAnswers(peerLink *link, conn net.Conn) {
	for {
		m, err := ReadFrame(conn)
		if err != nil {
			if err != io.EOF {
				slog.Debug("reading from peer failed", "peer", peerLink.name, "err", err)
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

// WriteFrame writes the length of a frame as four big-endian bytes, and then the frame.
func WriteFrame(w io.Writer, frame []byte) error {
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(frame)), uint32(len(frame)))
	_, err := w.Write(append(buf, frame...))
	return err
}

// ReadFrame reads and decodes a frame that WriteFrame wrote. It fails if the frame is longer
// than MaxFrameBytes.
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

// Serve accepts connections of peers on ln and passes their messages to handle, until the
// listener fails. handle runs on the connection's goroutine; it calls reply at most once,
// from any goroutine.
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
						slog.Info("peer connection closed: malformed or oversized frame", "from", conn.RemoteAddr())
					}
					return
				}
				handle(m, func(answer *Msg) {
					answer.ID = m.ID
					frame := answer.Encode()
					go func() { // the caller of reply may be the owner goroutine, which must not wait for a socket
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
