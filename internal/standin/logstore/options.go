// Package logstore is a stand-in for the platform's append-only log service.
// It stores its streams in memory. Tests can inject outages, delays, lost
// requests and lost answers.
package logstore

import "time"

// Options configures a Store.
type Options struct {
	// Retention is the time after which a record is dropped. Zero keeps all records.
	Retention time.Duration
	// AppendsPerSecond limits the rate of appends to all streams together. Zero
	// means no limit.
	AppendsPerSecond float64
	// MaxRecordBytes is the maximum size of a record. Zero means
	// defaultMaxRecordBytes.
	MaxRecordBytes int
}

const (
	defaultMaxRecordBytes = 1 << 20
	// maxPageRecords and maxPageBytes limit the page that a read returns. A single
	// record larger than maxPageBytes is returned on its own.
	maxPageRecords = 1024
	maxPageBytes   = 4 << 20
)

func (o Options) maxRecordBytes() int {
	if o.MaxRecordBytes > 0 {
		return o.MaxRecordBytes
	}
	return defaultMaxRecordBytes
}
