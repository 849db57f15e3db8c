package jobs

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/decision/placement"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
)

// scheduler is the state of the duty jobs.schedule. It performs no I/O and
// never waits for jobs.tasks.
type scheduler struct {
	svc     *Service
	now     time.Time
	self    job.Holder
	queues  map[string]*queue
	jobs    map[string]*entry
	workers map[string]*workerState
	// blockedSince teams had no right to run; they are tried again when one is
	// freed, and with every blockedRetryInterval in case that message was lost.
	blockedSince map[string]time.Time
	// reportedWaiting is what the rights service was last told of jobs that wait.
	reportedWaiting map[string]int
	health          *placement.Health
	sizes           *placement.SizeEstimator
	// teamCommits are the teams with a commit under way that changes their
	// rights, and the commits that wait for it.
	teamCommits map[string][]commitJob
	backlog     []call
	sequence    uint64
	// readingLeases is set while a read of the schedule rows is under way.
	readingLeases bool
	leasesReadAt  time.Time
	// nextHolderRefresh is when rows of jobs are read that have, or had, another
	// holder.
	nextHolderRefresh time.Time
	nextPlace         time.Time
	// indexedList is the host list that hostIndex was made from.
	indexedList *fleet.HostList
	hostIndex   map[string]int
	drainDone   *ring.Ring[struct{}]
	draining    bool
}

// blockedRetryInterval is the time after which a team without a right is tried again.
const blockedRetryInterval = 2 * time.Second

// commitRetryDelay is the pause after a commit that failed or whose outcome is not
// known.
const commitRetryDelay = 500 * time.Millisecond

// workerState is what the scheduler remembers of a worker between polls.
type workerState struct {
	polling  bool
	nextPoll time.Time
	interval time.Duration
	// avoidUntil keeps new work off a worker that refused or did not answer.
	avoidUntil  time.Time
	avoidReason fault.Reason
}

// initialPollInterval is the time from a start to the first poll; the interval then
// doubles, so that the end of a short job is noticed soon.
const initialPollInterval = time.Second

// avoidDuration keeps work off a worker that refused a start or did not answer.
const avoidDuration = 2 * time.Second

func newScheduler(s *Service) *scheduler {
	self := s.membership.Self()
	return &scheduler{
		svc:          s,
		self:         job.Holder{Host: self.Name, Incarnation: self.Incarnation},
		queues:       make(map[string]*queue),
		jobs:         make(map[string]*entry),
		workers:      make(map[string]*workerState),
		blockedSince: make(map[string]time.Time),
		teamCommits:  make(map[string][]commitJob),
		health:       placement.NewHealth(),
		sizes:        placement.NewSizeEstimator(),
	}
}

func (s *scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(s.svc.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.svc.events.C():
			s.now = s.svc.config.Clock()
			e.handle(s)
		case <-ticker.C:
			s.now = s.svc.config.Clock()
			s.tick()
		}
		s.flushBacklog()
	}
}

func (s *scheduler) tick() {
	s.updateLeases()
	s.scanDueQueues()
	s.reconcileAll()
	s.pollWorkers()
	s.expireTaskLeases()
	s.placeJobs()
	s.finishDrain()
}

// post hands a call to jobs.tasks. Calls that find the ring full wait here.
func (s *scheduler) post(c call) { s.backlog = append(s.backlog, c) }

func (s *scheduler) flushBacklog() {
	for len(s.backlog) > 0 && s.svc.calls.Offer(s.backlog[0]) {
		s.backlog[0] = nil
		s.backlog = s.backlog[1:]
	}
}

func (s *scheduler) workerState(name string) *workerState {
	w := s.workers[name]
	if w == nil {
		w = &workerState{}
		s.workers[name] = w
	}
	return w
}

func (s *scheduler) avoid(worker string, reason fault.Reason) {
	w := s.workerState(worker)
	w.avoidUntil = s.now.Add(avoidDuration)
	w.avoidReason = reason
}

// host returns the entry of the host list for a worker.
func (s *scheduler) host(name string) (fleet.Host, bool) {
	list := s.svc.hosts.Hosts()
	if list == nil {
		return fleet.Host{}, false
	}
	if list != s.indexedList {
		s.indexedList = list
		s.hostIndex = make(map[string]int, len(list.Hosts))
		for i := range list.Hosts {
			s.hostIndex[list.Hosts[i].Name] = i
		}
	}
	i, known := s.hostIndex[name]
	if !known {
		return fleet.Host{}, false
	}
	return list.Hosts[i], true
}

// queueChanged says that a queue has news.
type queueChanged struct{ queue string }

func (n queueChanged) handle(s *scheduler) {
	if q := s.queues[n.queue]; q != nil {
		q.nextScan = s.now
		s.scanDueQueues()
	}
}

// rightFreed says that a team got a right back.
type rightFreed struct{ team string }

func (f rightFreed) handle(s *scheduler) {
	delete(s.blockedSince, f.team)
	s.placeJobs()
}

// drainRequest stops starts and gives up the schedules of this host.
type drainRequest struct{ done *ring.Ring[struct{}] }

func (d drainRequest) handle(s *scheduler) {
	s.draining = true
	s.drainDone = d.done
	s.reportWaiting(nil)
	for _, q := range s.queues {
		if q.leased {
			s.releaseLease(q)
		}
	}
}

func (s *scheduler) finishDrain() {
	if s.drainDone == nil {
		return
	}
	for _, e := range s.jobs {
		if e.committing || e.starting || e.hasUnboundRight {
			return
		}
	}
	s.drainDone.Offer(struct{}{})
	s.drainDone = nil
}
