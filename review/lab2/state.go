package lab2

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/wire"
)

// State is the state service.
type State struct {
	lab      *Lab
	revision uint64
	items    map[string]*item
	leases   map[uint64]*lease
	lastID   uint64
	log      []wire.Event
	changed  chan struct{} // closed and replaced with every change
	requests tokens
	writes   tokens
	// Delay, if set, returns how long the answer to a request takes beyond the usual. It runs
	// under the lab's lock.
	Delay func(node, path string) time.Duration
	// OnTxn, if set, is called for each transaction that was carried out, with the lab's lock held.
	OnTxn func(node string, t *wire.Txn)
	// Refused names the controllers that get 503.
	Refused map[string]bool
	// Hold names the controllers whose requests get no answer, as behind a cut that holds
	// packets; they are executed when it ends.
	Hold map[string]bool
}

type item struct {
	value msgpack.RawMessage
	mark  uint64
	hold  uint64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// tokens is a rate limit with a burst of one second's worth.
type tokens struct {
	left float64
	at   time.Time
}

// take takes n tokens of a limit per second; it reports false if they are not there.
func (t *tokens) take(perSecond, n float64) bool {
	now := time.Now()
	if t.at.IsZero() {
		t.left = perSecond
	} else {
		t.left = min(perSecond, t.left+now.Sub(t.at).Seconds()*perSecond)
	}
	t.at = now
	if t.left < n {
		return false
	}
	t.left -= n
	return true
}

func newState(l *Lab) *State {
	return &State{lab: l, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		Refused: map[string]bool{}, Hold: map[string]bool{}}
}

// run ends leases, at most 100 ms late and never early.
func (s *State) run() {
	for range time.Tick(30 * time.Millisecond) {
		s.lab.mu.Lock()
		for id, le := range s.leases {
			if time.Now().After(le.until.Add(20 * time.Millisecond)) {
				s.endLease(id)
			}
		}
		s.lab.mu.Unlock()
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var changes []wire.Change
	for key, it := range s.items {
		if it.hold == id {
			changes = append(changes, wire.Change{DeleteKey: key})
		}
	}
	if len(changes) > 0 {
		s.apply(changes)
	}
}

// apply makes changes under one revision.
func (s *State) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.DeleteKey != "" {
			delete(s.items, c.DeleteKey)
			s.log = append(s.log, wire.Event{DeleteKey: c.DeleteKey, Version: s.revision})
			continue
		}
		s.items[c.PutKey] = &item{c.Value, s.revision, c.Lease}
		s.log = append(s.log, wire.Event{PutKey: c.PutKey, Value: c.Value, Version: s.revision})
	}
	if len(s.log) > 10000 {
		s.log = slices.Clone(s.log[len(s.log)-10000:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, status int, v any) {
	raw := wire.Encode(v)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}

func problem(w http.ResponseWriter, status int, text string) {
	respond(w, status, map[string]any{"error": text})
}

// readBody decodes the body of a request, or answers 400.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	raw := make([]byte, 0, 1024)
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		raw = append(raw, buffer[:n]...)
		if err != nil {
			break
		}
	}
	if wire.Decode(raw, v) != nil {
		problem(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// serve answers a request of the named controller.
func (s *State) serve(node string, w http.ResponseWriter, r *http.Request) {
	l := s.lab
	path, query := r.URL.Path, r.URL.Query()
	var txn wire.Txn
	var ttl wire.LeaseRequest
	if path == "/txn" && !readBody(w, r, &txn) || path == "/grants" && !readBody(w, r, &ttl) {
		return
	}
	l.mu.Lock()
	for s.Hold[node] {
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		l.mu.Lock()
	}
	delay := 3 * time.Millisecond
	if s.Delay != nil {
		delay += s.Delay(node, path)
	}
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	unlock := func() { l.mu.Unlock() }
	if s.Refused[node] {
		unlock()
		problem(w, http.StatusServiceUnavailable, "trouble")
		return
	}
	if !s.requests.take(l.Config.Params.State.RPS, 1) {
		unlock()
		problem(w, http.StatusTooManyRequests, "too many")
		return
	}
	switch {
	case path == "/store":
		limit, _ := strconv.Atoi(query.Get("limit"))
		if limit <= 0 || limit > 1000 {
			limit = 1000
		}
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("since") {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		more := len(keys) > limit
		items := []map[string]any{}
		size := 0
		for _, key := range keys[:min(limit, len(keys))] {
			size += len(key) + wire.JSONSize(s.items[key].value) + 40
			if size > 512<<10 && len(items) > 0 {
				more = true
				break
			}
			items = append(items, map[string]any{"path": key, "value": s.items[key].value, "mark": s.items[key].mark})
		}
		body := map[string]any{"items": items, "has_next": more, "epoch": s.revision}
		unlock()
		respond(w, http.StatusOK, body)
	case strings.HasPrefix(path, "/store/"):
		key := path[len("/store/"):]
		it, epoch := s.items[key], s.revision
		unlock()
		if it == nil {
			respond(w, http.StatusNotFound, map[string]any{"epoch": epoch})
			return
		}
		body := map[string]any{"path": key, "value": it.value, "mark": it.mark}
		if it.hold != 0 {
			body["hold"] = it.hold
		}
		respond(w, http.StatusOK, body)
	case path == "/txn":
		status, body := s.txn(&txn)
		l.Log("transaction of %s, %s: %d", node, describe(&txn), status)
		if status == http.StatusOK && s.OnTxn != nil {
			s.OnTxn(node, &txn)
		}
		unlock()
		respond(w, status, body)
	case path == "/grants":
		s.lastID++
		id, d := s.lastID, time.Duration(ttl.TTL)*time.Millisecond
		s.leases[id] = &lease{d, time.Now().Add(d)}
		unlock()
		respond(w, http.StatusOK, map[string]any{"hold": id})
	case strings.HasPrefix(path, "/grants/"):
		text, _ := strings.CutSuffix(path[len("/grants/"):], "/renew")
		id, _ := strconv.ParseUint(text, 10, 64)
		le := s.leases[id]
		if le != nil && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if le != nil {
			le.until = time.Now().Add(le.ttl)
		}
		unlock()
		if le == nil {
			problem(w, http.StatusNotFound, "no such lease")
			return
		}
		respond(w, http.StatusOK, map[string]any{})
	case path == "/watch":
		unlock()
		s.watch(w, r, query.Get("starts"), query.Get("since"), query.Get("hold_ms"))
	default:
		unlock()
		problem(w, http.StatusBadRequest, "malformed")
	}
}

// describe lists the keys of a transaction's conditions and changes.
func describe(t *wire.Txn) string {
	var words []string
	for _, g := range t.If {
		words = append(words, "if "+g.Key+"="+strconv.FormatUint(g.Version, 10))
	}
	for _, c := range t.Then {
		if c.DeleteKey != "" {
			words = append(words, "delete "+c.DeleteKey)
		} else {
			words = append(words, "write "+c.PutKey)
		}
	}
	return strings.Join(words, ", ")
}

// Repeat executes a transaction once more. The caller holds the lock.
func (s *State) Repeat(t *wire.Txn) int {
	status, _ := s.txn(t)
	s.lab.Note("a copy of an earlier transaction arrives, %s: %d", describe(t), status)
	return status
}

// txn executes a transaction and returns the status and body of its answer.
func (s *State) txn(t *wire.Txn) (int, any) {
	limits := s.lab.Config.Params.State
	if len(t.Then) > limits.TxnOps || len(t.If) > 4*limits.TxnOps || wire.TxnSize(t) > 64<<10 {
		return http.StatusBadRequest, map[string]any{"error": "too large"}
	}
	for _, c := range t.Then {
		if c.Value != nil && wire.JSONSize(c.Value) > limits.ValueBytes() {
			return http.StatusBadRequest, map[string]any{"error": "too large"}
		}
	}
	if !s.writes.take(limits.WriteRPS, float64(len(t.Then))) {
		return http.StatusTooManyRequests, map[string]any{"error": "too many"}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, g := range t.If {
		mark := uint64(0)
		if it := s.items[g.Key]; it != nil {
			mark = it.mark
		}
		if mark != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision}
	}
	if len(t.Then) > 0 {
		s.apply(t.Then)
	}
	return http.StatusOK, map[string]any{"epoch": s.revision}
}

// watch answers a watch once a key with the prefix has changed or the time is over.
func (s *State) watch(w http.ResponseWriter, r *http.Request, prefix, sinceText, holdText string) {
	since, _ := strconv.ParseUint(sinceText, 10, 64)
	hold, _ := strconv.Atoi(holdText)
	deadline := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for over := false; ; {
		s.lab.mu.Lock()
		if len(s.log) > 0 && since < s.revision && s.log[0].Version > since+1 && len(s.log) >= 10000 {
			s.lab.mu.Unlock()
			problem(w, http.StatusGone, "too old")
			return
		}
		events := []map[string]any{}
		for _, e := range s.log {
			switch {
			case e.Version <= since:
			case e.PutKey != "" && strings.HasPrefix(e.PutKey, prefix):
				events = append(events, map[string]any{"write": e.PutKey, "value": e.Value, "mark": e.Version})
			case e.DeleteKey != "" && strings.HasPrefix(e.DeleteKey, prefix):
				events = append(events, map[string]any{"delete": e.DeleteKey, "mark": e.Version})
			}
		}
		revision, changed := s.revision, s.changed
		s.lab.mu.Unlock()
		if len(events) > 0 || over {
			respond(w, http.StatusOK, map[string]any{"epoch": revision, "events": events})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
