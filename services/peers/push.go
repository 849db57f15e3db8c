package peers

import (
	"context"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// runPush sends what changed to all members when the replica advanced by a
// change of this host.
func (s *Service) runPush(ctx context.Context) {
	var pushed uint64
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-s.views.C():
			if own := s.state.OwnRevision(); own > pushed && view.Revision >= own {
				s.push(ctx, view, own)
				pushed = own
			}
		}
	}
}

// push sends the parts of the latest own change to all members.
func (s *Service) push(ctx context.Context, view *services.View, own uint64) {
	for _, m := range s.membership.Members() {
		if m == s.membership.Self() {
			continue
		}
		send := func(ctx context.Context) { s.pushTo(ctx, m, view.State, own-1) }
		if s.sends.Put(ctx, send) != nil {
			return
		}
	}
}

// pushTo sends the parts that changed after a revision. When the member lacks
// earlier changes it says so, and gets those too.
func (s *Service) pushTo(ctx context.Context, to services.Identity, state *revision.State, after uint64) {
	has, err := s.pushOnce(ctx, to, state, after)
	if err == nil && has < state.Revision {
		_, err = s.pushOnce(ctx, to, state, min(has, after))
	}
	if err != nil {
		s.recordFailedCall("push state", to.Name, err)
	}
}

func (s *Service) pushOnce(ctx context.Context, to services.Identity, state *revision.State, after uint64) (uint64, error) {
	req := &wirev1.PushRequest{Head: headToWire(state.Head())}
	for _, p := range state.Parts {
		if p.Revision > after {
			req.Parts = append(req.Parts, partToWire(p))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.peerClient(to.PeerAddress).Push(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetRevision(), nil
}

// handler serves the calls of other hosts. Its methods only decode, post,
// wait and encode.
type handler struct{ service *Service }

// Exchange answers a digest with the own one.
func (h *handler) Exchange(ctx context.Context, r *connect.Request[wirev1.ExchangeRequest]) (*connect.Response[wirev1.ExchangeResponse], error) {
	if err := h.service.checkSender(r.Msg.GetDigest()); err != nil {
		h.service.metrics.CountRefusal("answer exchange", fault.ReasonOf(err))
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	q := newReceivedDigest(r.Msg.GetDigest())
	if err := h.service.messages.Put(ctx, q); err != nil {
		h.service.metrics.CountRefusal("answer exchange", fault.ReasonRingFull)
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	digest, err := q.reply.Take(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	h.service.fetchIfNewer(r.Msg.GetDigest())
	return connect.NewResponse(&wirev1.ExchangeResponse{Digest: digest}), nil
}

// Push takes the parts that a peer changed. The answer names the own revision
// when earlier changes are missing here.
func (h *handler) Push(_ context.Context, r *connect.Request[wirev1.PushRequest]) (*connect.Response[wirev1.PushResponse], error) {
	head, parts := headFromWire(r.Msg.GetHead()), partsFromWire(r.Msg.GetParts())
	have, _ := h.service.state.Head()
	if !canAdvance(have, head, parts) {
		return connect.NewResponse(&wirev1.PushResponse{Revision: have.Revision}), nil
	}
	h.service.state.ReceiveParts(head, parts)
	return connect.NewResponse(&wirev1.PushResponse{Revision: max(have.Revision, head.Revision)}), nil
}

// canAdvance reports whether a replica at have can advance to head with parts.
func canAdvance(have, head revision.Head, parts []revision.Part) bool {
	got := make(map[string]uint64, len(parts))
	for _, p := range parts {
		got[p.Name] = p.Revision
	}
	for name, rev := range head.Parts {
		if have.Parts[name] != rev && got[name] != rev {
			return have.Revision >= head.Revision
		}
	}
	return true
}

// FetchState returns the parts that the asker does not have.
func (h *handler) FetchState(_ context.Context, r *connect.Request[wirev1.FetchStateRequest]) (*connect.Response[wirev1.FetchStateResponse], error) {
	resp := &wirev1.FetchStateResponse{}
	state := h.service.state.Replica()
	if state == nil {
		return connect.NewResponse(resp), nil
	}
	have := r.Msg.GetHave().GetParts()
	resp.Head = headToWire(state.Head())
	for name, p := range state.Parts {
		if have[name] != p.Revision {
			resp.Parts = append(resp.Parts, partToWire(p))
		}
	}
	return connect.NewResponse(resp), nil
}
