package rights

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	rowPrefix    = "rights/"
	memberPrefix = "member/"
	// peerTimeout is the age of a peer's last report from which on no rights
	// are moved to it.
	peerTimeout = 5 * time.Second
)

func decodeRow(row services.Row) (rights.Row, error) {
	var r rights.Row
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fault.New(&fault.Invalid, fault.ReasonInternal, stepBalance, platformPeer, "decode row %s: %v", row.Key, err)
	}
	return r, nil
}

func encodeRow(r rights.Row) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonInternal, stepBalance, "", "encode row of rights: %v", err)
	}
	return data, nil
}

// teamsByName returns the teams of the document by name.
func teamsByName(d *document.Document) map[string]document.Team {
	all := make(map[string]document.Team)
	if d == nil {
		return all
	}
	for _, section := range d.Sections {
		for _, team := range section.Teams {
			all[team.Name] = team
		}
	}
	return all
}

// fleetView is what this host knows of the fleet at one time.
type fleetView struct {
	revision uint64
	teams    map[string]document.Team
	hosts    int
	peers    []rights.Holder
	leaving  bool
}

func (s *Service) fleetView(now time.Time, leaving bool) (fleetView, bool) {
	view := s.state.View()
	if view == nil {
		return fleetView{}, false
	}
	return fleetView{
		revision: view.Revision,
		teams:    teamsByName(view.Document),
		hosts:    max(1, len(s.membership.Members())),
		peers:    s.activePeers(now),
		leaving:  leaving,
	}, true
}

// activePeers returns the peers that reported within peerTimeout and are not
// leaving.
func (s *Service) activePeers(now time.Time) []rights.Holder {
	var active []rights.Holder
	for _, p := range s.peers.Status() {
		if !p.Leaving && now.Sub(p.LastContactAt) < peerTimeout {
			active = append(active, rights.Holder{Host: p.Identity.Name, Incarnation: p.Identity.Incarnation})
		}
	}
	return active
}

// balanceInput combines a row that was read with what this host knows of the
// fleet. A team that is not in the document has limit zero.
func (v fleetView) balanceInput(team string, version uint64, row rights.Row, readStart time.Time) rights.BalanceInput {
	return rights.BalanceInput{
		Team: team, Version: version, Row: row, ReadStart: readStart,
		Limit: rights.Limit{Rights: v.teams[team].Limit, Revision: v.revision},
		Hosts: v.hosts, Peers: v.peers, Leaving: v.leaving,
	}
}

// checkHolders records in inputs the holders that ended or disappeared, and
// returns the versions of the member rows that this is based on.
func (b *balancer) checkHolders(ctx context.Context, inputs []rights.BalanceInput) map[string]uint64 {
	versions, start, end, err := b.readMemberVersions(ctx, inputs)
	if err != nil {
		b.service.count("retried_total", stepBalance, fault.ReasonOf(err))
		return nil
	}
	for i := range inputs {
		b.checkHoldersOfTeam(&inputs[i], versions, start, end)
	}
	return versions
}

func (b *balancer) checkHoldersOfTeam(in *rights.BalanceInput, versions map[string]uint64, start, end time.Time) {
	self := b.service.self()
	for _, h := range in.Row.Holdings {
		if h.Host == self.Host {
			continue
		}
		switch b.monitor.CheckLive(h.Holder, rights.MemberRow{Version: versions[h.Host]}, start, end) {
		case rights.OrphanHolding:
			in.Ended = append(in.Ended, h.Holder)
		case rights.ReclaimHolding:
			in.Expired = append(in.Expired, h.Holder)
		}
	}
	for _, h := range in.Row.Orphaned {
		if b.monitor.CheckOrphaned(in.Team, h, start, end) == rights.ReclaimHolding {
			in.Reclaimable = append(in.Reclaimable, h.Holder)
		}
	}
}

// readMemberVersions reads the versions of the member rows of all holders.
func (b *balancer) readMemberVersions(ctx context.Context, inputs []rights.BalanceInput) (map[string]uint64, time.Time, time.Time, error) {
	versions := make(map[string]uint64)
	for _, in := range inputs {
		for _, h := range slices.Concat(in.Row.Holdings, in.Row.Orphaned) {
			versions[h.Host] = 0
		}
	}
	start := time.Now()
	if len(versions) == 0 {
		return versions, start, start, nil
	}
	var keys []string
	for host := range versions {
		keys = append(keys, memberPrefix+host)
	}
	rows, err := b.get(ctx, keys)
	if err != nil {
		return nil, start, start, err
	}
	for _, row := range rows {
		versions[row.Key[len(memberPrefix):]] = row.Version
	}
	return versions, start, time.Now(), nil
}

// retainHolders makes the monitor forget holders that are in no row of inputs,
// which must contain all teams.
func (b *balancer) retainHolders(inputs []rights.BalanceInput) {
	present := make(map[rights.Holder]bool)
	for _, in := range inputs {
		for _, h := range slices.Concat(in.Row.Holdings, in.Row.Orphaned) {
			present[h.Holder] = true
		}
	}
	b.monitor.Retain(func(h rights.Holder) bool { return present[h] })
}
