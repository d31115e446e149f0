package watch_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/watch"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watch")
}

// decoder decodes a number as a configuration version, and any text but "bad" as a
// target: its address, and after semicolons its start, its sequence number and
// whether it is leaving.
type decoder struct{}

func (decoder) IsConfig(key string) bool { return key == "config" }

func (decoder) Config(value []byte) (*fleet.Config, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	return fleet.NewConfig(version), nil
}

func (decoder) IsRollout(key string) bool { return strings.HasPrefix(key, "rollout/") }

func (decoder) Rollout(key string, value []byte) (fleet.Rollout, error) {
	if string(value) == "bad" {
		return fleet.Rollout{}, fmt.Errorf("order %q", key)
	}
	service := strings.TrimPrefix(key, "rollout/")
	return fleet.Rollout{Service: tables.ServiceID(service), To: tables.SoftwareVersion(value), Duration: 10 * time.Second}, nil
}

func (decoder) Target(key string, value []byte) (fleet.Target, error) {
	if string(value) == "bad" {
		return fleet.Target{}, fmt.Errorf("entry of %q", key)
	}
	parts := strings.Split(string(value), ";")
	t := fleet.Target{ID: tables.TargetID(key), Address: parts[0]}
	for _, part := range parts[1:] {
		name, text, _ := strings.Cut(part, "=")
		number, _ := strconv.ParseInt(text, 10, 64)
		switch name {
		case "start":
			t.StartedAt = time.UnixMilli(number)
		case "version":
			t.Service, t.Version = "s", tables.SoftwareVersion(text)
		case "sequence":
			t.Sequence = number
		case "cold":
			t.ColdUntil = time.UnixMilli(number)
		case "leaving":
			t.Leaving = true
		}
	}
	return t, nil
}

var start = time.Unix(1_700_000_000, 0)

func record(key, value string, offset int64) watch.Record {
	r := watch.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func page(end int64, records ...watch.Record) watch.Page {
	return watch.Page{Records: records, End: end}
}

var _ = Describe("State", func() {
	var s *watch.State
	BeforeEach(func() { s = watch.NewState(decoder{}, zap.NewNop()) })

	It("never returns to an older configuration version", func() {
		s.Apply(start, watch.Configs, 0, page(1, record("config", "7", 0)))
		s.ApplyUpdate(start, []watch.Change{{Stream: watch.Configs, Record: record("config", "6", 3)}}, nil)
		Expect(s.Config().Version).To(Equal(uint64(7)))
		s.Apply(start, watch.Configs, 0, page(5, record("config", "9", 4), record("other", "12", 5)))
		Expect(s.Config().Version).To(Equal(uint64(9)))
	})

	It("removes a target whose record is removed or missing from a listing", func() {
		s.Apply(start, watch.Targets, 0, page(3, record("a", "1", 0), record("b", "2", 1), record("c", "3", 2)))
		s.Apply(start, watch.Targets, 0, page(4, record("a", "", 3)))
		s.ApplyListing(start, watch.Targets, page(6, record("c", "3", 2)))
		Expect(s.Targets()).To(ConsistOf(HaveField("ID", tables.TargetID("c"))))
	})

	It("removes a target whose new record cannot be decoded", func() {
		s.Apply(start, watch.Targets, 0, page(2, record("a", "1", 0), record("a", "bad", 1)))
		Expect(s.Targets()).To(BeEmpty())
	})

	It("holds the removal of targets after an outage, and then removes those whose records were not renewed", func() {
		s.Apply(start, watch.Targets, 0, page(2, record("a", "1", 0), record("b", "2", 1)))
		s.HoldRemovalsUntil(start.Add(2 * time.Second))
		s.Apply(start, watch.Targets, 0, page(4, record("a", "", 2), record("b", "", 3)))
		Expect(s.Targets()).To(HaveLen(2))
		s.Apply(start, watch.Targets, 0, page(5, record("a", "1", 4)))
		s.ApplyHeldRemovals(start.Add(time.Second))
		Expect(s.Targets()).To(HaveLen(2))
		s.ApplyHeldRemovals(start.Add(2 * time.Second))
		Expect(s.Targets()).To(ConsistOf(HaveField("ID", tables.TargetID("a"))))
	})

	It("returns the changes since a sequence number with the ends of the streams", func() {
		s.Apply(start, watch.Targets, 0, page(1, record("a", "1", 0)))
		first := s.Since(0, nil)
		Expect(first.Changes).To(HaveLen(1))
		s.Apply(start, watch.Targets, 0, page(3, record("a", "2", 1), record("a", "3", 2)))
		second := s.Since(first.Seq, first.Marks())
		Expect(second.Changes).To(HaveLen(1))
		Expect(second.Changes[0].Record.Offset).To(Equal(int64(2)))
		Expect(second.Spans[watch.Targets]).To(Equal(watch.Span{Mark: watch.Mark{End: 3}, From: 1}))
	})

	It("excludes records received from peers from StoreReadsSince", func() {
		s.ApplyUpdate(start, []watch.Change{{Stream: watch.Targets, Record: record("a", "1", 0)}}, nil)
		Expect(s.StoreReadsSince(0).Changes).To(BeEmpty())
		s.Apply(start, watch.Targets, 0, page(2, record("b", "1", 1)))
		Expect(s.StoreReadsSince(0).Changes).To(HaveLen(1))
	})

	It("compresses large records between hosts and restores them", func() {
		large := make([]byte, 0, 10_000)
		for i := range 2_500 {
			large = strconv.AppendInt(large, int64(i%10), 10)
		}
		s.Apply(start, watch.Targets, 0, page(1, watch.Record{Key: "a", Value: large}))
		changes := s.Since(0, nil).Changes
		Expect(len(changes[0].Record.Value)).To(BeNumerically("<", len(large)/4))
		other := watch.NewState(decoder{}, zap.NewNop())
		other.ApplyUpdate(start, changes, nil)
		target, known := other.Target("a")
		Expect(known).To(BeTrue())
		Expect(target.Address).To(Equal(string(large)))
	})

	It("is complete with a configuration and a target list, even an empty one", func() {
		s.Apply(start, watch.Configs, 0, page(1, record("config", "1", 0)))
		Expect(s.Complete()).To(BeFalse())
		s.ApplyListing(start, watch.Targets, page(0))
		Expect(s.Complete()).To(BeTrue())
	})
})
