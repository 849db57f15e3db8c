package fault

// Reasons that concern jobs and the workers that run them.
const (
	ReasonStaleCopy         Reason = "stale-copy"
	ReasonJobEnded          Reason = "job-ended"
	ReasonStartRefused      Reason = "start-refused"
	ReasonNeverStarted      Reason = "never-started"
	ReasonWorkerUnreachable Reason = "worker-unreachable"
	ReasonLeaseExpired      Reason = "lease-expired"
	ReasonTaskFailed        Reason = "task-failed"
	ReasonTaskStopped       Reason = "task-stopped"
	ReasonPreempted         Reason = "preempted"
	ReasonFailedOnWorkers   Reason = "failed-on-workers"
	ReasonCannotRun         Reason = "cannot-run"
	ReasonWorkerExcluded    Reason = "worker-excluded"
	// ReasonNoJobRight means that the team's row does not count a right for the
	// job.
	ReasonNoJobRight Reason = "no-job-right"
)
