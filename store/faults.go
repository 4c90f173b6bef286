package store

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults is the set of faults that a Memory injects. The zero value injects none.
type Faults struct {
	// Unavailable refuses every request with an error of kind Unavailable. A request that is already under way ends as Lost.
	Unavailable bool
	// RequestDelay passes before the effect of each request, Hold between the effect and the answer. A caller that gives up
	// meanwhile does not stop the effect.
	RequestDelay  time.Duration
	ResponseDelay time.Duration
	// LostCommits makes commits end in an error of kind Lost.
	LostCommits CommitLoss
	// WritesPerSecond and Reads are the requests allowed per second, 0 for no limit. Requests beyond them are Throttled.
	WritesPerSecond int
	ReadsPerSecond  int
	// VMListLag is the age of the list of VMs.
	VMListLag time.Duration
}

// CommitLoss selects the commits whose answer is lost: the next Next ones, and each later one with probability Rate, from a
// random sequence that starts with Seed.
type CommitLoss struct {
	Count       int
	Probability float64
	Seed        uint64
	Point       LossPoint
	// Delay is the time from the lost answer to the effect, for the point PointLate.
	Delay time.Duration
}

// LossPoint says when a commit whose answer is lost takes effect.
type LossPoint string

// The points of loss.
const (
	// LossPointResponse loses the answer: the commit took effect.
	LossPointResponse LossPoint = ""
	// LossPointRequest loses the request: the commit never takes effect.
	LossPointRequest LossPoint = "before"
	// LossPointDelayed delays the request: the commit takes effect, if its checks then hold, after the caller got its error.
	LossPointDelayed LossPoint = "late"
	// LossPointRandom is one of the other points, chosen at random for each commit.
	LossPointRandom LossPoint = "any"
)

var points = []LossPoint{LossPointResponse, LossPointRequest, LossPointDelayed}

// Validate returns an error of kind Invalid for values that have no meaning.
func (f Faults) Validate() error {
	switch f.LostCommits.Point {
	case LossPointResponse, LossPointRequest, LossPointDelayed, LossPointRandom:
	default:
		return fault(Invalid, errors.Newf("point of loss %q does not exist", f.LostCommits.Point))
	}
	if f.RequestDelay < 0 || f.ResponseDelay < 0 || f.VMListLag < 0 || f.LostCommits.Delay < 0 || f.WritesPerSecond < 0 || f.ReadsPerSecond < 0 || f.LostCommits.Count < 0 {
		return fault(Invalid, errors.New("faults have a negative value"))
	}
	if f.LostCommits.Probability < 0 || f.LostCommits.Probability > 1 {
		return fault(Invalid, errors.Newf("rate of loss %v is not between 0 and 1", f.LostCommits.Probability))
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
	Next  int       `json:"next,omitempty"`
	Rate  float64   `json:"rate,omitempty"`
	Seed  uint64    `json:"seed,omitempty"`
	Point LossPoint `json:"point,omitempty"`
	Late  duration  `json:"late,omitzero"`
}

// MarshalJSON writes durations as text.
func (f Faults) MarshalJSON() ([]byte, error) {
	return json.Marshal(faultsWire{
		Down:   f.Unavailable,
		Delay:  duration(f.RequestDelay),
		Hold:   duration(f.ResponseDelay),
		Writes: f.WritesPerSecond,
		Reads:  f.ReadsPerSecond,
		Lag:    duration(f.VMListLag),
		Lose: lossWire{
			Next:  f.LostCommits.Count,
			Rate:  f.LostCommits.Probability,
			Seed:  f.LostCommits.Seed,
			Point: f.LostCommits.Point,
			Late:  duration(f.LostCommits.Delay),
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
		Unavailable:     w.Down,
		RequestDelay:    time.Duration(w.Delay),
		ResponseDelay:   time.Duration(w.Hold),
		WritesPerSecond: w.Writes,
		ReadsPerSecond:  w.Reads,
		VMListLag:       time.Duration(w.Lag),
		LostCommits: CommitLoss{
			Count:       w.Lose.Next,
			Probability: w.Lose.Rate,
			Seed:        w.Lose.Seed,
			Point:       w.Lose.Point,
			Delay:       time.Duration(w.Lose.Late),
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
