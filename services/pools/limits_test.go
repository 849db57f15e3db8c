package pools

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// newLimitedPlanner returns the planner of a pool that was claimed at version 50. Its
// tenant's row was written at version; it gives the pool all 16 processors.
func newLimitedPlanner(term int, version int64) (*planner, *managedPool) {
	now := time.Unix(0, 0)
	s, owner, _ := newTestService(&now)
	owner.owned.Term, owner.owned.AcquiredVersion = term, 50
	p := newPlanner(s)
	manage(p, owner)
	maximum := fleet.Resources{MilliCPU: 16000}
	queues := []catalog.Queue{{Name: "queue", Service: testPool}, {Name: "queue-2", Service: "other"}}
	p.catalog = catalog.New(1, queues, []catalog.Service{{Name: testPool}, {Name: "other"}}, []catalog.Tenant{{Name: "tenant", Maximum: maximum}})
	m := p.pools[testPool]
	m.plan.SetCatalog(p.catalog)
	p.limits.loaded = true
	p.limits.rows["tenant"] = &storedRow{row: allotment.Row{Pools: allotment.Allotments{testPool: maximum}}, version: version}
	return p, m
}

// limit returns the limit of the tenant that the plan gets.
func (p *planner) limit(m *managedPool) int64 {
	return p.limits.poolLimits(p.catalog, m)["tenant"].MilliCPU
}

// commitLimits sends the changes that are needed and returns them.
func (p *planner) commitLimits(t *testing.T) []limitChange {
	t.Helper()
	changes := p.limits.neededChanges(p)
	assert.Equal(t, len(changes), 1)
	p.limits.markSent(changes)
	return changes
}

func answerLimits(p *planner, changes []limitChange, commit services.RecordCommit, err error) {
	limitsCommitDone{limitsCommitCall{changes}, commit, err}.handle(p)
}

// Guards against a part of a tenant's maximum that two pools use: an owner started work
// in a part that it was about to give up, or whose release the store carried out after
// the answer had been lost, when another pool had the part already.
func TestPartThatIsGivenUpIsNotUsed(t *testing.T) {
	p, m := newLimitedPlanner(1, 40)
	assert.Equal(t, p.limit(m), int64(16000))
	p.now = p.now.Add(minShrinkInterval)
	changes := p.commitLimits(t)
	kept := changes[0].row.Pools[testPool].MilliCPU
	assert.Assert(t, kept < 16000)
	assert.Equal(t, p.limit(m), kept, "the change is under way")
	answerLimits(p, changes, services.RecordCommit{}, errors.New("no answer"))
	assert.Equal(t, p.limit(m), kept, "the change may still be carried out")
	// The panic of a list does not make the owner forget what it has sent.
	rows := p.limits.rows
	p.resetShared()
	p.limits.rows = rows
	assert.Equal(t, p.limit(m), kept)

	// The row is written again, although the pool could use the whole part now, until
	// its version shows that the lost change cannot be carried out any more.
	rows["tenant"].changedAt = p.now
	again := p.commitLimits(t)
	answerLimits(p, again, services.RecordCommit{}, fault.New(&fault.NotRun, fault.ReasonPlatformDown, "commit", "", "status 503"))
	assert.Equal(t, p.limit(m), kept)
	again = p.commitLimits(t)
	again[0].row = rows["tenant"].row
	answerLimits(p, again, services.RecordCommit{Committed: true, Version: 60}, nil)
	assert.Equal(t, p.limit(m), int64(16000))
}

// Guards against a limit that stays low after the store has refused the change of it.
func TestRefusedChangeOfPartHasNoEffect(t *testing.T) {
	p, m := newLimitedPlanner(1, 40)
	p.now = p.now.Add(minShrinkInterval)
	answerLimits(p, p.commitLimits(t), services.RecordCommit{}, fault.New(&fault.NotRun, fault.ReasonPlatformBusy, "commit", "", "status 429"))
	assert.Equal(t, p.limit(m), int64(16000))
}

// Guards against a successor that uses the part of a tenant's maximum that its
// predecessor was giving up when it ended: the store may carry that out late.
func TestSuccessorExcludesLateChangesOfParts(t *testing.T) {
	p, m := newLimitedPlanner(2, 40)
	assert.Equal(t, p.limit(m), int64(0))
	changes := p.commitLimits(t)
	answerLimits(p, changes, services.RecordCommit{Committed: true, Version: 60}, nil)
	assert.Equal(t, p.limit(m), changes[0].row.Pools[testPool].MilliCPU)
	assert.Assert(t, p.limit(m) > 0)
	assert.Equal(t, len(p.limits.neededChanges(p)), 0)

	p, m = newLimitedPlanner(2, 51)
	assert.Equal(t, p.limit(m), int64(16000), "another owner has written the row since the claim")
}
