package services

import "time"

// RetryLaterError is the error of work that was refused and is expected to be accepted
// after a time.
type RetryLaterError struct {
	Err   error
	After time.Duration
}

func (e *RetryLaterError) Error() string { return e.Err.Error() }

func (e *RetryLaterError) Unwrap() error { return e.Err }
