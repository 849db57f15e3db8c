package peers

import (
	"context"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// runPush pushes the changed parts to all members when the replica has advanced
// by a change of this host.
func (s *Service) runPush(ctx context.Context) {
	var pushedRevision uint64
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-s.views.C():
			if ownRevision := s.state.OwnRevision(); ownRevision > pushedRevision && view.Revision >= ownRevision {
				s.push(ctx, view, ownRevision)
				pushedRevision = ownRevision
			}
		}
	}
}

// push sends the parts of this host's latest change to all members.
func (s *Service) push(ctx context.Context, view *services.View, ownRevision uint64) {
	for _, m := range s.membership.Members() {
		if m == s.membership.Self() {
			continue
		}
		send := func(ctx context.Context) { s.pushTo(ctx, m, view.State, ownRevision-1) }
		if s.sends.Put(ctx, send) != nil {
			return
		}
	}
}

// pushTo sends the parts that changed after a revision. If the member's reply
// shows that it lacks earlier changes, it sends those too.
func (s *Service) pushTo(ctx context.Context, to services.Identity, state *revision.State, after uint64) {
	peerRevision, err := s.pushOnce(ctx, to, state, after)
	if err == nil && peerRevision < state.Revision {
		_, err = s.pushOnce(ctx, to, state, min(peerRevision, after))
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

// handler serves the calls of other hosts. Its methods only decode the request,
// post a message, wait and encode the reply.
type handler struct{ service *Service }

// Exchange answers a peer's digest with this host's digest.
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

// Push receives the parts that a peer changed. If this host lacks earlier
// changes, the reply holds this host's own revision.
func (h *handler) Push(_ context.Context, r *connect.Request[wirev1.PushRequest]) (*connect.Response[wirev1.PushResponse], error) {
	head, parts := headFromWire(r.Msg.GetHead()), partsFromWire(r.Msg.GetParts())
	ownHead, _ := h.service.state.Head()
	if !canAdvance(ownHead, head, parts) {
		return connect.NewResponse(&wirev1.PushResponse{Revision: ownHead.Revision}), nil
	}
	h.service.state.ReceiveParts(head, parts)
	return connect.NewResponse(&wirev1.PushResponse{Revision: max(ownHead.Revision, head.Revision)}), nil
}

// canAdvance reports whether a replica at ownHead can advance to head with the
// pushed parts, or is already at or above it.
func canAdvance(ownHead, head revision.Head, parts []revision.Part) bool {
	pushed := make(map[string]uint64, len(parts))
	for _, p := range parts {
		pushed[p.Name] = p.Revision
	}
	for name, rev := range head.Parts {
		if ownHead.Parts[name] != rev && pushed[name] != rev {
			return ownHead.Revision >= head.Revision
		}
	}
	return true
}

// FetchState returns the parts that the caller lacks or has at another revision.
func (h *handler) FetchState(_ context.Context, r *connect.Request[wirev1.FetchStateRequest]) (*connect.Response[wirev1.FetchStateResponse], error) {
	resp := &wirev1.FetchStateResponse{}
	state := h.service.state.Replica()
	if state == nil {
		return connect.NewResponse(resp), nil
	}
	callerParts := r.Msg.GetHave().GetParts()
	resp.Head = headToWire(state.Head())
	for name, p := range state.Parts {
		if callerParts[name] != p.Revision {
			resp.Parts = append(resp.Parts, partToWire(p))
		}
	}
	return connect.NewResponse(resp), nil
}
