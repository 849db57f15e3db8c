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
	// ReasonWithoutValue means that the job could end only when it has no value any
	// more, and ReasonBeyondShare that this is because its tenant is beyond its share.
	ReasonWithoutValue Reason = "without-value"
	ReasonBeyondShare  Reason = "beyond-share"
)
