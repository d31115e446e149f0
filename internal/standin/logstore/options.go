// Package logstore is a stand-in for the platform's append-only log service.
// It keeps its streams in memory and has switches for outages, delay and lost
// answers.
package logstore

import "time"

// Options set the limits of a Store.
type Options struct {
	// Retention is how long a record is kept; zero keeps all records.
	Retention time.Duration
	// AppendsPerSecond limits appends; zero means no limit.
	AppendsPerSecond float64
	// MaxRecordBytes bounds one record; zero means defaultMaxRecordBytes.
	MaxRecordBytes int
}

const (
	defaultMaxRecordBytes = 1 << 20
	// maxPageRecords and maxPageBytes bound one answer to a read.
	maxPageRecords = 1024
	maxPageBytes   = 4 << 20
)

func (o Options) maxRecordBytes() int {
	if o.MaxRecordBytes > 0 {
		return o.MaxRecordBytes
	}
	return defaultMaxRecordBytes
}
