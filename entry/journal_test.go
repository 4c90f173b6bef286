package entry

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// The journal must not lose events before it is full, and must keep their order after it has wrapped around.
func TestJournal(t *testing.T) {
	tests := []struct {
		name   string
		events int
		first  string
		length int
	}{
		{
			name:   "not full",
			events: 3,
			first:  "event n=0 part=test",
			length: 3,
		},
		{
			name:   "wrapped",
			events: journalSize + 5,
			first:  "event n=5 part=test",
			length: journalSize,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := &journal{}
			log := zap.New(newJournalCore(j)).With(zap.String("part", "test"), zap.String("entry", "entry-1"))
			for i := range tt.events {
				log.Info("event", zap.Int("n", i))
				log.Debug("not a change of state")
			}
			have := j.list()
			assert.Equal(t, len(have), tt.length)
			assert.Equal(t, have[0].Text, tt.first)
			assert.Equal(t, have[len(have)-1].Text, fmt.Sprintf("event n=%d part=test", tt.events-1))
		})
	}
}
