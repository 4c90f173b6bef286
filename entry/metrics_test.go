package entry

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against metrics that the page for operators does not list.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	assert.NilError(t, err)
	c := NewMetrics()
	c.waited("s", time.Second)
	c.attempted("s", time.Second)
	c.retry.Update(1)
	c.duration.Update(1)
	c.watch("s", func() float64 { return 0 }, func() float64 { return 0 })
	var text bytes.Buffer
	c.set.WritePrometheus(&text)
	names := regexp.MustCompile(`(?m)^skylarkbeam_[a-z_]+`).FindAllString(text.String(), -1)
	assert.Assert(t, len(names) > 40)
	for _, name := range names {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		assert.Assert(t, strings.Contains(string(page), name), "%s is not in docs/operators.md", name)
	}
}
