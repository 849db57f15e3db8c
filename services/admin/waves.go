package admin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// defaultStopReason is recorded when an operator names none.
const defaultStopReason = "stopped by an operator"

// StartWave starts a maintenance wave over the hosts of a pool. The wave's
// identifier makes a repeat harmless.
func (h *handler) StartWave(ctx context.Context, r *connect.Request[wirev1.StartWaveRequest]) (*connect.Response[wirev1.StartWaveResponse], error) {
	const step = "start wave"
	_, view, err := h.authenticateForHostChange(r.Header(), step, r.Msg.Id)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkWave(view, step, r.Msg); err != nil {
		return nil, h.refuse(step, err)
	}
	wave, err := h.service.maintenance.StartWave(ctx, budget.Wave{
		ID: r.Msg.Id, Pool: r.Msg.Pool, MaxParallel: int(r.Msg.MaxParallel), MaxFailed: int(r.Msg.MaxFailed),
	})
	if err != nil {
		return nil, h.refuse(step, err)
	}
	return connect.NewResponse(&wirev1.StartWaveResponse{Wave: waveStatus(view, wave)}), nil
}

func checkWave(view *services.View, step string, msg *wirev1.StartWaveRequest) error {
	if !document.ValidName(msg.Id) {
		return malformed(step, "id", msg.Id, "letters, digits, '-' or '_'")
	}
	if msg.MaxParallel < 1 {
		return malformed(step, "max_parallel", strconv.Itoa(int(msg.MaxParallel)), "at least 1")
	}
	if msg.MaxFailed < 1 {
		return malformed(step, "max_failed", strconv.Itoa(int(msg.MaxFailed)), "at least 1")
	}
	return checkPool(view, step, "pool", msg.Pool)
}

// StopWave stops a wave; hosts that are out return to service.
func (h *handler) StopWave(ctx context.Context, r *connect.Request[wirev1.StopWaveRequest]) (*connect.Response[wirev1.StopWaveResponse], error) {
	const step = "stop wave"
	o, _, err := h.authenticateForHostChange(r.Header(), step, r.Msg.Id)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	if err := checkTarget(step, r.Msg.ChangeId, "id", r.Msg.Id); err != nil {
		return nil, h.refuse(step, err)
	}
	reason := cmp.Or(r.Msg.Reason, defaultStopReason+" "+o.Name)
	if err := h.service.maintenance.StopWave(ctx, r.Msg.ChangeId, r.Msg.Id, reason); err != nil {
		return nil, h.refuse(step, err)
	}
	return connect.NewResponse(&wirev1.StopWaveResponse{}), nil
}

// ListWaves returns all waves that the ledger holds.
func (h *handler) ListWaves(_ context.Context, r *connect.Request[wirev1.ListWavesRequest]) (*connect.Response[wirev1.ListWavesResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("list waves", err)
	}
	resp := &wirev1.ListWavesResponse{}
	for _, id := range slices.Sorted(maps.Keys(view.Ledger.Waves)) {
		resp.Waves = append(resp.Waves, waveStatus(view, view.Ledger.Waves[id]))
	}
	return connect.NewResponse(resp), nil
}

func waveStatus(view *services.View, w budget.Wave) *wirev1.WaveStatus {
	status := &wirev1.WaveStatus{
		Id: w.ID, Pool: w.Pool, Pending: w.Pending, Done: w.Done, Failed: w.Failed,
		MaxParallel: int32(w.MaxParallel), MaxFailed: int32(w.MaxFailed), Stopped: w.StopReason,
	}
	for _, host := range slices.Sorted(maps.Keys(view.Ledger.Entries)) {
		if view.Ledger.Entries[host].Wave == w.ID {
			status.Out = append(status.Out, host)
		}
	}
	return status
}
