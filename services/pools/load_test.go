package pools

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// Guards against a pool that is never read after a takeover: over a slow link the calls
// that read it timed out together, and all that had been read was dropped each time.
func TestLoadGoesOnWhereItFailed(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	s.recordCalls = ring.New[call]("records", 2*parallelScans, nil)
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned}
	p.pools[testPool] = m
	rounds := 0
	for ; m.loading == nil || !m.loading.restInFlight; rounds++ {
		p.startLoad(m)
		assert.Assert(t, rounds < 4*len(jobrecord.JobParts()), "%d parts are left", len(m.loading.unread))
		// The link carries one call at a time.
		for served := 0; ; served++ {
			var scan scanCall
			select {
			case c := <-s.recordCalls.C():
				scan, _ = c.(scanCall)
			default:
			}
			if scan.parts == nil {
				break
			}
			done := scanDone{scanCall: scan, version: int64(1 + rounds)}
			if served > 0 {
				done.unread, done.err = scan.parts, errors.New("timed out")
			} else {
				for _, part := range scan.parts {
					done.records = append(done.records, services.Record{RecordKey: services.RecordKey{Part: part}})
				}
			}
			done.handle(p)
		}
		now = now.Add(loadRetryDelay)
		p.now = now
	}
	read := make(map[string]int)
	for _, r := range m.loading.jobRecords {
		read[r.Part]++
	}
	for _, part := range jobrecord.JobParts() {
		assert.Equal(t, read[part], 1, part)
	}
	assert.Equal(t, m.loading.version, int64(1), "changes since the first scan are to be read")
}
