package pools

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// evacuatingCatalogs has evacuated zones as of a time.
type evacuatingCatalogs struct {
	noCatalogs
	zones evacuation.Set
	asOf  time.Time
}

func (c *evacuatingCatalogs) Evacuations() evacuation.Set { return c.zones }
func (c *evacuatingCatalogs) CurrentAsOf() time.Time      { return c.asOf }

func zoneSet(zone string, version int64) evacuation.Set {
	return evacuation.Set{}.WithChanges([]evacuation.Request{{Zone: zone, Version: version}})
}

// Guards against a start in an evacuated zone that was planned before the request and has
// waited in a ring since. Stops and lease renewals go on.
func TestStartThatWaitedIsWithheldInEvacuatedZone(t *testing.T) {
	now := time.Unix(0, 0)
	s, _, executors := newTestService(&now)
	s.catalogs = &evacuatingCatalogs{zones: zoneSet("a", 5)}
	ref := ownershipRef{testPool, 7}
	done, ok := startCall{ref, poolplan.Start{Zone: "a"}}.run(t.Context(), s).(startDone)
	assert.Assert(t, ok && done.outcome.Answer == poolplan.Withheld)
	assert.Equal(t, executors.orders, 0)
	for _, c := range []call{startCall{ref, poolplan.Start{Zone: "b"}}, stopCall{ref, poolplan.Stop{}}, renewLeaseCall{ref, poolplan.RenewLease{}}} {
		c.run(t.Context(), s)
	}
	assert.Equal(t, executors.orders, 3)
}

// Guards against a new owner that plans by a state of the operator from before it was cut
// off, and against a status that names an evacuation which the plan does not apply.
func TestNewOwnerWaitsForOperatorState(t *testing.T) {
	now := time.Unix(100, 0)
	s, owner, _ := newTestService(&now)
	catalogs := &evacuatingCatalogs{asOf: now.Add(-maxOperatorStateAge - time.Millisecond)}
	s.catalogs = catalogs
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned, plan: poolplan.New(3, now, 0, poolplan.Params{})}
	p.pools[testPool] = m
	assert.Assert(t, !p.operatorStateRecent(m))
	catalogs.zones, catalogs.asOf = zoneSet("a", 5), now
	assert.Equal(t, len(p.evacuationStatus(m)), 0)
	assert.Assert(t, p.operatorStateRecent(m))
	assert.DeepEqual(t, p.evacuationStatus(m), []jobrecord.EvacuationStatus{{Zone: "a", Version: 5}})
	catalogs.asOf = time.Time{}
	assert.Assert(t, p.operatorStateRecent(m), "an owner that plans goes on while the store does not answer")
}

// Guards against members of a gang that wait for one whose start was withheld: the outcome
// may reach the planner before the change of the evacuations does.
func TestWithheldStartMakesThePlanEvacuateTheZone(t *testing.T) {
	now := time.Unix(100, 0)
	s, owner, _ := newTestService(&now)
	s.catalogs = &evacuatingCatalogs{zones: zoneSet("a", 5), asOf: now}
	p := newPlanner(s)
	m := &managedPool{name: testPool, ownership: owner.owned, plan: poolplan.New(3, now, 0, poolplan.Params{}), operatorStateKnown: true}
	p.pools[testPool] = m
	p.handleEvent(startCall{m.ref(), poolplan.Start{Zone: "a"}}.run(t.Context(), s))
	assert.DeepEqual(t, p.evacuationStatus(m), []jobrecord.EvacuationStatus{{Zone: "a", Version: 5}})
}
