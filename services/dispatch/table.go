package dispatch

import (
	"path"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// refreshServers rebuilds the table of servers when the host list or the shared
// state has changed.
func (q *queueState) refreshServers() {
	view, list := q.s.state.View(), q.s.hosts.Hosts()
	if view == q.view && list == q.hostList || view == nil || list.AsOf.IsZero() {
		return
	}
	q.view, q.hostList = view, list
	q.hasUrgentQueue = urgentPools(view)
	q.hostsByName = make(map[string]fleet.Host)
	retained := make(map[string]fleet.Host)
	var servers []route.Server
	for _, h := range list.Hosts {
		if h.Kind != fleet.KindBackendServer {
			continue
		}
		leaving := h.Phase != fleet.PhaseLive || isOutOfService(view, h.Name)
		if !leaving {
			retained[h.Name] = h
		}
		q.hostsByName[h.Name] = h
		servers = append(servers, route.Server{
			Name: h.Name, Address: h.Address, Zone: h.Zone, Pool: poolOf(view, h.Name),
			Slots: h.Slots, MaxInFlight: q.s.backends.ConnectionsPerServer(), Leaving: leaving,
		})
	}
	q.serverTable.SetServers(servers)
	q.s.backends.Retain(retained)
}

// isOutOfService reports whether the ledger lists a host as out of service.
func isOutOfService(view *services.View, host string) bool {
	if view.Ledger == nil {
		return false
	}
	_, out := view.Ledger.Entries[host]
	return out
}

func urgentPools(view *services.View) map[string]bool {
	urgent := make(map[string]bool)
	for _, section := range view.Document.Sections {
		for _, queue := range section.Queues {
			if queue.Class == fleet.ClassUrgent {
				urgent[queue.Pool] = true
			}
		}
	}
	return urgent
}

// poolOf returns the pool to which a host is assigned or which adopts it, or an
// empty name.
func poolOf(view *services.View, host string) string {
	if pool, ok := view.Assignments[host]; ok {
		return pool
	}
	for _, section := range view.Document.Sections {
		for _, pool := range section.Pools {
			for _, pattern := range pool.Adopt {
				if ok, _ := path.Match(pattern, host); ok {
					return pool.Name
				}
			}
		}
	}
	return ""
}

// tick releases the rights that are due, unblocks teams whose rights were
// refused, and exchanges loads with the peers.
func (q *queueState) tick(now time.Time) {
	q.releaseDue(now)
	q.scheduler.UnblockAll()
	self := q.s.membership.Self().Name
	peerRunning := make(map[string]int)
	for _, load := range q.s.peers.Loads() {
		if load.Host != self {
			peerRunning[load.Team] += load.Running
		}
	}
	q.scheduler.SetPeerRunning(peerRunning)
	q.reportLoads(self)
}

func (q *queueState) releaseDue(now time.Time) {
	kept := q.delayedReleases[:0]
	for _, release := range q.delayedReleases {
		if now.Before(release.due) {
			kept = append(kept, release)
			continue
		}
		q.releaseRight(release.team)
	}
	q.delayedReleases = kept
}

// reportLoads reports what waits and runs here to the peers, to the rights
// service, and in the status for operators.
func (q *queueState) reportLoads(self string) {
	loads := make([]services.TeamLoad, 0, len(q.waitingByTeam))
	for team, waiting := range q.waitingByTeam {
		load := services.TeamLoad{Host: self, Team: team, Running: q.scheduler.Running(team), Waiting: waiting}
		q.s.rights.SetWaiting(team, waiting)
		loads = append(loads, load)
	}
	for _, usage := range q.s.rights.Usage() {
		for i := range loads {
			if loads[i].Team == usage.Team {
				loads[i].UnmetRights = max(0, loads[i].Running+loads[i].Waiting-usage.Held)
			}
		}
	}
	q.s.peers.SetLoads(loads)
	status := make([]services.QueueStatus, 0, len(q.teamByQueue))
	for name, team := range q.teamByQueue {
		status = append(status, services.QueueStatus{Queue: name, Team: team, Waiting: q.scheduler.Waiting(name), Running: q.runningByQueue[name]})
	}
	q.s.queueStatus.Store(&status)
}
