package store

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults is the set of faults that a Memory injects. The zero value injects none.
type Faults struct {
	// Down refuses every request with an error of kind Down. A request that is already under way ends as Lost.
	Down bool
	// Delay passes before the effect of each request, Hold between the effect and the answer. A caller that gives up
	// meanwhile does not stop the effect.
	Delay time.Duration
	Hold  time.Duration
	// Lose makes commits end in an error of kind Lost.
	Lose Loss
	// Writes and Reads are the requests allowed per second, 0 for no limit. Requests beyond them are Throttled.
	Writes int
	Reads  int
	// Lag is the age of the list of VMs.
	Lag time.Duration
}

// Loss selects the commits whose answer is lost: the next Next ones, and each later one with probability Rate, from a
// random sequence that starts with Seed.
type Loss struct {
	Next  int
	Rate  float64
	Seed  uint64
	Point Point
	// Late is the time from the lost answer to the effect, for the point PointLate.
	Late time.Duration
}

// Point says when a commit whose answer is lost takes effect.
type Point string

// The points of loss.
const (
	// PointAfter loses the answer: the commit took effect.
	PointAfter Point = ""
	// PointBefore loses the request: the commit never takes effect.
	PointBefore Point = "before"
	// PointLate delays the request: the commit takes effect, if its checks then hold, after the caller got its error.
	PointLate Point = "late"
	// PointAny is one of the other points, chosen at random for each commit.
	PointAny Point = "any"
)

var points = []Point{PointAfter, PointBefore, PointLate}

// Validate returns an error of kind Invalid for values that have no meaning.
func (f Faults) Validate() error {
	switch f.Lose.Point {
	case PointAfter, PointBefore, PointLate, PointAny:
	default:
		return fault(Invalid, errors.Newf("point of loss %q does not exist", f.Lose.Point))
	}
	if f.Delay < 0 || f.Hold < 0 || f.Lag < 0 || f.Lose.Late < 0 || f.Writes < 0 || f.Reads < 0 || f.Lose.Next < 0 {
		return fault(Invalid, errors.New("faults have a negative value"))
	}
	if f.Lose.Rate < 0 || f.Lose.Rate > 1 {
		return fault(Invalid, errors.Newf("rate of loss %v is not between 0 and 1", f.Lose.Rate))
	}
	return nil
}

// faultsWire is the JSON form of Faults, with durations such as "250ms".
type faultsWire struct {
	Down   bool     `json:"down,omitempty"`
	Delay  duration `json:"delay,omitzero"`
	Hold   duration `json:"hold,omitzero"`
	Lose   lossWire `json:"lose,omitzero"`
	Writes int      `json:"writes,omitempty"`
	Reads  int      `json:"reads,omitempty"`
	Lag    duration `json:"lag,omitzero"`
}

type lossWire struct {
	Next  int      `json:"next,omitempty"`
	Rate  float64  `json:"rate,omitempty"`
	Seed  uint64   `json:"seed,omitempty"`
	Point Point    `json:"point,omitempty"`
	Late  duration `json:"late,omitzero"`
}

// MarshalJSON writes durations as text.
func (f Faults) MarshalJSON() ([]byte, error) {
	return json.Marshal(faultsWire{
		Down:   f.Down,
		Delay:  duration(f.Delay),
		Hold:   duration(f.Hold),
		Writes: f.Writes,
		Reads:  f.Reads,
		Lag:    duration(f.Lag),
		Lose: lossWire{
			Next:  f.Lose.Next,
			Rate:  f.Lose.Rate,
			Seed:  f.Lose.Seed,
			Point: f.Lose.Point,
			Late:  duration(f.Lose.Late),
		},
	})
}

// UnmarshalJSON reads durations as text and rejects unknown fields, so that no misspelt fault is passed over.
func (f *Faults) UnmarshalJSON(data []byte) error {
	var w faultsWire
	if err := readJSON(bytes.NewReader(data), &w); err != nil {
		return errors.Wrap(err, "reading faults")
	}
	*f = Faults{
		Down:   w.Down,
		Delay:  time.Duration(w.Delay),
		Hold:   time.Duration(w.Hold),
		Writes: w.Writes,
		Reads:  w.Reads,
		Lag:    time.Duration(w.Lag),
		Lose: Loss{
			Next:  w.Lose.Next,
			Rate:  w.Lose.Rate,
			Seed:  w.Lose.Seed,
			Point: w.Lose.Point,
			Late:  time.Duration(w.Lose.Late),
		},
	}
	return nil
}

type duration time.Duration

func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}
