// Package docs_test checks the pages.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

// link is a Markdown link to another page or file of the repository.
var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

func pages() []string {
	var out []string
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, found...)
	}
	return out
}

var _ = Describe("The pages", func() {
	It("link to files that exist", func() {
		links := 0
		for _, page := range pages() {
			text, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			for _, l := range link.FindAllStringSubmatch(string(text), -1) {
				if strings.Contains(l[1], "://") {
					continue
				}
				links++
				Expect(filepath.Join(filepath.Dir(page), l[1])).To(Or(BeAnExistingFile(), BeADirectory()), page)
			}
		}
		Expect(links).To(BeNumerically(">", 20))
	})
})
