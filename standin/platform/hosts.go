package platform

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/standin"
	"fuchsiafront.example/fuchsiafront/standin/faults"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

type hostHandler struct{ s *Service }

func (h hostHandler) ListHosts(context.Context, *connect.Request[wirev1.ListHostsRequest]) (*connect.Response[wirev1.ListHostsResponse], error) {
	hosts := h.s.fleet.ListHosts(h.s.settings.HostListLag)
	resp := &wirev1.ListHostsResponse{Hosts: make([]*wirev1.Host, len(hosts))}
	for i, host := range hosts {
		resp.Hosts[i] = hostToWire(host)
	}
	return connect.NewResponse(resp), nil
}

func hostToWire(h fleet.Host) *wirev1.Host {
	return &wirev1.Host{
		Name: h.Name, Kind: string(h.Kind), Zone: string(h.Zone), Rack: h.Rack,
		Address: h.Address, Phase: string(h.Phase), Slots: int32(h.Slots),
		Capacity: &wirev1.Resources{
			MilliCpu: h.Capacity.MilliCPU, MemoryBytes: h.Capacity.MemoryBytes, Accelerators: h.Capacity.Accelerators,
		},
	}
}

func (h hostHandler) DrainHost(_ context.Context, r *connect.Request[wirev1.DrainHostRequest]) (*connect.Response[wirev1.DrainHostResponse], error) {
	return connect.NewResponse(&wirev1.DrainHostResponse{}), h.operate(standin.OperationDrain, r.Msg.Host)
}

func (h hostHandler) RebootHost(_ context.Context, r *connect.Request[wirev1.RebootHostRequest]) (*connect.Response[wirev1.RebootHostResponse], error) {
	return connect.NewResponse(&wirev1.RebootHostResponse{}), h.operate(standin.OperationReboot, r.Msg.Host)
}

func (h hostHandler) ReturnHost(_ context.Context, r *connect.Request[wirev1.ReturnHostRequest]) (*connect.Response[wirev1.ReturnHostResponse], error) {
	return connect.NewResponse(&wirev1.ReturnHostResponse{}), h.operate(standin.OperationReturn, r.Msg.Host)
}

func (h hostHandler) operate(op standin.Operation, host string) error {
	err := h.s.fleet.Operate(op, host)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, standin.ErrBusy):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeNotFound, err)
}

type controlHandler struct{ s *Service }

// SetFaults applies faults to one part of the platform, to all of it, or to a
// backend server or worker.
func (h controlHandler) SetFaults(_ context.Context, r *connect.Request[wirev1.SetFaultsRequest]) (*connect.Response[wirev1.SetFaultsResponse], error) {
	set := faults.FromWire(r.Msg.Faults)
	target := r.Msg.Faults.GetTarget()
	if injector, ok := h.s.faults[target]; ok {
		injector.Apply(set)
		return connect.NewResponse(&wirev1.SetFaultsResponse{}), nil
	}
	if target == "" {
		for _, injector := range h.s.faults {
			injector.Apply(set)
		}
		return connect.NewResponse(&wirev1.SetFaultsResponse{}), nil
	}
	if err := h.s.fleet.SetFaults(target, set); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&wirev1.SetFaultsResponse{}), nil
}

// ListExecutions returns what backend servers and workers really ran.
func (h controlHandler) ListExecutions(ctx context.Context, _ *connect.Request[wirev1.ListExecutionsRequest]) (*connect.Response[wirev1.ListExecutionsResponse], error) {
	resp := &wirev1.ListExecutionsResponse{PeakByTeam: map[string]int32{}}
	for _, e := range h.s.fleet.Executions() {
		resp.Executions = append(resp.Executions, &wirev1.Execution{
			RequestId: e.RequestID, Team: e.Team, Queue: e.Queue, Server: e.Server,
			StartUnixUs: e.Start.UnixMicro(), EndUnixUs: e.End.UnixMicro(), Job: e.Job,
		})
	}
	for team, peak := range h.s.fleet.PeakByTeam() {
		resp.PeakByTeam[team] = int32(peak)
	}
	_, err := runOnTable(ctx, h.s, func(c *contents) struct{} {
		resp.TableReads, resp.TableWrites = c.table.readCount, c.table.writeCount
		return struct{}{}
	})
	return connect.NewResponse(resp), err
}
