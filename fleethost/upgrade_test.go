package fleethost

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// Guards against jobs that are lost because an earlier version recorded them in the
// parts of their pool, and without the queue's terms.
func TestJobsOfEarlierVersionAreRun(t *testing.T) {
	c := startCluster(t, 0, 3, 50*time.Millisecond)
	owner, err := json.Marshal(map[string]any{"holder": "h9", "incarnation": 1, "term": 3, "renewals": 8, "released": true})
	assert.NilError(t, err)
	ownerKey := jobrecord.OwnerKey(c.fleet.Service)
	c.fleet.Store.PutBytes(ownerKey.Table, ownerKey.Part, ownerKey.Key, owner)
	spec := &workload.Spec{ID: jobID(1), Queue: catalog.Origin{Name: "queue"}, Tenant: "tenant", AcceptedAt: time.Now(), Steps: []workload.Step{{Count: 2}}}
	value, err := jobrecord.EncodeSpec(spec)
	assert.NilError(t, err)
	key := jobrecord.PoolPartKey(c.fleet.Service, jobrecord.JobKey(c.fleet.Service, jobID(1)))
	assert.Assert(t, key.Part != jobrecord.JobKey(c.fleet.Service, jobID(1)).Part)
	c.fleet.Store.PutBytes(key.Table, key.Part, key.Key, value)
	h := c.startHost("h0")
	c.eventually("the job is completed", func() bool { return c.completed(h, jobID(1)) })
	status, _ := c.call(h, http.MethodGet, jobID(2), testKey, nil)
	assert.Equal(t, status, http.StatusGone)
}
