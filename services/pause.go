package services

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether ctx still lasts.
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

// ScanAll reads all pages of a range. The version is that of the first page, so
// that changes can be followed from there without a gap.
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
