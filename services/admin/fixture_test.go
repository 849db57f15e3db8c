package admin_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/services/admin"
	"fuchsiafront.example/fuchsiafront/services/metrics"
	"fuchsiafront.example/fuchsiafront/standin/entryfakes"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// Keys that the operators of the tests present.
var (
	bootstrapKey = keyring.PresentedKey{Holder: "bootstrap", ID: "k1", Secret: "b00757a9"}
	sitiKey      = keyring.PresentedKey{Holder: "siti", ID: "k1", Secret: "5171"}
	joaoKey      = keyring.PresentedKey{Holder: "joao", ID: "k1", Secret: "70a0"}
)

const salt = "00ff"

// clock is a virtual clock.
type clock struct{ now atomic.Int64 }

func (c *clock) Now() time.Time          { return time.Unix(1_800_000_000, c.now.Load()) }
func (c *clock) Advance(d time.Duration) { c.now.Add(int64(d)) }

// fixture is the operators' API of one entry host; all other services except
// metrics are fakes.
type fixture struct {
	*entryfakes.Set
	clock   *clock
	service *admin.Service
	client  fuchsiafrontv1connect.AdminServiceClient
	url     string
	log     *lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: &clock{}, log: &lockedBuffer{}}
	f.Set = entryfakes.NewSet("entry-1", f.clock.Now)
	metricsService, scope := metrics.New(zerolog.Nop())
	service := admin.New(admin.Settings{
		Address:         "127.0.0.1:0",
		Bootstrap:       document.Operator{Name: "bootstrap", Key: bootstrapKey.StoredForm(salt), Sections: []string{"*"}, Hosts: true},
		MaxKeyStaleness: 3 * time.Second,
	}, f.clock.Now)
	k := kernel.New(zerolog.New(f.log), scope)
	f.Register(k)
	k.Register(services.NameMetrics, metricsService)
	k.Register(services.NameAdmin, service)
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { k.Stop(context.Background()) })
	f.service = service
	f.url = "http://" + service.Address()
	f.client = fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, f.url)
	return f
}

func withKey[T any](key keyring.PresentedKey, msg *T) *connect.Request[T] {
	r := connect.NewRequest(msg)
	r.Header().Set("Authorization", "Bearer "+key.Format())
	return r
}

func apply(f *fixture, key keyring.PresentedKey, id string, changes ...*wirev1.SectionChange) (*wirev1.ApplyResponse, error) {
	resp, err := f.client.Apply(context.Background(), withKey(key, &wirev1.ApplyRequest{ChangeId: id, Changes: changes}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func section(t *testing.T, s document.Section, ifRevision uint64) *wirev1.SectionChange {
	t.Helper()
	text, err := yamldoc.Encode(s)
	assert.NilError(t, err)
	return &wirev1.SectionChange{Name: s.Name, IfRevision: ifRevision, Yaml: string(text)}
}

func refusal(t *testing.T, err error) *wirev1.AdminRefusal {
	t.Helper()
	var refused *connect.Error
	assert.Assert(t, is.ErrorType(err, refused))
	refused = err.(*connect.Error)
	for _, d := range refused.Details() {
		value, err := d.Value()
		assert.NilError(t, err)
		if r, ok := value.(*wirev1.AdminRefusal); ok {
			return r
		}
	}
	t.Fatalf("no AdminRefusal in %v", err)
	return nil
}

func salesSection(limit int) document.Section {
	return document.Section{
		Name:   "sales",
		Teams:  []document.Team{{Name: "sales", Share: 1, Limit: limit}},
		Queues: []document.Queue{{Name: "quotes", Team: "sales", Pool: "quotes", Class: "interactive"}},
	}
}

var poolsSection = document.Section{Name: "pools", Pools: []document.Pool{{Name: "quotes", Kind: "backend-server", MaxUnavailable: 1}}}

func operatorsSection() document.Section {
	return document.Section{Name: "operators", Operators: []document.Operator{
		{Name: "siti", Key: sitiKey.StoredForm(salt), Sections: []string{"*"}, Hosts: true},
		{Name: "joao", Key: joaoKey.StoredForm(salt), Sections: []string{"sales*"}},
	}}
}

// newFixtureWithDocument returns a fixture with a document of three sections.
func newFixtureWithDocument(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	resp, err := apply(f, bootstrapKey, "start", section(t, poolsSection, 0), section(t, salesSection(20), 0), section(t, operatorsSection(), 0))
	assert.NilError(t, err)
	assert.Equal(t, resp.Revision, uint64(1))
	return f
}

func salesLimit(f *fixture) int {
	team, _ := f.State.View().Document.Team("sales")
	return team.Limit
}
