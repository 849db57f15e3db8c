package e2e

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// Guards against a lowered limit that cuts off running requests, or that running
// requests still exceed once the entry hosts have returned their rights.
func TestLoweredLimit(t *testing.T) {
	c, calls, observed := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, observed, loadSeed)
	time.Sleep(2 * time.Second)
	const lowered = 6
	section := testSection()
	section.Teams[0].Limit = lowered
	c.waitInForce(t, c.apply(t, c.hosts[0], section), c.hosts)
	eventually(t, startTimeout, "rights returned down to the lowered limit", func() bool {
		for _, h := range c.hosts {
			if held := c.rightsHeld(t, h, "sales"); held > lowered {
				return false
			}
		}
		return true
	})
	since := time.Now()
	time.Sleep(3 * time.Second)
	stop()
	for _, result := range calls.all() {
		assert.Assert(t, result.outcome != "lost", "request %s was cut off", result.id)
	}
	peak := peakSince(c.executions(t), "sales", since)
	assert.Assert(t, peak > 0, "no request ran under the lowered limit")
	assert.Assert(t, peak <= lowered, "%d requests ran at once under a limit of %d", peak, lowered)
	checkGuarantees(t, c, calls, observed)
}

// rightsHeld returns the rights of a team that all entry hosts hold together, as
// last read by one of them.
func (c *cluster) rightsHeld(t *testing.T, h *entryHost, team string) int32 {
	t.Helper()
	req := connect.NewRequest(&wirev1.ListTeamsRequest{})
	c.authorize(req)
	resp, err := h.admin.ListTeams(t.Context(), req)
	assert.NilError(t, err)
	for _, info := range resp.Msg.Teams {
		if info.Team == team {
			return info.FleetHeld
		}
	}
	t.Fatalf("%s does not list team %s", h.name, team)
	return 0
}

// peakSince returns the highest number of a team's requests that ran at once, counted
// at the start of each of its requests since a time.
func peakSince(all *wirev1.ListExecutionsResponse, team string, since time.Time) int {
	peak := 0
	for _, x := range all.Executions {
		if x.Team != team || x.StartUnixUs < since.UnixMicro() {
			continue
		}
		running := 0
		for _, other := range all.Executions {
			if other.Team == team && other.StartUnixUs <= x.StartUnixUs && (other.EndUnixUs > x.StartUnixUs || other.EndUnixUs < other.StartUnixUs) {
				running++
			}
		}
		peak = max(peak, running)
	}
	return peak
}
