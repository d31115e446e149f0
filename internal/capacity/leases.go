package capacity

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/systems/lease"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// measureLeaseSlopes measures the traffic of reads and appends of lease records.
func measureLeaseSlopes(s Size) ([]Slope, error) {
	renewal, err := leaseRecord(lease.Renew, nil)
	if err != nil {
		return nil, err
	}
	rates := make(demand.Rates)
	for i := range s.Models {
		rates[tables.ServiceID(serviceName(i))] = float64(1000 + 10*i)
	}
	report, err := leaseRecord(lease.Report, rates)
	if err != nil {
		return nil, err
	}
	m := &meter{}
	m.addRecordBytes("lease.read_bytes", "read of one renewal of a lease", renewal, readRecord)
	m.addRecordBytes("lease.report_bytes", "read of the demand of one failure domain", report, readRecord)
	m.addRecordBytes("lease.append_bytes", "append of one renewal of a lease", renewal, appendRecord)
	return m.result()
}

// leaseRecord returns an encoded record of the holder of a lease.
func leaseRecord(kind lease.Kind, rates demand.Rates) ([]byte, error) {
	now := time.Unix(1_800_000_000, 0)
	return lease.Record{
		Kind: kind, Name: "orders/" + domainName(17), ID: uuid.NewString(), Holder: tables.HostID(hostName(17)),
		Incarnation: now.UnixNano(), Predecessor: 22, PredecessorTime: now, Fence: 22, Demand: rates,
	}.Encode()
}

func readRecord(ctx context.Context, c ports.Log, _ []byte) error {
	_, err := c.Read(ctx, ports.SharedLeaseStream, 0, 0)
	return err
}

func appendRecord(ctx context.Context, c ports.Log, data []byte) error {
	_, err := c.Append(ctx, ports.SharedLeaseStream, data)
	return err
}

// addRecordBytes measures the bytes of one call of a log client and adds them as a slope.
// The lease stream of the log contains data as its first record before the call.
func (m *meter) addRecordBytes(name, per string, data []byte, call func(context.Context, ports.Log, []byte) error) {
	if m.err != nil {
		return
	}
	log := logstore.New(clockwork.NewRealClock(), logstore.Options{})
	if _, m.err = log.Append(context.Background(), ports.SharedLeaseStream, data); m.err != nil {
		return
	}
	var n float64
	n, m.err = bytesOfPoll(log.Handler(), func(ctx context.Context, address string) func() error {
		c := ports.NewLogClient("http://"+address, nil)
		return func() error { return call(ctx, c, data) }
	})
	m.add(name, n, Bytes, per, "HTTP both ways over one connection")
}
