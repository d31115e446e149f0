// Package docs_test checks the Markdown pages of the repository.
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

// link matches an inline Markdown link. Group 1 is the path or URL without the
// fragment. Links to a fragment of the same page don't match.
var link = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// pages returns the paths of all Markdown files in the root directory, in docs and
// in the direct subdirectories of docs.
func pages() []string {
	var paths []string
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		Expect(err).NotTo(HaveOccurred())
		paths = append(paths, found...)
	}
	return paths
}

var _ = Describe("Markdown pages", func() {
	It("contain only links to existing files and directories", func() {
		links := 0
		for _, page := range pages() {
			text, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			for _, match := range link.FindAllStringSubmatch(string(text), -1) {
				if strings.Contains(match[1], "://") {
					continue
				}
				links++
				Expect(filepath.Join(filepath.Dir(page), match[1])).To(Or(BeAnExistingFile(), BeADirectory()), page)
			}
		}
		Expect(links).To(BeNumerically(">", 20))
	})
})
