// Package fleetplatform is a stand-in for the users' platform. It serves the
// store, executors and machine list over their published protocol and injects
// faults. The tests and the soak test share it.
package fleetplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHistoryRows is the number of changes that the store keeps; older changes are
// dropped.
const maxHistoryRows = 4096

// Row is one row of the store as the protocol encodes it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is the transactional store. Its methods may be used concurrently.
type Store struct {
	mu            sync.Mutex
	rows          map[rowKey]Row
	history       []Row
	historyFloor  int64
	version       int64
	changed       chan struct{}
	down          bool
	repliesToLose int
	commitCount   int
	// delayedTable is the table whose next commitsToDelay transactions are delayed.
	delayedTable   string
	commitsToDelay int
	delayed        []commitBody
	// refusedPrefix is the beginning of the keys whose values are refused; none if
	// empty.
	refusedPrefix string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[rowKey]Row), changed: make(chan struct{})}
}

// SetDown sets whether the store refuses all calls.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseReplies makes the store apply the next n transactions without replying.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// DelayCommits makes the store send no reply to the next n transactions that write
// to a table, and apply them only when ApplyDelayed is called.
func (s *Store) DelayCommits(table string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedTable, s.commitsToDelay = table, n
}

// RefuseKeys makes the store refuse transactions that set a key with a prefix, as it
// does with values that are too large. An empty prefix ends that.
func (s *Store) RefuseKeys(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedPrefix = prefix
}

// ApplyDelayed applies the delayed transactions whose conditions still hold, and
// returns how many were delayed.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.delayed)
	for i := range s.delayed {
		s.commit(&s.delayed[i])
	}
	s.delayed = nil
	return n
}

// DropHistory drops all recorded changes, so that followers have to rescan.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyFloor = nil, s.version
}

// TableBytes returns the size of all values in a table.
func (s *Store) TableBytes(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for id, row := range s.rows {
		if id.table == table {
			total += len(row.Value)
		}
	}
	return total
}

// CommitCount returns the number of transactions applied.
func (s *Store) CommitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitCount
}

// Put writes one row as JSON, as an operator or an executor does.
func (s *Store) Put(table, part, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(table, part, key, encoded)
}

// PutBytes writes one row with arbitrary bytes, as another writer may.
func (s *Store) PutBytes(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Value: value}})
}

// Remove deletes one row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Removed: true}})
}

// apply writes rows at one new version. The caller holds s.mu.
func (s *Store) apply(rows []Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Removed {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	if extra := len(s.history) - maxHistoryRows; extra > 0 {
		s.historyFloor = s.history[extra-1].Version
		s.history = slices.Clone(s.history[extra:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Register adds the store's handlers to a mux.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /fuchsiafront/rows-tx", s.serveCommit)
	mux.HandleFunc("GET /fuchsiafront/rows-get", s.serveScan)
	mux.HandleFunc("GET /fuchsiafront/rows-feed", s.serveChanges)
}

type commitBody struct {
	Conditions []Row `json:"precondition"`
	Sets       []Row `json:"set-keys"`
	Removes    []Row `json:"remove"`
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var body commitBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || !body.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if body.setsPrefix(s.refusedPrefix) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.commitsToDelay > 0 && body.writes(s.delayedTable) {
		s.commitsToDelay--
		s.delayed = append(s.delayed, body)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	current, ok := s.commit(&body)
	version := s.version
	loseReply := s.repliesToLose > 0
	if loseReply {
		s.repliesToLose--
	}
	s.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": version})
}

// commit applies a transaction if its conditions hold. The caller holds s.mu.
func (s *Store) commit(body *commitBody) (current []Row, ok bool) {
	if current, ok = s.checkConditions(body.Conditions); !ok {
		return current, false
	}
	s.commitCount++
	for i := range body.Removes {
		body.Removes[i].Removed = true
	}
	s.apply(append(body.Sets, body.Removes...))
	return current, true
}

// writes reports whether a transaction sets rows of a table.
func (b *commitBody) writes(table string) bool {
	return slices.ContainsFunc(b.Sets, func(r Row) bool { return r.Table == table })
}

// setsPrefix reports whether a transaction sets a key with a prefix that is not empty.
func (b *commitBody) setsPrefix(prefix string) bool {
	return prefix != "" && slices.ContainsFunc(b.Sets, func(r Row) bool { return strings.HasPrefix(r.Key, prefix) })
}

// Limits of the store.
const (
	maxValueBytes         = 65536
	maxTransactionEntries = 100
)

// valid reports whether all entries belong to one part and the transaction is
// within the store's limits.
func (b *commitBody) valid() bool {
	entries := slices.Concat(b.Conditions, b.Sets, b.Removes)
	for i := range entries {
		if entries[i].Part != entries[0].Part || len(entries[i].Value) > maxValueBytes {
			return false
		}
	}
	return len(entries) > 0 && len(entries) <= maxTransactionEntries
}

func (s *Store) checkConditions(conditions []Row) (current []Row, ok bool) {
	ok = true
	for i := range conditions {
		row, exists := s.rows[conditions[i].id()]
		if exists {
			current = append(current, row)
		}
		ok = ok && row.Version == conditions[i].Version
	}
	return current, ok
}

func (s *Store) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var rows []Row
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has-more": more, "ver": s.version})
}

func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		wait = 0
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		status, rows, version, changed := s.changesAfter(q.Get("table"), after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"rows": []Row{}, "ver": version})
			return
		}
	}
}

func (s *Store) changesAfter(table string, after int64) (status int, rows []Row, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return http.StatusServiceUnavailable, nil, 0, nil
	case after < s.historyFloor:
		return http.StatusGone, nil, 0, nil
	}
	for i := range s.history {
		if r := s.history[i]; r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return http.StatusOK, rows, s.version, s.changed
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
