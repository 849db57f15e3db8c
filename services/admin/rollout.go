package admin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/rollout"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// stalenessMargin is added to the maximum staleness, for clocks that run at
// different rates and for work that was admitted just before the bound.
const stalenessMargin = 500 * time.Millisecond

// noContactAge is the age, in ms, reported for a member without any contact.
const noContactAge = -1

// runRevisionHistory records when each revision came into force on this host.
func (s *Service) runRevisionHistory(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-s.views.C():
			next := s.history.Load().Add(view.Revision, s.clock())
			s.history.Store(&next)
		}
	}
}

// Rollout reports on which entry hosts a revision is in force.
func (h *handler) Rollout(_ context.Context, r *connect.Request[wirev1.RolloutRequest]) (*connect.Response[wirev1.RolloutResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("roll-out", err)
	}
	revision := r.Msg.Revision
	if revision == 0 {
		revision = view.Revision
	}
	now := h.service.clock()
	bound := h.service.settings.MaxKeyStaleness + stalenessMargin
	statuses, all := rollout.Decide(now, revision, *h.service.history.Load(), bound, h.service.members(now, view))
	resp := &wirev1.RolloutResponse{Revision: revision, InForce: all}
	for _, s := range statuses {
		resp.Members = append(resp.Members, memberRollout(now, s))
	}
	return connect.NewResponse(resp), nil
}

func memberRollout(now time.Time, s rollout.Status) *wirev1.MemberRollout {
	m := &wirev1.MemberRollout{
		Member: s.Name, Zone: s.Zone, Revision: s.Revision,
		InForce: s.InForce(), ByBound: s.ByBound, HeardMsAgo: noContactAge,
	}
	if !s.LastContactAt.IsZero() {
		m.HeardMsAgo = now.Sub(s.LastContactAt).Milliseconds()
	}
	return m
}

// members returns this host, the members listed at the platform and the peers
// that had contact with it, in alphabetical order.
func (s *Service) members(now time.Time, view *services.View) []rollout.Member {
	all := make(map[string]rollout.Member)
	for _, m := range s.membership.Members() {
		all[m.Name] = rollout.Member{Name: m.Name, Zone: string(m.Zone)}
	}
	for _, p := range s.peers.Status() {
		all[p.Identity.Name] = rollout.Member{Name: p.Identity.Name, Zone: string(p.Identity.Zone), Revision: p.Revision, LastContactAt: p.LastContactAt}
	}
	self := s.membership.Self()
	all[self.Name] = rollout.Member{Name: self.Name, Zone: string(self.Zone), Revision: view.Revision, LastContactAt: now}
	members := make([]rollout.Member, 0, len(all))
	for _, m := range all {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b rollout.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
