package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// pollInterval is the time between two requests for the state of a roll-out or
// wave that is being watched.
const pollInterval = 250 * time.Millisecond

type rolloutCommand struct {
	Revision uint64 `arg:"--revision" default:"0" help:"revision to look up; 0 means the one in force on the answering entry host" placeholder:"N" unit:"revision" range:"0 or more"`
	Watch    bool   `arg:"--watch" help:"wait until the revision is in force on all entry hosts"`
}

func (*rolloutCommand) check(*settings.Checker) {}

func (c *rolloutCommand) run(ctx context.Context, s *session) error {
	resp, err := fetchRollout(ctx, s, c.Revision)
	if err != nil {
		return err
	}
	if c.Watch && !resp.InForce {
		if resp, err = watchRollout(ctx, s, resp.Revision); err != nil {
			return err
		}
	}
	return s.out.print(resp, func(r printRow) { printRollout(r, resp) })
}

func fetchRollout(ctx context.Context, s *session, revision uint64) (*wirev1.RolloutResponse, error) {
	return call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.Rollout, &wirev1.RolloutRequest{Revision: revision})
}

// watchRollout waits until a revision is in force on all entry hosts.
func watchRollout(ctx context.Context, s *session, revision uint64) (*wirev1.RolloutResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	var pending []string
	for {
		resp, err := fetchRollout(ctx, s, revision)
		if err != nil {
			return nil, err
		}
		if resp.InForce {
			return resp, nil
		}
		pending = membersNotInForce(resp)
		s.out.printProgress("revision %d: in force on %d of %d entry hosts; waiting for %s", revision,
			len(resp.Members)-len(pending), len(resp.Members), strings.Join(pending, ", "))
		select {
		case <-ctx.Done():
			return nil, newExitError(exitFailed, "wait for roll-out", "revision %d was accepted and is not yet in force on %s after %v; \"rollout --revision %d --watch\" continues to wait",
				revision, strings.Join(pending, ", "), s.settings.Timeout, revision)
		case <-time.After(pollInterval):
		}
	}
}

func membersNotInForce(resp *wirev1.RolloutResponse) []string {
	var names []string
	for _, m := range resp.Members {
		if !m.InForce {
			names = append(names, m.Member)
		}
	}
	return names
}

// waitInForce waits until an accepted change is in force on all entry hosts, and
// prints the progress.
func waitInForce(ctx context.Context, s *session, revision uint64) error {
	_, err := watchRollout(ctx, s, revision)
	if err == nil {
		s.out.printProgress("revision %d: in force on all entry hosts", revision)
	}
	return err
}

func printRollout(r printRow, resp *wirev1.RolloutResponse) {
	r("ENTRY HOST", "ZONE", "REVISION", "IN FORCE", "LAST HEARD")
	for _, m := range resp.Members {
		r(m.Member, m.Zone, m.Revision, formatInForce(m), formatLastContact(m.HeardMsAgo))
	}
	state := "not in force everywhere"
	if resp.InForce {
		state = "in force"
	}
	r(fmt.Sprintf("revision %d: %s", resp.Revision, state))
}

func formatInForce(m *wirev1.MemberRollout) string {
	switch {
	case m.ByBound:
		return "no keyed work"
	case m.InForce:
		return "yes"
	}
	return "no"
}

func formatLastContact(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
