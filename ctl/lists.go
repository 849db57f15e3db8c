package ctl

import (
	"context"
	"strconv"

	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

type queueCommands struct {
	List *queueListCommand `arg:"subcommand:list" help:"list queues with their work on the answering entry host"`
}

type queueListCommand struct{}

type jobCommands struct {
	List *jobListCommand `arg:"subcommand:list" help:"list jobs"`
}

type jobListCommand struct {
	Queue string `arg:"--queue" help:"queue whose jobs to list; all when not given" placeholder:"QUEUE" unit:"name" range:"the name of a queue, or empty"`
	Limit int    `arg:"--limit" default:"100" help:"largest number of jobs to list" placeholder:"N" unit:"jobs" range:"1 to 1000"`
}

type teamCommands struct {
	List *teamListCommand `arg:"subcommand:list" help:"list teams with their rights and running work"`
}

type teamListCommand struct{}

type refusalsCommand struct{}

func (*queueListCommand) check(*settings.Checker) {}
func (*teamListCommand) check(*settings.Checker)  {}
func (*refusalsCommand) check(*settings.Checker)  {}

func (c *jobListCommand) check(k *settings.Checker) {
	if c.Limit < 1 || c.Limit > 1000 {
		k.Reject("--limit", strconv.Itoa(c.Limit))
	}
}

func (*queueListCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListQueues, &wirev1.ListQueuesRequest{})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) {
		r("QUEUE", "TEAM", "POOL", "CLASS", "WAITING", "RUNNING")
		for _, q := range resp.Queues {
			r(q.Queue, q.Team, q.Pool, q.Class, q.Waiting, q.Running)
		}
	})
}

func (c *jobListCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListJobs, &wirev1.ListJobsRequest{Queue: c.Queue, Limit: int32(c.Limit)})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) {
		r("JOB", "TEAM", "QUEUE", "STATE", "WORKER", "ATTEMPT", "REASON")
		for _, j := range resp.Jobs {
			r(j.Id, j.Team, j.Queue, j.State, dashIfEmpty(j.Worker), j.Attempt, dashIfEmpty(j.Reason))
		}
	})
}

func (*teamListCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListTeams, &wirev1.ListTeamsRequest{})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) {
		r("TEAM", "SHARE", "LIMIT", "HELD HERE", "USED HERE", "HELD", "RUNNING", "KEYS")
		for _, t := range resp.Teams {
			r(t.Team, t.Share, t.Limit, t.Held, t.Used, t.FleetHeld, t.FleetRunning, len(t.KeyIds))
		}
	})
}

func (*refusalsCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListRefusals, &wirev1.ListRefusalsRequest{})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) {
		r("COUNT", "REASON", "STEP")
		for _, c := range resp.Refusals {
			r(c.Count, c.Reason, c.Step)
		}
	})
}
