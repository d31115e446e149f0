package auth_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

func TestAuth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "auth")
}

func sum(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

func document() config.Document {
	return config.Document{
		Customers: map[string]config.Customer{
			"workshop": {KeySHA256: map[string]string{"2026-11": sum("old"), "2026-12": sum("new")}},
			"museum":   {KeySHA256: map[string]string{"a": sum("museum-key")}},
			"keyless":  {},
		},
		Operators: map[string]config.Operator{
			"eva": {KeySHA256: map[string]string{"a": sum("eva-key")}},
		},
	}
}

var _ = Describe("Index", func() {
	It("finds a customer by any valid label during a rotation", func() {
		x, err := auth.NewIndex(document())
		Expect(err).NotTo(HaveOccurred())
		for key, owner := range map[string]tables.CustomerID{"old": "workshop", "new": "workshop", "museum-key": "museum"} {
			Expect(x.Customer(key)).To(Equal(owner))
		}
	})
	It("refuses a rotated key once its label is gone", func() {
		d := document()
		delete(d.Customers["workshop"].KeySHA256, "2026-11")
		x, err := auth.NewIndex(d)
		Expect(err).NotTo(HaveOccurred())
		_, err = x.Customer("old")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
		Expect(x.Customer("new")).To(BeEquivalentTo("workshop"))
	})
	It("keeps customers and operators apart and tells no key", func() {
		x, err := auth.NewIndex(document())
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Operator("eva-key")).To(Equal("eva"))
		_, err = x.Customer("eva-key")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
		Expect(err.Error()).NotTo(ContainSubstring("eva-key"))
		_, err = x.Operator("museum-key")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
	})
	It("never matches the empty key", func() {
		d := document()
		d.Customers["keyless"] = config.Customer{KeySHA256: map[string]string{"a": sum("")}}
		x, err := auth.NewIndex(d)
		Expect(err).NotTo(HaveOccurred())
		_, err = x.Customer("")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
	})
	It("refuses a digest that is none or that two owners share", func() {
		d := document()
		d.Customers["museum"].KeySHA256["b"] = "abcd"
		_, err := auth.NewIndex(d)
		Expect(errkind.Of(err)).To(Equal(errkind.InvalidConfig))
		Expect(err).To(MatchError(ContainSubstring(`key "b"`)))
		d.Customers["museum"].KeySHA256["b"] = sum("new")
		_, err = auth.NewIndex(d)
		Expect(err).To(MatchError(ContainSubstring(`"museum" and "workshop"`)))
	})
})

var _ = Describe("EqualKeys", func() {
	It("compares whole keys", func() {
		Expect(auth.EqualKeys("abc", "abc")).To(BeTrue())
		Expect(auth.EqualKeys("abc", "abd")).To(BeFalse())
		Expect(auth.EqualKeys("abc", "abcd")).To(BeFalse())
	})
})
