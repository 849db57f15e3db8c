//go:build review

package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the settings of the deployment and the protocol.
const (
	maxValueBytes         = 65536
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxRowsPerPage        = 500
	transactionTime       = 8 * time.Millisecond
	historyTime           = 20 * time.Second
)

// row is one row as the protocol encodes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`

	writtenAt time.Time
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's store. Its transactions are linearizable.
type store struct {
	record    *recorder
	startedAt time.Time

	mu           sync.Mutex
	rows         map[rowKey]row
	history      []row
	historyFloor int64
	version      int64
	changed      chan struct{}
	// tooLarge counts the transactions refused for the size of a value.
	tooLarge int
}

func newStore(record *recorder) *store {
	return &store{record: record, startedAt: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

func (s *store) tooLargeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// put writes a row as the operator or an executor does, and reports whether the
// store accepted it.
func (s *store) put(table, key string, value any) bool {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if encoded.Len() > maxValueBytes {
		return false
	}
	s.apply([]row{{Table: table, Key: key, Value: encoded.Bytes()}})
	return true
}

// apply writes rows at one new version. The caller holds s.mu.
func (s *store) apply(rows []row) {
	s.version++
	now := time.Now()
	for _, r := range rows {
		r.Version, r.writtenAt = s.version, now
		if r.Removed {
			r.Value = nil
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].writtenAt) > historyTime {
		s.historyFloor = s.history[old].Version
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /fuchsiafront/rows-get", s.serveRange)
	mux.HandleFunc("GET /fuchsiafront/rows-feed", s.serveFeed)
}

func (s *store) nowMs() int64 { return time.Since(s.startedAt).Milliseconds() + 1000 }

type transaction struct {
	Preconditions []row `json:"precondition"`
	Sets          []row `json:"set-keys"`
	Removes       []row `json:"remove"`
}

// check returns the status for a transaction that the store refuses, or 200.
func (t *transaction) check() int {
	entries := slices.Concat(t.Preconditions, t.Sets, t.Removes)
	if len(entries) == 0 || len(entries) > maxTransactionEntries {
		return http.StatusBadRequest
	}
	for i := range entries {
		if entries[i].Part != entries[0].Part {
			return http.StatusBadRequest
		}
		if len(entries[i].Value) > maxValueBytes {
			return http.StatusRequestEntityTooLarge
		}
	}
	for _, r := range slices.Concat(t.Sets, t.Removes) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden
		}
	}
	return http.StatusOK
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.check(); status != http.StatusOK {
		if status == http.StatusRequestEntityTooLarge {
			s.countTooLarge(&t)
		}
		w.WriteHeader(status)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	current, ok := s.commit(&t)
	version := s.version
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version, "now-ms": s.nowMs()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": version, "now-ms": s.nowMs()})
}

func (s *store) countTooLarge(t *transaction) {
	s.mu.Lock()
	s.tooLarge++
	first := s.tooLarge == 1
	s.mu.Unlock()
	if !first {
		return
	}
	for _, r := range t.Sets {
		if len(r.Value) > maxValueBytes {
			s.record.log("store refuses a value of %d bytes for %s %s %s; row-bytes is %d", len(r.Value), r.Table, r.Part, r.Key, maxValueBytes)
		}
	}
}

// commit applies a transaction if its preconditions hold. The caller holds s.mu.
func (s *store) commit(t *transaction) (current []row, ok bool) {
	ok = true
	current = []row{}
	for i := range t.Preconditions {
		r, exists := s.rows[t.Preconditions[i].id()]
		if exists {
			current = append(current, r)
		}
		ok = ok && r.Version == t.Preconditions[i].Version
	}
	if !ok {
		return current, false
	}
	for i := range t.Removes {
		t.Removes[i].Removed = true
	}
	s.apply(append(t.Sets, t.Removes...))
	return current, true
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < min(limit, len(rows)) && (n == 0 || size+len(rows[n].Value) <= maxTransactionBytes) {
		size += len(rows[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:n], "has-more": n < len(rows), "ver": s.version, "now-ms": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		waitMs = 0
	}
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		status, rows, version, changed := s.changesAfter(q.Get("table"), after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		body := map[string]any{"rows": rows, "ver": version, "now-ms": s.nowMs()}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, http.StatusOK, body)
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) (status int, rows []row, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.historyFloor {
		return http.StatusGone, nil, 0, nil
	}
	rows = []row{}
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return http.StatusOK, rows, s.version, s.changed
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}

// ownerOf returns the value of the system's row that names the owner of a pool.
func (s *store) ownerOf(pool string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{"owners", pool, "owner"}].Value
}
