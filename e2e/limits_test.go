package e2e

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// Guards against a lowered limit that stops running work, or that new work
// still exceeds once the entry hosts have given their rights back.
func TestLoweredLimit(t *testing.T) {
	c, calls, e := startConfiguredCluster(t)
	stop := runLoad(t, c, calls, e, loadSeed)
	time.Sleep(2 * time.Second)
	const lowered = 6
	section := testSection()
	section.Teams[0].Limit = lowered
	c.waitInForce(t, c.apply(t, c.hosts[0], section), c.hosts)
	eventually(t, startTimeout, "rights given back", func() bool {
		for _, h := range c.hosts {
			if held := c.rightsHeld(t, h, "sales"); held > lowered {
				return false
			}
		}
		return true
	})
	from := time.Now()
	time.Sleep(3 * time.Second)
	stop()
	for _, answer := range calls.all() {
		assert.Assert(t, answer.outcome != "lost", "request %s was cut", answer.id)
	}
	peak := peakSince(c.executions(t), "sales", from)
	assert.Assert(t, peak > 0, "nothing ran under the lowered limit")
	assert.Assert(t, peak <= lowered, "%d ran at once under a limit of %d", peak, lowered)
	checkGuarantees(t, c, calls, e)
}

// rightsHeld returns the rights of a team over all entry hosts, as one of them
// last read them.
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

// peakSince returns the highest number of a team's requests that ran at the
// start of any request from a time on.
func peakSince(all *wirev1.ListExecutionsResponse, team string, from time.Time) int {
	peak := 0
	for _, x := range all.Executions {
		if x.Team != team || x.StartUnixUs < from.UnixMicro() {
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
