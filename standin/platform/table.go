package platform

import (
	"slices"
	"strings"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// table is the content of the table service. It is owned by the duty
// standin.table.
type table struct {
	rows       map[string]*wirev1.Row
	sortedKeys []string
	version    uint64

	readCount, writeCount int64
}

func newTable() *table { return &table{rows: make(map[string]*wirev1.Row)} }

func (t *table) get(key string) *wirev1.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return &wirev1.Row{Key: key}
}

func (t *table) getAll(keys []string) []*wirev1.Row {
	t.readCount++
	rows := make([]*wirev1.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.get(key)
	}
	return rows
}

func (t *table) scan(prefix, after string, limit int) (rows []*wirev1.Row, more bool) {
	t.readCount++
	start, _ := slices.BinarySearch(t.sortedKeys, max(prefix, after))
	for _, key := range t.sortedKeys[start:] {
		if !strings.HasPrefix(key, prefix) {
			if key > prefix {
				return rows, false
			}
			continue
		}
		if key <= after {
			continue
		}
		if len(rows) == limit {
			return rows, true
		}
		rows = append(rows, t.rows[key])
	}
	return rows, false
}

func (t *table) commit(req *wirev1.CommitRequest) *wirev1.CommitResponse {
	resp := &wirev1.CommitResponse{}
	for _, c := range req.Conditions {
		if row := t.get(c.Key); row.Version != c.Version {
			resp.Current = append(resp.Current, row)
		}
	}
	if len(resp.Current) > 0 {
		return resp
	}
	t.writeCount++
	t.version++
	for _, w := range req.Writes {
		t.write(w)
	}
	resp.Committed = true
	resp.Version = t.version
	return resp
}

func (t *table) write(w *wirev1.Write) {
	at, exists := slices.BinarySearch(t.sortedKeys, w.Key)
	if w.Delete {
		if exists {
			t.sortedKeys = slices.Delete(t.sortedKeys, at, at+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !exists {
		t.sortedKeys = slices.Insert(t.sortedKeys, at, w.Key)
	}
	t.rows[w.Key] = &wirev1.Row{Key: w.Key, Value: w.Value, Version: t.version}
}
