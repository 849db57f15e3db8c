package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/keyring"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
	"fuchsiafront.example/fuchsiafront/wire/yamldoc"
)

// zoneNames are the availability zones of the test deployment; zone i has the
// addresses 127.0.(firstZoneOctet+i).0/24.
var zoneNames = []string{"klang", "shahalam", "penang"}

const (
	firstZoneOctet = 11
	hostsPerZone   = 2
	// inForceTimeout is the stated time in which an accepted configuration
	// is in force everywhere.
	inForceTimeout = 4 * time.Second
	startTimeout   = 20 * time.Second
)

// cluster is a stand-in platform with entry hosts in three zones.
type cluster struct {
	standin *process
	control fuchsiafrontv1connect.StandinServiceClient
	hosts   []*entryHost
	// operator is the key of the operator that may change everything.
	operator    keyring.PresentedKey
	changeCount int
}

type entryHost struct {
	name, zone    string
	ip            string
	callerAddress string
	adminAddress  string
	peerAddress   string
	relay         *relay
	process       *process
	// args start the process again after a kill.
	args  []string
	admin fuchsiafrontv1connect.AdminServiceClient
}

func startCluster(t *testing.T, extra ...string) *cluster {
	t.Helper()
	args := []string{"serve", "--zones"}
	for i, zone := range zoneNames {
		args = append(args, fmt.Sprintf("%s=127.0.%d.0/24", zone, firstZoneOctet+i))
	}
	args = append(args, "--backend-services", "quotes=3", "ledger=2", "--host-list-lag", "1s",
		"--workers-per-zone", "2", "--worker-cores", "4")
	c := &cluster{operator: keyring.PresentedKey{Holder: "bootstrap", ID: "root", Secret: "test-secret"}}
	c.standin = startProcess(t, "standin", "fuchsiastandin", args...)
	url := c.standin.firstLine(t)
	c.control = fuchsiafrontv1connect.NewStandinServiceClient(http.DefaultClient, url)
	for i, zone := range zoneNames {
		for n := range hostsPerZone {
			c.hosts = append(c.hosts, c.startHost(t, zone, fmt.Sprintf("127.0.%d.%d", firstZoneOctet+i, n+1), n, url, extra))
		}
	}
	for _, h := range c.hosts {
		eventually(t, startTimeout, h.name+" ready", h.ready)
	}
	t.Cleanup(func() {
		if t.Failed() {
			c.logCounters(t)
		}
	})
	return c
}

// logCounters prints what every host refused and retried, to explain a failed
// test.
func (c *cluster) logCounters(t *testing.T) {
	for _, h := range c.hosts {
		resp, err := http.Get("http://" + h.adminAddress + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "_refused_total{reason") || strings.Contains(line, "retried_total{") || strings.Contains(line, "rights_held{") {
				t.Logf("%s: %s", h.name, strings.TrimSpace(line))
			}
		}
	}
}

func (c *cluster) startHost(t *testing.T, zone, ip string, n int, platform string, extra []string) *entryHost {
	t.Helper()
	addresses := freePorts(t, ip, 3)
	h := &entryHost{
		name:          fmt.Sprintf("entry-%s-%d", zone, n+1),
		zone:          zone,
		ip:            ip,
		callerAddress: addresses[0],
		adminAddress:  addresses[1],
		peerAddress:   addresses[2],
	}
	h.relay = startRelay(t, ip, h.peerAddress)
	stored := c.operator.StoredForm("00a1")
	h.args = append([]string{
		"--name", h.name, "--zone", zone, "--platform", platform, "--source-ip", ip,
		"--caller-address", h.callerAddress, "--admin-address", h.adminAddress, "--peer-address", h.peerAddress, "--peer-advertise", h.relay.address(),
		"--bootstrap-key", stored.ID + ":" + stored.Salt + ":" + stored.Hash,
		"--readiness-delay", "500ms", "--log-level", "debug",
	}, extra...)
	h.process = startProcess(t, h.name, "fuchsiafrontd", h.args...)
	h.admin = fuchsiafrontv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+h.adminAddress)
	return h
}

func (h *entryHost) ready() bool {
	resp, err := http.Get("http://" + h.adminAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// apply changes one section through a host and returns the revision.
func (c *cluster) apply(t *testing.T, h *entryHost, section document.Section) uint64 {
	t.Helper()
	text, err := yamldoc.Encode(section)
	assert.NilError(t, err)
	c.changeCount++
	req := connect.NewRequest(&wirev1.ApplyRequest{
		ChangeId: fmt.Sprintf("change-%d", c.changeCount),
		Changes:  []*wirev1.SectionChange{{Name: section.Name, IfRevision: c.sectionRevision(t, h, section.Name), Yaml: string(text)}},
	})
	c.authorize(req)
	var revision uint64
	// A host that has just started accepts changes once every other member
	// has confirmed it; until then it refuses them as not run.
	eventually(t, startTimeout, "change accepted by "+h.name, func() bool {
		resp, err := h.admin.Apply(t.Context(), req)
		if err != nil {
			assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable, "%v", err)
			return false
		}
		revision = resp.Msg.Revision
		return true
	})
	return revision
}

// waitAdmitted waits until every host has accepted a change of its own, which it
// does only once all other members have confirmed it.
func (c *cluster) waitAdmitted(t *testing.T) {
	t.Helper()
	for _, h := range c.hosts {
		name := "admitted-" + h.name
		c.waitInForce(t, c.apply(t, h, document.Section{
			Name:  name,
			Teams: []document.Team{{Name: name, Share: 1}},
		}), c.hosts)
	}
}

func (c *cluster) authorize(req connect.AnyRequest) {
	req.Header().Set("Authorization", "Bearer "+c.operator.Format())
}

// document returns what a host has in force.
func (c *cluster) document(ctx context.Context, h *entryHost) (*wirev1.GetDocumentResponse, error) {
	req := connect.NewRequest(&wirev1.GetDocumentRequest{})
	c.authorize(req)
	resp, err := h.admin.GetDocument(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (c *cluster) sectionRevision(t *testing.T, h *entryHost, name string) uint64 {
	t.Helper()
	doc, err := c.document(t.Context(), h)
	assert.NilError(t, err)
	for _, s := range doc.Sections {
		if s.Name == name {
			return s.Revision
		}
	}
	return 0
}

// waitInForce waits until every named host has the revision.
func (c *cluster) waitInForce(t *testing.T, revision uint64, hosts []*entryHost) {
	t.Helper()
	for _, h := range hosts {
		eventually(t, inForceTimeout, fmt.Sprintf("revision %d in force on %s", revision, h.name), func() bool {
			doc, err := c.document(t.Context(), h)
			return err == nil && doc.Revision >= revision
		})
	}
}

func (c *cluster) setFaults(t *testing.T, f *wirev1.Faults) {
	t.Helper()
	_, err := c.control.SetFaults(t.Context(), connect.NewRequest(&wirev1.SetFaultsRequest{Faults: f}))
	assert.NilError(t, err)
}

func (c *cluster) executions(t *testing.T) *wirev1.ListExecutionsResponse {
	t.Helper()
	resp, err := c.control.ListExecutions(t.Context(), connect.NewRequest(&wirev1.ListExecutionsRequest{}))
	assert.NilError(t, err)
	return resp.Msg
}

// restart starts a host's process again after it was killed.
func (h *entryHost) restart(t *testing.T) {
	t.Helper()
	h.process = startProcess(t, h.name, "fuchsiafrontd", h.args...)
	eventually(t, startTimeout, h.name+" ready", h.ready)
}

func zoneNetwork(zone string) string {
	for i, name := range zoneNames {
		if name == zone {
			return fmt.Sprintf("127.0.%d", firstZoneOctet+i)
		}
	}
	panic("no zone " + zone)
}

// selectHosts returns the entry hosts in a zone, or outside of it.
func (c *cluster) selectHosts(zone string, inside bool) []*entryHost {
	var hosts []*entryHost
	for _, h := range c.hosts {
		if (h.zone == zone) == inside {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// setPartitioned cuts a zone's entry hosts from the other zones' and from the
// platform, or restores the connections.
func (c *cluster) setPartitioned(t *testing.T, zone string, cut bool) {
	t.Helper()
	for _, h := range c.hosts {
		for _, other := range zoneNames {
			if (h.zone == zone) != (other == zone) {
				h.relay.setCut(zoneNetwork(other), cut)
			}
		}
	}
	f := &wirev1.Faults{}
	if cut {
		f.CutZones = []string{zone}
	}
	c.setFaults(t, f)
}
