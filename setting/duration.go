package setting

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that JSON has as text such as "250ms" or "1m30s".
type Duration time.Duration

// String returns the text form.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. A number without a unit is an error, except for 0.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
