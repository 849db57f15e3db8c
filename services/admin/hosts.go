package admin

import (
	"cmp"
	"context"
	"slices"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// phaseMissing is the phase of a host that is assigned to a pool but is not in
// the platform's host list.
const phaseMissing = "missing"

// ListHostStatus returns the hosts of a pool, or all hosts if no pool is named.
func (h *handler) ListHostStatus(_ context.Context, r *connect.Request[wirev1.ListHostStatusRequest]) (*connect.Response[wirev1.ListHostStatusResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("list hosts", err)
	}
	resp := &wirev1.ListHostStatusResponse{}
	for _, status := range h.service.hostStatuses(view) {
		if r.Msg.Pool == "" || r.Msg.Pool == status.Pool {
			resp.Hosts = append(resp.Hosts, status)
		}
	}
	return connect.NewResponse(resp), nil
}

func (s *Service) hostStatuses(view *services.View) []*wirev1.HostStatus {
	var all []*wirev1.HostStatus
	listed := make(map[string]bool)
	for _, host := range s.hosts.Hosts().Hosts {
		listed[host.Name] = true
		all = append(all, withAssignment(view, &wirev1.HostStatus{
			Name: host.Name, Kind: string(host.Kind), Zone: string(host.Zone), Rack: host.Rack, Phase: string(host.Phase),
		}))
	}
	for name := range view.Assignments {
		if !listed[name] {
			all = append(all, withAssignment(view, &wirev1.HostStatus{Name: name, Phase: phaseMissing}))
		}
	}
	slices.SortFunc(all, func(a, b *wirev1.HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// withAssignment adds the pool and the ledger entry that the shared state holds
// for a host.
func withAssignment(view *services.View, s *wirev1.HostStatus) *wirev1.HostStatus {
	s.Pool = view.Assignments[s.Name]
	out, ok := view.Ledger.Entries[s.Name]
	if !ok {
		return s
	}
	s.Step, s.Cause, s.Wave = string(out.Step), string(out.Cause), out.Wave
	s.Zone, s.Rack = cmp.Or(s.Zone, string(out.Zone)), cmp.Or(s.Rack, out.Rack)
	return s
}

func entryStatus(out budget.LedgerEntry) *wirev1.HostStatus {
	return &wirev1.HostStatus{
		Name: out.Host, Zone: string(out.Zone), Rack: out.Rack, Pool: out.Pool,
		Step: string(out.Step), Cause: string(out.Cause), Wave: out.Wave,
	}
}

// checkTarget checks the change identifier and the target of an operation.
func checkTarget(step, changeID, field, host string) error {
	if changeID == "" {
		return malformed(step, "change_id", "", "an identifier chosen by the submitter")
	}
	if host == "" {
		return malformed(step, field, "", "the name of a host")
	}
	return nil
}

// Drain takes a host out of service.
func (h *handler) Drain(ctx context.Context, r *connect.Request[wirev1.DrainRequest]) (*connect.Response[wirev1.DrainResponse], error) {
	const step = "drain host"
	o, _, err := h.authenticateForHostChange(r.Header(), step, r.Msg.Host)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	cause := budget.Cause(cmp.Or(r.Msg.Cause, string(budget.CauseDrain)))
	if cause != budget.CauseDrain && cause != budget.CauseReboot {
		return nil, h.refuse(step, malformed(step, "cause", r.Msg.Cause, "drain or reboot"))
	}
	if err := checkTarget(step, r.Msg.ChangeId, "host", r.Msg.Host); err != nil {
		return nil, h.refuse(step, err)
	}
	out, err := h.service.maintenance.Drain(ctx, r.Msg.ChangeId, r.Msg.Host, cause)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	h.logHostOperation(step, o.Name, r.Msg.Host, r.Msg.ChangeId)
	return connect.NewResponse(&wirev1.DrainResponse{Host: entryStatus(out)}), nil
}

// Return returns a host to service.
func (h *handler) Return(ctx context.Context, r *connect.Request[wirev1.ReturnRequest]) (*connect.Response[wirev1.ReturnResponse], error) {
	const step = "return host"
	o, _, err := h.authenticateForHostChange(r.Header(), step, r.Msg.Host)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkTarget(step, r.Msg.ChangeId, "host", r.Msg.Host); err != nil {
		return nil, h.refuse(step, err)
	}
	if err := h.service.maintenance.Return(ctx, r.Msg.ChangeId, r.Msg.Host); err != nil {
		return nil, h.refuse(step, err)
	}
	h.logHostOperation(step, o.Name, r.Msg.Host, r.Msg.ChangeId)
	return connect.NewResponse(&wirev1.ReturnResponse{}), nil
}

// Move assigns a host to another pool.
func (h *handler) Move(ctx context.Context, r *connect.Request[wirev1.MoveRequest]) (*connect.Response[wirev1.MoveResponse], error) {
	const step = "move host"
	o, view, err := h.authenticateForHostChange(r.Header(), step, r.Msg.Host)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkTarget(step, r.Msg.ChangeId, "host", r.Msg.Host); err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkPool(view, step, "to_pool", r.Msg.ToPool); err != nil {
		return nil, h.refuse(step, err)
	}
	out, err := h.service.maintenance.Move(ctx, r.Msg.ChangeId, r.Msg.Host, r.Msg.ToPool)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	h.logHostOperation(step, o.Name, r.Msg.Host, r.Msg.ChangeId)
	return connect.NewResponse(&wirev1.MoveResponse{Host: entryStatus(out)}), nil
}

func checkPool(view *services.View, step, field, pool string) error {
	if _, ok := view.Document.Pool(pool); !ok {
		return malformed(step, field, pool, "the name of a pool that a section declares")
	}
	return nil
}

// ForgetHost declares on behalf of an operator that an entry host has ended. It
// does not require fresh keys, because a crashed entry host may be what keeps
// the replicas of all other hosts from being fresh.
func (h *handler) ForgetHost(ctx context.Context, r *connect.Request[wirev1.ForgetHostRequest]) (*connect.Response[wirev1.ForgetHostResponse], error) {
	const step = "forget entry host"
	o, _, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkMayChangeHosts(o, step, r.Msg.Member); err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkTarget(step, r.Msg.ChangeId, "member", r.Msg.Member); err != nil {
		return nil, h.refuse(step, err)
	}
	if err := h.service.declareEnded(ctx, step, r.Msg); err != nil {
		return nil, h.refuse(step, err)
	}
	h.logHostOperation(step, o.Name, r.Msg.Member, r.Msg.ChangeId)
	return connect.NewResponse(&wirev1.ForgetHostResponse{}), nil
}

func (s *Service) declareEnded(ctx context.Context, step string, msg *wirev1.ForgetHostRequest) error {
	if msg.Member == s.membership.Self().Name {
		return malformed(step, "member", msg.Member, "an entry host other than the one that answers the call")
	}
	ender, ok := s.membership.(services.MemberEnder)
	if !ok {
		return fault.New(&fault.NotRun, fault.ReasonUnsupported, step, msg.Member, "service %s cannot declare a member ended", services.NameMembership)
	}
	return ender.DeclareEnded(ctx, msg.ChangeId, msg.Member)
}

func (h *handler) logHostOperation(step, operator, host, changeID string) {
	h.service.log.Info().Str("step", step).Str("operator", operator).Str("peer", host).Str("change", changeID).Msg("host operation accepted")
}
