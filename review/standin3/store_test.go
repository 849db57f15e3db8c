//go:build review

package standin3

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the platform's store as the protocol encodes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Limits of the store, as the settings of the processes name them.
const (
	maxRowBytes  = 65536
	maxTxEntries = 100
	pageRows     = 500
	historyTime  = 20 * time.Second
	answerTime   = 4 * time.Millisecond
	txTime       = 8 * time.Millisecond
)

type change struct {
	row row
	at  time.Time
}

// store is the platform's store of rows.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]row
	history []change
	floor   int64
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row as the operator or an executor does, and returns when the store had
// confirmed it.
func (s *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: encoded}})
	return time.Now()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Removed: true}})
}

// apply writes rows at a new version. The caller holds s.mu.
func (s *store) apply(rows []row) {
	s.version++
	now := time.Now()
	for _, r := range rows {
		r.Version = s.version
		if r.Removed {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, change{r, now})
	}
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyTime {
		s.floor = s.history[old].row.Version
		old++
	}
	s.history = slices.Clone(s.history[old:])
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/rows-tx", s.serveTx)
	mux.HandleFunc("GET /fuchsiafront/rows-get", s.serveGet)
	mux.HandleFunc("GET /fuchsiafront/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /fuchsiafront/rows-parts", s.serveParts)
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(s.started).Milliseconds()
	respond(w, status, body)
}

type txBody struct {
	Conditions []row `json:"precondition"`
	Sets       []row `json:"set-keys"`
	Removes    []row `json:"remove"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx txBody
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entries := slices.Concat(tx.Conditions, tx.Sets, tx.Removes)
	bad := len(entries) == 0 || len(entries) > maxTxEntries
	for i := range entries {
		bad = bad || entries[i].Part != entries[0].Part || len(entries[i].Value) > maxRowBytes
	}
	if bad {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []row{}
	for i := range tx.Conditions {
		found, exists := s.rows[tx.Conditions[i].id()]
		if exists {
			current = append(current, found)
		}
		holds = holds && found.Version == tx.Conditions[i].Version
	}
	if !holds {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version})
		return
	}
	for i := range tx.Removes {
		tx.Removes[i].Removed = true
	}
	s.apply(append(tx.Sets, tx.Removes...))
	s.respond(w, http.StatusOK, map[string]any{"ver": s.version})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has-more": more, "ver": s.version})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(parts, id.part) && id.part > r.URL.Query().Get("after") {
			parts = append(parts, id.part)
		}
	}
	slices.Sort(parts)
	s.respond(w, http.StatusOK, map[string]any{"parts": parts, "has-more": false, "ver": s.version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	time.Sleep(answerTime)
	for {
		s.mu.Lock()
		expired, rows, version, changed := after < s.floor, s.changesAfter(q.Get("table"), after), s.version, s.changed
		s.mu.Unlock()
		if expired {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
		return
	}
}

func (s *store) changesAfter(table string, after int64) []row {
	rows := []row{}
	for i := range s.history {
		if r := &s.history[i].row; r.Table == table && r.Version > after {
			rows = append(rows, *r)
		}
	}
	return rows
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
