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

// Every metric must be documented in docs/operators.md.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	assert.NilError(t, err)
	m := NewMetrics()
	m.recordWait("s", time.Second)
	m.recordAttempt("s", time.Second)
	m.retryAfter.Update(1)
	m.duration.Update(1)
	m.registerServiceGauges("s", func() float64 { return 0 }, func() float64 { return 0 })
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	names := regexp.MustCompile(`(?m)^skylarkbeam_[a-z_]+`).FindAllString(text.String(), -1)
	assert.Assert(t, len(names) > 40)
	for _, name := range names {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		assert.Assert(t, strings.Contains(string(page), name), "%s is not in docs/operators.md", name)
	}
}
