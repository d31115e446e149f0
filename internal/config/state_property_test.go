package config_test

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// drawStream returns a random stream such as concurrent operators produce: it
// contains valid and invalid patches, patches whose base is too low or too high,
// repeated patches, empty records, and snapshots by hosts that lag behind.
func drawStream(t *rapid.T) []ports.Record {
	var out []ports.Record
	var patches []config.Patch
	states := []config.State{config.EmptyState()}
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		last := states[len(states)-1]
		var content config.LogRecord
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			snap := states[rapid.IntRange(0, len(states)-1).Draw(t, "lag")].Snapshot()
			content.Snapshot = &snap
		case 1:
			if len(patches) > 0 {
				content.Patch = &patches[rapid.IntRange(0, len(patches)-1).Draw(t, "repeated")]
			}
		default:
			p := drawPatch(t, i, last.Version)
			patches = append(patches, p)
			content.Patch = &p
		}
		rec := logRecord(ports.Offset(i), content)
		next, _ := last.Apply(rec)
		out = append(out, rec)
		states = append(states, next)
	}
	return out
}

func drawPatch(t *rapid.T, i int, version config.Version) config.Patch {
	base := max(0, int(version)+rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "base"))
	share := rapid.SampledFrom([]float64{1, 1, 1, -1}).Draw(t, "share")
	return config.Patch{
		ID:    uuid.NewSHA1(uuid.NameSpaceOID, fmt.Append(nil, i)).String(),
		Base:  config.Version(base),
		Merge: json.RawMessage(fmt.Sprintf(`{"customers":{"c%d":{"share":%v}}}`, i, share)),
	}
}

// applyRecords applies the records from s.Next on.
func applyRecords(s config.State, records []ports.Record) config.State {
	for _, rec := range records {
		if rec.Offset >= s.Next {
			s, _ = s.Apply(rec)
		}
	}
	return s
}

var _ = Describe("Random streams", func() {
	It("lead to the same state from the snapshot that a scan of the retained records chooses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			stream := drawStream(t)
			fromStart := applyRecords(config.EmptyState(), stream)
			first := rapid.IntRange(0, len(stream)).Draw(t, "first")
			scan := config.NewScan(ports.Offset(first))
			scan.Add(stream[first:])
			start, ok := scan.StartState()
			if !ok {
				return
			}
			fromSnapshot := applyRecords(start, stream)
			g.Expect(fromSnapshot.Version).To(Equal(fromStart.Version))
			g.Expect(fromSnapshot.Digest).To(Equal(fromStart.Digest))
			g.Expect(fromSnapshot.Canonical()).To(Equal(fromStart.Canonical()))
			g.Expect(decisionTexts(fromSnapshot)).To(Equal(decisionTexts(fromStart)))
		})
	})
	It("accept a patch if and only if its base is the current version, its ID is new and the result is valid", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			s, version, seen := config.EmptyState(), config.Version(0), map[string]bool{}
			want := map[string]bool{}
			for _, rec := range drawStream(t) {
				content, err := config.DecodeRecord(rec.Data)
				if err == nil && content.Patch != nil && !seen[content.Patch.ID] {
					p := content.Patch
					seen[p.ID] = true
					var merge struct{ Customers map[string]config.Customer }
					g.Expect(json.Unmarshal(p.Merge, &merge)).To(Succeed())
					for name, c := range merge.Customers {
						if p.Base == version && c.Share > 0 {
							version++
							want[name] = true
						}
					}
				}
				s, _ = s.Apply(rec)
				g.Expect(s.Version).To(Equal(version))
				g.Expect(s.Document.Customers).To(HaveLen(len(want)))
				for name := range want {
					g.Expect(s.Document.Customers).To(HaveKey(name))
				}
			}
		})
	})
})

// decisionTexts returns the decisions in s in a form that can be compared.
func decisionTexts(s config.State) []string {
	var out []string
	for _, r := range s.Decisions {
		out = append(out, fmt.Sprint(r.PatchID, r.Accepted, r.Version, r.Kind))
	}
	return out
}
