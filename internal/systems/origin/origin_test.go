package origin_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func versions(v ...tables.SoftwareVersion) []tables.SoftwareVersion { return v }

var _ = Describe("StreamIDOf", func() {
	It("is zero only for an empty request ID", func() {
		Expect(origin.StreamIDOf("")).To(BeZero())
		Expect(origin.StreamIDOf("9c41d07be2a35f68")).NotTo(BeZero())
		Expect(origin.StreamIDOf("a")).To(Equal(origin.StreamIDOf("a")))
		Expect(origin.StreamIDOf("a")).NotTo(Equal(origin.StreamIDOf("b")))
	})
})

var _ = DescribeTable("Decide", func(q origin.Question, expected origin.Constraint) {
	Expect(origin.Decide(q)).To(Equal(expected))
},
	Entry("a new stream", origin.Question{Seen: versions("v1", "v2"), Complete: true}, origin.Constraint{Kind: origin.AnyVersion}),
	Entry("a new stream, whatever is known", origin.Question{Known: true, Version: "v1"}, origin.Constraint{Kind: origin.AnyVersion}),
	Entry("a known stream", origin.Question{Resumed: true, Known: true, Version: "v1", Seen: versions("v1", "v2"), Complete: true},
		origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}),
	Entry("a known stream of a version that has left", origin.Question{Resumed: true, Known: true, Version: "v1", Seen: versions("v2"), Complete: true},
		origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}),
	Entry("a known stream of targets without a version", origin.Question{Resumed: true, Known: true, Seen: versions("", "v2"), Complete: true},
		origin.Constraint{Kind: origin.OnlyVersion}),
	Entry("a known stream with an old view", origin.Question{Resumed: true, Known: true, Version: "v1", Seen: versions("v1")},
		origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}),
	Entry("a stream of which two versions were reported, one of which has left", origin.Question{Resumed: true, Disputed: true, Seen: versions("v1"), Complete: true}, origin.Constraint{Kind: origin.Unknown}),
	Entry("an unknown stream and one version", origin.Question{Resumed: true, Seen: versions("v1"), Complete: true},
		origin.Constraint{Kind: origin.AnyVersion, Version: "v1", Sole: true}),
	Entry("an unknown stream and no version", origin.Question{Resumed: true, Complete: true}, origin.Constraint{Kind: origin.Unknown}),
	Entry("an unknown stream and two versions", origin.Question{Resumed: true, Seen: versions("v1", "v2"), Complete: true}, origin.Constraint{Kind: origin.Unknown}),
	Entry("an unknown stream and an old view", origin.Question{Resumed: true, Seen: versions("v1")}, origin.Constraint{Kind: origin.Unknown}),
	Entry("an unknown stream, an old view and no version", origin.Question{Resumed: true}, origin.Constraint{Kind: origin.Unknown}),
)

var _ = DescribeTable("Binding", func(c origin.Constraint, version tables.SoftwareVersion, bound bool) {
	v, b := c.Binding()
	Expect(v).To(Equal(version))
	Expect(b).To(Equal(bound))
},
	Entry("of a new stream", origin.Constraint{Kind: origin.AnyVersion}, tables.SoftwareVersion(""), false),
	Entry("of a known version", origin.Constraint{Kind: origin.OnlyVersion, Version: "v1"}, tables.SoftwareVersion("v1"), true),
	Entry("of an empty version", origin.Constraint{Kind: origin.OnlyVersion}, tables.SoftwareVersion(""), true),
	Entry("of the only version seen", origin.Constraint{Kind: origin.AnyVersion, Version: "v1", Sole: true}, tables.SoftwareVersion("v1"), true),
)
