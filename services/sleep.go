package services

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done and reports whether it waited for all of
// d.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ScanAll reads all pages of a range. It returns the version of the first page, so
// that no change is missed when changes are read from that version on.
func ScanAll(ctx context.Context, records Records, r RecordRange) ([]Record, int64, error) {
	var all []Record
	version := int64(0)
	for {
		page, err := records.Scan(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, version, nil
		}
		r.From = page.Records[len(page.Records)-1].Key + "\x00"
	}
}
