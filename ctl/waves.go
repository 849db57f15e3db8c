package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/settings"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

type waveCommands struct {
	Start *waveStartCommand `arg:"subcommand:start" help:"start a maintenance wave over the hosts of a pool"`
	Stop  *waveStopCommand  `arg:"subcommand:stop" help:"stop a wave"`
	Watch *waveWatchCommand `arg:"subcommand:watch" help:"watch a wave until it has ended; without an identifier list all waves"`
}

type waveStartCommand struct {
	Pool        string `arg:"positional" help:"pool whose hosts are maintained" placeholder:"POOL" unit:"name" range:"the name of a pool"`
	ID          string `arg:"--id" help:"identifier of the wave, which makes a repeat harmless; made up when not given" placeholder:"ID" unit:"identifier" range:"1 to 63 letters, digits, '-' or '_', or empty"`
	MaxParallel int    `arg:"--max-parallel" default:"1" help:"hosts of the wave that are out at once" placeholder:"N" unit:"hosts" range:"1 to 10000"`
	MaxFailed   int    `arg:"--max-failed" default:"1" help:"failures at which the wave stops" placeholder:"N" unit:"hosts" range:"1 to 10000"`
}

type waveStopCommand struct {
	ID     string `arg:"positional" help:"wave to stop" placeholder:"WAVE" unit:"identifier" range:"the identifier of a wave"`
	Reason string `arg:"--reason" help:"reason to record" placeholder:"TEXT" unit:"text" range:"any text"`
}

type waveWatchCommand struct {
	ID string `arg:"positional" help:"wave to watch" placeholder:"WAVE" unit:"identifier" range:"the identifier of a wave, or none"`
}

// maxWaveBound bounds the numbers of a wave; the design size has 4,900 hosts.
const maxWaveBound = 10000

func (*waveWatchCommand) check(*settings.Checker)    {}
func (c *waveStopCommand) check(k *settings.Checker) { requireArgument(k, "WAVE", c.ID) }

func (c *waveStartCommand) check(k *settings.Checker) {
	requireArgument(k, "POOL", c.Pool)
	if c.ID != "" && !document.ValidName(c.ID) {
		k.Reject("--id", c.ID)
	}
	if c.MaxParallel < 1 || c.MaxParallel > maxWaveBound {
		k.Reject("--max-parallel", fmt.Sprint(c.MaxParallel))
	}
	if c.MaxFailed < 1 || c.MaxFailed > maxWaveBound {
		k.Reject("--max-failed", fmt.Sprint(c.MaxFailed))
	}
}

func (c *waveStartCommand) run(ctx context.Context, s *session) error {
	resp, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.StartWave, &wirev1.StartWaveRequest{
		Id: cmp.Or(c.ID, s.changeID), Pool: c.Pool, MaxParallel: int32(c.MaxParallel), MaxFailed: int32(c.MaxFailed),
	})
	if err != nil {
		return err
	}
	return s.out.print(resp, func(r printRow) { printWaves(r, resp.Wave) })
}

func (c *waveStopCommand) run(ctx context.Context, s *session) error {
	_, err := call(ctx, s, changeCall, fuchsiafrontv1connect.AdminServiceClient.StopWave, &wirev1.StopWaveRequest{ChangeId: s.changeID, Id: c.ID, Reason: c.Reason})
	if err != nil {
		return err
	}
	return s.out.printLine("wave %s stops", c.ID)
}

// run watches without a bound on time: a wave takes hours.
func (c *waveWatchCommand) run(ctx context.Context, s *session) error {
	for {
		resp, err := call(ctx, s, readCall, fuchsiafrontv1connect.AdminServiceClient.ListWaves, &wirev1.ListWavesRequest{})
		if err != nil {
			return err
		}
		if c.ID == "" {
			return s.out.print(resp, func(r printRow) { printWaves(r, resp.Waves...) })
		}
		i := slices.IndexFunc(resp.Waves, func(w *wirev1.WaveStatus) bool { return w.Id == c.ID })
		if i < 0 {
			return newExitError(exitFailed, "watch wave", "there is no wave %q; want one that \"wave watch\" lists", c.ID)
		}
		wave := resp.Waves[i]
		s.out.printProgress("wave %s: %d waiting, %d out, %d done, %d failed", wave.Id, len(wave.Pending), len(wave.Out), len(wave.Done), len(wave.Failed))
		if waveHasEnded(wave) {
			return printEndedWave(s, wave)
		}
		select {
		case <-ctx.Done():
			return newExitError(exitFailed, "watch wave", "stopped watching wave %q, which goes on: %w", c.ID, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func waveHasEnded(w *wirev1.WaveStatus) bool {
	return len(w.Out) == 0 && (w.Stopped != "" || len(w.Pending) == 0)
}

func printEndedWave(s *session, w *wirev1.WaveStatus) error {
	if err := s.out.print(w, func(r printRow) { printWaves(r, w) }); err != nil {
		return err
	}
	if w.Stopped != "" {
		return newExitError(exitFailed, "watch wave", "wave %q stopped: %s", w.Id, w.Stopped)
	}
	return nil
}

func printWaves(r printRow, waves ...*wirev1.WaveStatus) {
	r("WAVE", "POOL", "WAITING", "OUT", "DONE", "FAILED", "MAX OUT", "MAX FAILED", "STOPPED")
	for _, w := range waves {
		r(w.Id, w.Pool, len(w.Pending), len(w.Out), len(w.Done), len(w.Failed), fmt.Sprint(w.MaxParallel), fmt.Sprint(w.MaxFailed), dashIfEmpty(w.Stopped))
	}
}
