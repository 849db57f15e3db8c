package claims_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/claims"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
)

// fakeMembership is a membership with one member.
type fakeMembership struct{ self services.Identity }

func (m *fakeMembership) Provision(*kernel.Context) error   { return nil }
func (m *fakeMembership) Self() services.Identity           { return m.self }
func (m *fakeMembership) CheckMayUseRights(time.Time) error { return nil }
func (m *fakeMembership) CheckMayAcceptChanges() error      { return nil }
func (m *fakeMembership) Members() []services.Identity      { return []services.Identity{m.self} }

// startService runs the service of one host on p until the test ends.
func startService(t *testing.T, p *entryfakes.Platform, host string) *claims.Service {
	t.Helper()
	k := kernel.New(zerolog.Nop(), nil)
	s := claims.New()
	k.Register(services.NamePlatform, p)
	k.Register(services.NameMembership, &fakeMembership{services.Identity{Name: host, Incarnation: 1}})
	k.Register(services.NameClaims, s)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return s
}
