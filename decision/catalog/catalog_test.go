package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host given as an IPv6 address that is cut at its last colon, and
// against a port that hides the queue.
func TestRouteIgnoresPort(t *testing.T) {
	c := New(1, []Queue{{Name: "a", Place: Place{Host: "[::1]", PathPrefix: "/"}}, {Name: "b", Place: Place{Host: "h.example", PathPrefix: "/"}}}, nil, nil)
	for host, want := range map[string]string{"[::1]": "a", "[::1]:80": "a", "h.example": "b", "h.example:80": "b"} {
		q, _, ok := c.Route(host, "/x")
		assert.Assert(t, ok, host)
		assert.Equal(t, q.Name, want)
	}
}

func TestAuthenticate(t *testing.T) {
	c := New(1, nil, nil, []Tenant{{Name: "t", Keys: []string{"k1", "k2"}}})
	tenant, ok := c.Authenticate("k2")
	assert.Assert(t, ok)
	assert.Equal(t, tenant, "t")
	for _, key := range []string{"", "k", "k3"} {
		_, ok := c.Authenticate(key)
		assert.Assert(t, !ok, key)
	}
}
