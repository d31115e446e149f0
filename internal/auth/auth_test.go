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
	It("accepts every valid key of a customer during a rotation", func() {
		index, err := auth.NewIndex(document())
		Expect(err).NotTo(HaveOccurred())
		for key, owner := range map[string]tables.CustomerID{"old": "workshop", "new": "workshop", "museum-key": "museum"} {
			Expect(index.Customer(key)).To(Equal(owner))
		}
	})
	It("rejects a key once its label is removed", func() {
		d := document()
		delete(d.Customers["workshop"].KeySHA256, "2026-11")
		index, err := auth.NewIndex(d)
		Expect(err).NotTo(HaveOccurred())
		_, err = index.Customer("old")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
		Expect(index.Customer("new")).To(BeEquivalentTo("workshop"))
	})
	It("separates customer keys from operator keys and omits keys from errors", func() {
		index, err := auth.NewIndex(document())
		Expect(err).NotTo(HaveOccurred())
		Expect(index.Operator("eva-key")).To(Equal("eva"))
		_, err = index.Customer("eva-key")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
		Expect(err.Error()).NotTo(ContainSubstring("eva-key"))
		_, err = index.Operator("museum-key")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
	})
	It("rejects the empty key", func() {
		d := document()
		d.Customers["keyless"] = config.Customer{KeySHA256: map[string]string{"a": sum("")}}
		index, err := auth.NewIndex(d)
		Expect(err).NotTo(HaveOccurred())
		_, err = index.Customer("")
		Expect(errkind.Of(err)).To(Equal(errkind.Unauthenticated))
	})
	It("rejects a malformed digest and a digest that two owners share", func() {
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
	It("compares complete keys", func() {
		Expect(auth.EqualKeys("abc", "abc")).To(BeTrue())
		Expect(auth.EqualKeys("abc", "abd")).To(BeFalse())
		Expect(auth.EqualKeys("abc", "abcd")).To(BeFalse())
	})
})
