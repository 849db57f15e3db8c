//go:build review

package standin2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the platform's store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type txBody struct {
	Conditions []Row `json:"precondition"`
	Sets       []Row `json:"set-keys"`
	Removes    []Row `json:"remove"`
}

// find returns the value that the transaction sets for a table and a key.
func (t *txBody) find(table, key string) (*Row, bool) {
	for i := range t.Sets {
		if t.Sets[i].Table == table && t.Sets[i].Key == key {
			return &t.Sets[i], true
		}
	}
	return nil, false
}

// writesTable reports whether the transaction sets a row of a table.
func (t *txBody) writesTable(table string) bool {
	for i := range t.Sets {
		if t.Sets[i].Table == table {
			return true
		}
	}
	return false
}

// verdict says what becomes of a transaction.
type verdict int

const (
	vNormal verdict = iota
	// vLate: not answered, and performed seconds later if its condition still holds.
	vLate
	// vHeld: not answered; the judge performs it later.
	vHeld
)

// Response times of the store, as in the settings of the small deployments.
const (
	txnTime  = 8 * time.Millisecond
	readTime = 4 * time.Millisecond
	history  = 20 * time.Second
	// lateBy is how much later an unanswered write is performed.
	lateBy = 6 * time.Second
)

type change struct {
	row Row
	at  time.Time
}

// Store is the platform's store.
type Store struct {
	mu      sync.Mutex
	rows    map[string]Row
	log     []change
	floor   int64
	version int64
	changed chan struct{}
	start   time.Time

	// judge decides on the transactions of the hosts; nil means normal.
	judge func(host string, t *txBody) verdict
	// silent reports whether a host has no path to the store.
	silent func(host string) bool
	// after is called after a transaction of a host was performed.
	after func(host string, t *txBody, version int64)
	parts map[string]*sync.Mutex

	writes, lost int
}

func newStore() *Store {
	return &Store{rows: map[string]Row{}, changed: make(chan struct{}), start: time.Now(), parts: map[string]*sync.Mutex{}}
}

func (s *Store) put(table, part, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Value: b}})
}

func (s *Store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Removed: true}})
}

func (s *Store) apply(rows []Row) {
	s.version++
	now := time.Now()
	for _, r := range rows {
		r.Ver = s.version
		if r.Removed {
			r.Value = nil
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.log = append(s.log, change{r, now})
	}
	n := 0
	for n < len(s.log) && now.Sub(s.log[n].at) > history {
		s.floor = s.log[n].row.Ver
		n++
	}
	s.log = s.log[n:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) commit(t *txBody) (rows []Row, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for i := range t.Conditions {
		r, exists := s.rows[t.Conditions[i].id()]
		if exists {
			rows = append(rows, r)
		}
		ok = ok && r.Ver == t.Conditions[i].Ver
	}
	if !ok {
		return rows, s.version, false
	}
	var all []Row
	all = append(all, t.Sets...)
	for _, r := range t.Removes {
		r.Removed = true
		all = append(all, r)
	}
	s.apply(all)
	return nil, s.version, true
}

func (s *Store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.parts[name]
	if m == nil {
		m = new(sync.Mutex)
		s.parts[name] = m
	}
	return m
}

// handler serves the store to one host.
func (s *Store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	cut := func(w http.ResponseWriter, r *http.Request) bool {
		if s.silent != nil && s.silent(host) {
			<-r.Context().Done()
			return true
		}
		return false
	}
	mux.HandleFunc("POST /fuchsiafront/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var t txBody
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if cut(w, r) {
			return
		}
		v := vNormal
		if s.judge != nil {
			v = s.judge(host, &t)
		}
		s.mu.Lock()
		s.writes++
		if v != vNormal {
			s.lost++
		}
		s.mu.Unlock()
		if v != vNormal {
			if v == vLate {
				time.AfterFunc(lateBy, func() { s.commit(&t) })
			}
			<-r.Context().Done()
			return
		}
		part := ""
		if len(t.Sets) > 0 {
			part = t.Sets[0].Part
		} else if len(t.Removes) > 0 {
			part = t.Removes[0].Part
		}
		m := s.part(part)
		m.Lock()
		time.Sleep(txnTime)
		rows, version, ok := s.commit(&t)
		m.Unlock()
		if ok && s.after != nil {
			s.after(host, &t, version)
		}
		if cut(w, r) {
			return
		}
		if !ok {
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": version, "now-ms": s.now()})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ver": version, "now-ms": s.now()})
	})
	mux.HandleFunc("GET /fuchsiafront/rows-get", func(w http.ResponseWriter, r *http.Request) {
		if cut(w, r) {
			return
		}
		time.Sleep(readTime)
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > 500 {
			limit = 500
		}
		s.mu.Lock()
		var rows []Row
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
				rows = append(rows, row)
			}
		}
		version := s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		if cut(w, r) {
			return
		}
		reply(w, http.StatusOK, map[string]any{"rows": rows, "has-more": more, "ver": version, "now-ms": s.now()})
	})
	mux.HandleFunc("GET /fuchsiafront/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		if cut(w, r) {
			return
		}
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		end := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer end.Stop()
		for {
			s.mu.Lock()
			gone, version, changed := after < s.floor, s.version, s.changed
			var rows []Row
			for i := range s.log {
				if row := s.log[i].row; row.Table == q.Get("table") && row.Ver > after {
					rows = append(rows, row)
				}
			}
			s.mu.Unlock()
			if gone {
				w.WriteHeader(http.StatusGone)
				return
			}
			expired := false
			if len(rows) == 0 {
				select {
				case <-changed:
					continue
				case <-r.Context().Done():
					return
				case <-end.C:
					expired = true
				}
			}
			if len(rows) > 0 || expired {
				time.Sleep(readTime)
				if cut(w, r) {
					return
				}
				reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now-ms": s.now()})
				return
			}
		}
	})
	return mux
}

func (s *Store) now() int64 { return time.Since(s.start).Milliseconds() }

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	// An empty list is a list.
	b = []byte(strings.ReplaceAll(string(b), `"rows":null`, `"rows":[]`))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
