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
	// peerTimeout is the age of a peer's report beyond which no rights are
	// moved to it.
	peerTimeout = 5 * time.Second
)

func decodeRow(row services.Row) (rights.Row, error) {
	var r rights.Row
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fault.New(&fault.Invalid, fault.ReasonInternal, stepBalance, platformPeer, "row %s: %v", row.Key, err)
	}
	return r, nil
}

func encodeRow(r rights.Row) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonInternal, stepBalance, "", "%v", err)
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

// fleetView is what this host knows of the others at one time.
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

// activePeers returns the peers that reported lately and stay.
func (s *Service) activePeers(now time.Time) []rights.Holder {
	var heard []rights.Holder
	for _, p := range s.peers.Status() {
		if !p.Leaving && now.Sub(p.HeardAt) < peerTimeout {
			heard = append(heard, rights.Holder{Host: p.Identity.Name, Incarnation: p.Identity.Incarnation})
		}
	}
	return heard
}

// balanceInput combines a row that was read with what this host knows. A team that
// is not in the document has the limit zero.
func (v fleetView) balanceInput(team string, version uint64, row rights.Row, readStart time.Time) rights.BalanceInput {
	return rights.BalanceInput{
		Team: team, Version: version, Row: row, ReadStart: readStart,
		Limit: rights.Limit{Rights: v.teams[team].Limit, Revision: v.revision},
		Hosts: v.hosts, Peers: v.peers, Leaving: v.leaving,
	}
}

// checkHolders looks for holders that ended or disappeared, and returns the versions
// of the member rows on which the surveys then rely.
func (b *balancer) checkHolders(ctx context.Context, surveys []rights.BalanceInput) map[string]uint64 {
	members, start, end, err := b.readMemberVersions(ctx, surveys)
	if err != nil {
		b.service.count("retried_total", stepBalance, fault.ReasonOf(err))
		return nil
	}
	for i := range surveys {
		b.checkHoldersOfTeam(&surveys[i], members, start, end)
	}
	return members
}

func (b *balancer) checkHoldersOfTeam(s *rights.BalanceInput, members map[string]uint64, start, end time.Time) {
	self := b.service.self()
	for _, h := range s.Row.Holdings {
		if h.Host == self.Host {
			continue
		}
		switch b.monitor.CheckLive(h.Holder, rights.MemberRow{Version: members[h.Host]}, start, end) {
		case rights.StrandHolding:
			s.Ended = append(s.Ended, h.Holder)
		case rights.ReclaimHolding:
			s.Expired = append(s.Expired, h.Holder)
		}
	}
	for _, h := range s.Row.Stranded {
		if b.monitor.CheckStranded(s.Team, h, start, end) == rights.ReclaimHolding {
			s.Reclaimable = append(s.Reclaimable, h.Holder)
		}
	}
}

// readMemberVersions reads the versions of the member rows of all holders.
func (b *balancer) readMemberVersions(ctx context.Context, surveys []rights.BalanceInput) (map[string]uint64, time.Time, time.Time, error) {
	members := make(map[string]uint64)
	for _, s := range surveys {
		for _, h := range slices.Concat(s.Row.Holdings, s.Row.Stranded) {
			members[h.Host] = 0
		}
	}
	start := time.Now()
	if len(members) == 0 {
		return members, start, start, nil
	}
	var keys []string
	for host := range members {
		keys = append(keys, memberPrefix+host)
	}
	rows, err := b.get(ctx, keys)
	if err != nil {
		return nil, start, start, err
	}
	for _, row := range rows {
		members[row.Key[len(memberPrefix):]] = row.Version
	}
	return members, start, time.Now(), nil
}

// retainHolders forgets holders that are in none of the surveyed rows. It is called
// with the rows of all teams.
func (b *balancer) retainHolders(surveys []rights.BalanceInput) {
	present := make(map[rights.Holder]bool)
	for _, s := range surveys {
		for _, h := range slices.Concat(s.Row.Holdings, s.Row.Stranded) {
			present[h.Holder] = true
		}
	}
	b.monitor.Retain(func(h rights.Holder) bool { return present[h] })
}
