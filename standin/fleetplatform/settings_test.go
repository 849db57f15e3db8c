package fleetplatform

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two processes of a test that are given the same address: the kernel chooses
// the port of a closed listener again.
func TestFreeAddressesDiffer(t *testing.T) {
	given := make(map[string]bool)
	for range 2000 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !given[address], "%s was given out twice", address)
		given[address] = true
	}
}
