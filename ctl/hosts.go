package ctl

import (
	"context"

	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

type hostCommands struct {
	List   *hostListCommand   `arg:"subcommand:list" help:"list hosts with their pool and step"`
	Drain  *hostDrainCommand  `arg:"subcommand:drain" help:"take a host out of service"`
	Return *hostReturnCommand `arg:"subcommand:return" help:"put a host back into service"`
	Move   *hostMoveCommand   `arg:"subcommand:move" help:"move a host to another pool"`
	Forget *hostForgetCommand `arg:"subcommand:forget" help:"state that an entry host has ended"`
}

type hostListCommand struct {
	Pool string `arg:"--pool" help:"pool whose hosts to list; all when not given" placeholder:"POOL" unit:"name" range:"the name of a pool, or empty"`
}

type hostDrainCommand struct {
	Host  string `arg:"positional" help:"host to take out of service" placeholder:"HOST" unit:"name" range:"the name of a host"`
	Cause string `arg:"--cause" default:"drain" help:"what happens to the host" placeholder:"CAUSE" unit:"name" range:"drain or reboot"`
}

type hostReturnCommand struct {
	Host string `arg:"positional" help:"host to put back into service" placeholder:"HOST" unit:"name" range:"the name of a host"`
}

type hostMoveCommand struct {
	Host   string `arg:"positional" help:"host to move" placeholder:"HOST" unit:"name" range:"the name of a host"`
	ToPool string `arg:"positional" help:"pool that gets the host" placeholder:"POOL" unit:"name" range:"the name of a pool"`
}

type hostForgetCommand struct {
	Member string `arg:"positional" help:"entry host that has ended; the statement must be true, because others use its rights and trust their keys without it" placeholder:"ENTRY-HOST" unit:"name" range:"the name of an entry host"`
}

func (*hostListCommand) check(*settings.Checker)       {}
func (c *hostReturnCommand) check(k *settings.Checker) { requireArgument(k, "HOST", c.Host) }
func (c *hostForgetCommand) check(k *settings.Checker) { requireArgument(k, "ENTRY-HOST", c.Member) }

func (c *hostDrainCommand) check(k *settings.Checker) {
	requireArgument(k, "HOST", c.Host)
	if c.Cause != "drain" && c.Cause != "reboot" {
		k.Reject("--cause", c.Cause)
	}
}

func (c *hostMoveCommand) check(k *settings.Checker) {
	requireArgument(k, "HOST", c.Host)
	requireArgument(k, "POOL", c.ToPool)
}

func (c *hostListCommand) run(ctx context.Context, s *session) error {
	resp, err := listHosts(ctx, s, c.Pool)
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) { printHosts(r, resp.Hosts...) })
}

func listHosts(ctx context.Context, s *session, pool string) (*wirev1.ListHostStatusResponse, error) {
	return call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListHostStatus, &wirev1.ListHostStatusRequest{Pool: pool})
}

func printHosts(r printRow, hosts ...*wirev1.HostStatus) {
	r("HOST", "KIND", "ZONE", "RACK", "PHASE", "POOL", "STEP", "CAUSE", "WAVE")
	for _, h := range hosts {
		r(h.Name, dashIfEmpty(h.Kind), dashIfEmpty(h.Zone), dashIfEmpty(h.Rack), dashIfEmpty(h.Phase), dashIfEmpty(h.Pool), dashIfEmpty(h.Step), dashIfEmpty(h.Cause), dashIfEmpty(h.Wave))
	}
}

func (c *hostDrainCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.Drain, &wirev1.DrainRequest{ChangeId: s.changeID, Host: c.Host, Cause: c.Cause})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) { printHosts(r, resp.Host) })
}

func (c *hostReturnCommand) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.Return, &wirev1.ReturnRequest{ChangeId: s.changeID, Host: c.Host})
	if err != nil {
		return err
	}
	return s.out.printLine("host %s returns to service", c.Host)
}

func (c *hostMoveCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.Move, &wirev1.MoveRequest{ChangeId: s.changeID, Host: c.Host, ToPool: c.ToPool})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) { printHosts(r, resp.Host) })
}

func (c *hostForgetCommand) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.ForgetHost, &wirev1.ForgetHostRequest{ChangeId: s.changeID, Member: c.Member})
	if err != nil {
		return err
	}
	return s.out.printLine("entry host %s counts as ended", c.Member)
}

type poolCommands struct {
	List *poolListCommand `arg:"subcommand:list" help:"list pools with their hosts and budget"`
}

type poolListCommand struct{}

// listedPool is one row of pool list.
type listedPool struct {
	Pool           string `json:"pool"`
	Kind           string `json:"kind"`
	Spare          bool   `json:"spare"`
	Hosts          int    `json:"hosts"`
	Out            int    `json:"out"`
	MaxUnavailable int    `json:"maxUnavailable"`
}

func (*poolListCommand) check(*settings.Checker) {}

func (*poolListCommand) run(ctx context.Context, s *session) error {
	resp, err := getDocument(ctx, s)
	if err != nil {
		return err
	}
	d, err := decodeDocument(resp)
	if err != nil {
		return err
	}
	hosts, err := listHosts(ctx, s, "")
	if err != nil {
		return err
	}
	pools := []listedPool{}
	for _, p := range d.Pools() {
		listed := listedPool{Pool: p.Name, Kind: string(p.Kind), Spare: p.Spare, MaxUnavailable: p.MaxUnavailable}
		for _, h := range hosts.Hosts {
			if h.Pool == p.Name {
				listed.Hosts++
				listed.Out += outOfServiceCount(h)
			}
		}
		pools = append(pools, listed)
	}
	return s.out.print(pools, func(r printRow) {
		r("POOL", "KIND", "SPARE", "HOSTS", "OUT", "MAX OUT")
		for _, p := range pools {
			r(p.Pool, p.Kind, p.Spare, p.Hosts, p.Out, p.MaxUnavailable)
		}
	})
}

// outOfServiceCount counts a host that is in the ledger, failed or missing.
func outOfServiceCount(h *wirev1.HostStatus) int {
	if h.Step != "" || h.Phase == "failed" || h.Phase == "missing" {
		return 1
	}
	return 0
}
