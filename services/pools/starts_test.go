package pools

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Guards against a start of which the next owner does not know: it was sent before its record.
// Also against starts that wait without end while the store is away, and against those that
// are never recorded afterwards.
func TestStartsFollowTheirRecord(t *testing.T) {
	now := time.Unix(100, 0)
	s, owner, _ := newTestService(&now)
	s.recordCalls, s.orderCalls = ring.New[call]("records", 8, nil), ring.New[call]("orders", 8, nil)
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned, plan: poolplan.New(1, now, 0, poolplan.Params{})}
	p.pools[testPool] = m
	sent := func() int {
		n := 0
		for {
			select {
			case <-s.orderCalls.C():
				n++
			default:
				return n
			}
		}
	}
	save := func() saveCall {
		p.saveProgress(m)
		c, _ := (<-s.recordCalls.C()).(saveCall)
		return c
	}
	p.sendOrder(m, poolplan.Start{})
	first := save()
	p.sendOrder(m, poolplan.Start{})
	p.sendDueStarts(m)
	assert.Equal(t, sent(), 0, "sent before the record")
	saveSent{first.ownershipRef, first.startsThrough}.handle(p)
	assert.Equal(t, sent(), 1, "the record of the first start is on its way")
	saveDone{saveCall: first, commit: services.RecordCommit{Committed: true, Version: 2}}.handle(p)
	assert.Equal(t, sent(), 0)
	now = now.Add(startRecordWait)
	p.now = now
	p.sendDueStarts(m)
	assert.Equal(t, sent(), 1, "the store is away, and owners go on with what they know")
	second := save()
	assert.Assert(t, second.startsThrough > first.startsThrough, "the second start is never recorded")
	saveDone{saveCall: second, commit: services.RecordCommit{Committed: true, Version: 3}}.handle(p)
	assert.Equal(t, sent(), 0, "sent twice")
	p.saveProgress(m)
	assert.Assert(t, !m.inFlight.saveProgress, "saved again without a change")
}

// Guards against a successor that forgets the starts in doubt because the pool is read anew.
func TestStartsInDoubtAreInherited(t *testing.T) {
	now := time.Unix(100, 0)
	s, owner, _ := newTestService(&now)
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned, loading: &poolLoad{}}
	p.pools[testPool] = m
	known := poolplan.StartInDoubt{Task: workload.TaskID{Job: "a"}, Attempt: 1, Executor: "1", Left: time.Second}
	loadDone{ownershipRef: m.ref(), state: poolState{startsKnown: true, startsInDoubt: []poolplan.StartInDoubt{known}}}.handle(p)
	assert.DeepEqual(t, m.plan.StartsInDoubt(m.ownership.ClaimedAt), []poolplan.StartInDoubt{known})
}
