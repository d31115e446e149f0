package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellseam/bluebellseam/internal/scenario"
)

const scripts = "../../scenarios"

func TestScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params(scripts))
}

func TestEveryScenarioEndsWithAnAudit(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob(filepath.Join(scripts, "*.txtar"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		script, _, _ := strings.Cut(string(data), "\n-- ")
		lines := strings.Split(strings.TrimSpace(script), "\n")
		g.Expect(lines[len(lines)-1]).To(Equal("audit"), file)
	}
}
