package measure

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const siteText = `
name = "site"
length_s = 10.0
machines = [{ count = 2 }, { count = 3 }]
services = [{ name = "s", servers = [{ count = 4 }, { count = 6 }], node = { cpu = 2000 } }]
classes = [
  { name = "a", service = "s", worth = 2.0, work_ms = { mean = 500.0 }, jobs = { steps = { mean = 2.0 }, width = { mean = 4.0 }, cpu = { mean = 1000.0 } } },
  { name = "b", service = "s", worth = 1.0, work_ms = { mean = 1000.0 }, jobs = { steps = { mean = 1.0 }, width = { mean = 2.0 }, cpu = { mean = 3000.0 } } },
]
traffic = [
  { mix = { a = 1.0 }, per_s = 2.0, shape = { kind = "turns", to = 2.0, swing = 0.5 } },
  { mix = { b = 1.0 }, per_s = 1.0 },
]

[prices]
machine_s = 0.1
server_s = 0.05

[[day]]
name = "one"
one = 0.9
zero = 0.1

[[day]]
name = "two"
traffic = [{ mix = { a = 1.0 }, per_s = 10.0, shape = { kind = "turns", to = 2.0, swing = 0.0 } }]
`

// Guards against a ceiling that does not follow from the site file: the payoff and
// the work asked for, the prices that cannot be avoided, and demand above what all
// machines hold.
func TestCeilings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	assert.NilError(t, os.WriteFile(path, []byte(siteText), 0o600))
	site, err := ReadSite(path)
	assert.NilError(t, err)
	all := site.Ceilings()
	assert.Equal(t, len(all), 2)
	// Class a: 2 jobs a second of 4 core-seconds, class b: 1 of 6; 20 cores.
	one := all[0]
	assert.Equal(t, one.Payoff, 50.0)
	assert.Equal(t, one.DemandCoreSeconds, 140.0)
	assert.Equal(t, one.CapacityCoreSeconds, 200.0)
	assert.Equal(t, one.UnservedShare, 0.0)
	assert.Equal(t, one.EntryMachineShare, 0.1*5/5)
	assert.Equal(t, one.PoolMachineShare, 0.05*7/5)
	assert.Equal(t, one.WorstPeak, (8*1.5+6*0.5)/20)
	// In its turn class a asks for 80 cores of 20.
	assert.Equal(t, all[1].WorstPeak, 4.0)
	assert.Equal(t, all[1].UnservedShare, 0.75)
}
