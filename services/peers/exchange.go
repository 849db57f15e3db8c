package peers

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

func (s *Service) peerClient(address string) fuchsiafrontv1connect.PeerServiceClient {
	return fuchsiafrontv1connect.NewPeerServiceClient(s.client, "http://"+address)
}

// runExchange exchanges digests with one peer every exchangePeriod.
func (s *Service) runExchange(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.exchangeNext(ctx)
		}
	}
}

func (s *Service) exchangeNext(ctx context.Context) {
	reply := ring.Reply[exchangeCall]()
	if s.messages.Put(ctx, nextCallRequest{reply}) != nil {
		return
	}
	c, err := reply.Take(ctx)
	if err != nil || c.address == "" {
		return
	}
	s.exchange(ctx, c)
}

// exchange sends a digest to one peer and merges the reply. askedAt is taken
// before the request is sent, because it has to be a lower bound of the time at
// which the reply was composed.
func (s *Service) exchange(ctx context.Context, c exchangeCall) {
	askedAt := s.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.peerClient(c.address).Exchange(callCtx, connect.NewRequest(&wirev1.ExchangeRequest{Digest: c.digest}))
	if err != nil {
		s.recordFailedCall("exchange digests", c.address, err)
		return
	}
	digest := resp.Msg.GetDigest()
	if err := s.checkSender(digest); err != nil {
		s.recordFailedCall("exchange digests", c.address, err)
		return
	}
	if s.messages.Put(ctx, exchangeReply{digest: digest, askedAt: askedAt}) != nil {
		return
	}
	s.fetchIfNewer(digest)
}

// checkSender refuses a digest without a sender, which would add a member that
// never reports on itself, and a digest that names this host as its sender.
func (s *Service) checkSender(d *wirev1.Digest) error {
	from := identityFromWire(d.GetMember())
	if from.Name == "" || from.PeerAddress == "" || from.Incarnation == 0 {
		return fault.New(&fault.Invalid, fault.ReasonMalformed, "exchange digests", from.Name, "the sender of the digest has name %q, peer address %q and incarnation %d; want all three", from.Name, from.PeerAddress, from.Incarnation)
	}
	if memberOf(from) == memberOf(s.membership.Self()) {
		return fault.New(&fault.Invalid, fault.ReasonMalformed, "exchange digests", from.PeerAddress, "the digest names this host, %s, as its sender", from.Name)
	}
	return nil
}

// fetchIfNewer requests a fetch of the peer's state if its revision is higher.
func (s *Service) fetchIfNewer(d *wirev1.Digest) {
	if head, _ := s.state.Head(); d.GetRevision() > head.Revision {
		s.fetches.OfferLatest(identityFromWire(d.GetMember()))
	}
}

func (s *Service) recordFailedCall(step, peer string, err error) {
	s.metrics.CountRetry(step, fault.ReasonPeerUnreachable)
	s.log.Debug().Err(fault.New(&fault.NotRun, fault.ReasonPeerUnreachable, step, peer, "%w", err)).Msg("call to peer failed; later exchanges bring both hosts up to date")
}

// runFetch fetches the state of peers with a higher revision. It is a duty of
// its own, so that a large state does not delay the exchange.
func (s *Service) runFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-s.fetches.C():
			s.fetch(ctx, from)
		}
	}
}

func (s *Service) fetch(ctx context.Context, from services.Identity) {
	ownHead, _ := s.state.Head()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := s.peerClient(from.PeerAddress).FetchState(ctx, connect.NewRequest(&wirev1.FetchStateRequest{Have: headToWire(ownHead)}))
	if err != nil {
		s.recordFailedCall("fetch state", from.Name, err)
		return
	}
	s.state.ReceiveParts(headFromWire(resp.Msg.GetHead()), partsFromWire(resp.Msg.GetParts()))
}

// runSend carries out sends. sendDuties duties run it on the same ring.
func (s *Service) runSend(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-s.sends.C():
			send(ctx)
		}
	}
}

// makeCalls makes all calls through the send duties and returns once each was
// answered or failed.
func (s *Service) makeCalls(ctx context.Context, calls []exchangeCall) error {
	done := ring.New[struct{}]("peers.told", max(1, len(calls)), nil)
	for _, c := range calls {
		send := func(ctx context.Context) {
			s.exchange(ctx, c)
			done.Offer(struct{}{})
		}
		if err := s.sends.Put(ctx, send); err != nil {
			return err
		}
	}
	for range calls {
		if _, err := done.Take(ctx); err != nil {
			return err
		}
	}
	return nil
}
