// Package logsink writes log lines without ever blocking those who log.
//
// Lines go over a bounded ring to the duty log.write. Lines beyond the budget,
// or that find the ring full, are dropped and counted; a line that tells the
// number follows when there is room again.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
)

const (
	// maxQueuedLines is the number of lines that may wait; at 300 bytes a line this
	// is 600 KB.
	maxQueuedLines = 2048
	// maxLinesPerWindow is the number of lines a second that are written.
	maxLinesPerWindow = 600
	rateWindow        = time.Second
	// maxBatchBytes bounds one write.
	maxBatchBytes = 32 << 10
)

// Sink implements io.Writer for a logger.
type Sink struct {
	out            io.Writer
	lines          *ring.Ring[[]byte]
	dropped        atomic.Int64
	droppedCounter tally.Counter
}

// New returns a sink that writes to out.
func New(out io.Writer, scope tally.Scope) *Sink {
	return &Sink{out: out, lines: ring.New[[]byte]("log.write", maxQueuedLines, scope), droppedCounter: scope.Counter("log_lines_dropped_total")}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.Offer(append([]byte(nil), line...)) {
		s.countDropped(1)
	}
	return len(line), nil
}

func (s *Sink) countDropped(n int64) {
	s.dropped.Add(n)
	s.droppedCounter.Inc(n)
}

// Provision implements kernel.Service.
func (s *Sink) Provision(c *kernel.Context) error {
	c.AddDuty("log.write", s.run)
	return nil
}

// run is the duty that writes lines, several at a time.
func (s *Sink) run(ctx context.Context) {
	left, renewed := maxLinesPerWindow, time.Now()
	for {
		line, err := s.lines.Take(ctx)
		if err != nil {
			s.flush()
			return
		}
		if now := time.Now(); now.Sub(renewed) >= rateWindow {
			left, renewed = maxLinesPerWindow, now
			s.reportDropped()
		}
		batch, n := s.takeBatch(line)
		if n > left {
			s.countDropped(int64(n))
			continue
		}
		left -= n
		s.writeOut(batch)
	}
}

// takeBatch adds the lines that wait to the first one.
func (s *Sink) takeBatch(first []byte) (batch []byte, lines int) {
	batch, lines = first, 1
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines.C():
			batch = append(batch, line...)
			lines++
		default:
			return batch, lines
		}
	}
	return batch, lines
}

// writeOut writes; an error has nowhere to be reported and counts as dropped.
func (s *Sink) writeOut(b []byte) {
	if _, err := s.out.Write(b); err != nil {
		s.countDropped(1)
	}
}

func (s *Sink) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.writeOut(fmt.Appendf(nil, "{\"level\":\"warn\",\"service\":\"log\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", n))
	}
}

// flush writes what waits at the end of the process.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines.C():
			s.writeOut(line)
		default:
			s.reportDropped()
			return
		}
	}
}
