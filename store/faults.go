package store

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults is the set of faults that a Memory injects. The zero value injects none.
type Faults struct {
	// Unavailable makes every new request fail as Unavailable. Commits that are in progress fail as Ambiguous.
	Unavailable bool
	// RequestDelay is the time from the arrival of a request to its effect, ResponseDelay the time from the effect to the
	// response. A commit takes effect even if its context ends during RequestDelay.
	RequestDelay  time.Duration
	ResponseDelay time.Duration
	// LostCommits selects commits that fail as Ambiguous.
	LostCommits CommitLoss
	// WritesPerSecond and ReadsPerSecond limit the rates of requests to the table; requests above them fail as Throttled.
	// 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// VMListLag is the age of the list that VMs().List returns.
	VMListLag time.Duration
}

// CommitLoss selects the commits whose request or response is lost: the next Count commits, and after them each commit
// with the given Probability. Seed is the seed of the random numbers.
type CommitLoss struct {
	Count       int
	Probability float64
	Seed        uint64
	Point       LossPoint
	// Delay is the time from the error to the effect of a commit, for LossPointDelayed.
	Delay time.Duration
}

// LossPoint says what is lost of a commit, and thereby whether and when the commit takes effect.
type LossPoint string

// The points of loss.
const (
	// LossPointResponse loses the response: the commit has taken effect.
	LossPointResponse LossPoint = ""
	// LossPointRequest loses the request: the commit never takes effect.
	LossPointRequest LossPoint = "before"
	// LossPointDelayed delays the request: the commit takes effect after its caller has received the error, if its checks
	// hold at that time.
	LossPointDelayed LossPoint = "late"
	// LossPointRandom stands for one of the other points, chosen at random for each commit.
	LossPointRandom LossPoint = "any"
)

var definiteLossPoints = []LossPoint{LossPointResponse, LossPointRequest, LossPointDelayed}

// Validate returns an error of kind Invalid if a value is out of range or the point of loss is unknown.
func (f Faults) Validate() error {
	switch f.LostCommits.Point {
	case LossPointResponse, LossPointRequest, LossPointDelayed, LossPointRandom:
	default:
		return newError(Invalid, errors.Newf("unknown point of loss %q", f.LostCommits.Point))
	}
	if f.RequestDelay < 0 || f.ResponseDelay < 0 || f.VMListLag < 0 || f.LostCommits.Delay < 0 ||
		f.WritesPerSecond < 0 || f.ReadsPerSecond < 0 || f.LostCommits.Count < 0 {
		return newError(Invalid, errors.New("durations, rates and counts of faults must not be negative"))
	}
	if f.LostCommits.Probability < 0 || f.LostCommits.Probability > 1 {
		return newError(Invalid, errors.Newf("loss probability %v is not between 0 and 1", f.LostCommits.Probability))
	}
	return nil
}

// faultsJSON is the JSON form of Faults, with durations as strings such as "250ms".
type faultsJSON struct {
	Unavailable     bool           `json:"down,omitempty"`
	RequestDelay    duration       `json:"delay,omitzero"`
	ResponseDelay   duration       `json:"hold,omitzero"`
	LostCommits     commitLossJSON `json:"lose,omitzero"`
	WritesPerSecond int            `json:"writes,omitempty"`
	ReadsPerSecond  int            `json:"reads,omitempty"`
	VMListLag       duration       `json:"lag,omitzero"`
}

type commitLossJSON struct {
	Count       int       `json:"next,omitempty"`
	Probability float64   `json:"rate,omitempty"`
	Seed        uint64    `json:"seed,omitempty"`
	Point       LossPoint `json:"point,omitempty"`
	Delay       duration  `json:"late,omitzero"`
}

// MarshalJSON encodes durations as strings.
func (f Faults) MarshalJSON() ([]byte, error) {
	return json.Marshal(faultsJSON{
		Unavailable:     f.Unavailable,
		RequestDelay:    duration(f.RequestDelay),
		ResponseDelay:   duration(f.ResponseDelay),
		WritesPerSecond: f.WritesPerSecond,
		ReadsPerSecond:  f.ReadsPerSecond,
		VMListLag:       duration(f.VMListLag),
		LostCommits: commitLossJSON{
			Count:       f.LostCommits.Count,
			Probability: f.LostCommits.Probability,
			Seed:        f.LostCommits.Seed,
			Point:       f.LostCommits.Point,
			Delay:       duration(f.LostCommits.Delay),
		},
	})
}

// UnmarshalJSON decodes durations from strings. It rejects unknown fields, so that a misspelled fault is not ignored.
func (f *Faults) UnmarshalJSON(data []byte) error {
	var w faultsJSON
	if err := readJSON(bytes.NewReader(data), &w); err != nil {
		return errors.Wrap(err, "decode faults")
	}
	*f = Faults{
		Unavailable:     w.Unavailable,
		RequestDelay:    time.Duration(w.RequestDelay),
		ResponseDelay:   time.Duration(w.ResponseDelay),
		WritesPerSecond: w.WritesPerSecond,
		ReadsPerSecond:  w.ReadsPerSecond,
		VMListLag:       time.Duration(w.VMListLag),
		LostCommits: CommitLoss{
			Count:       w.LostCommits.Count,
			Probability: w.LostCommits.Probability,
			Seed:        w.LostCommits.Seed,
			Point:       w.LostCommits.Point,
			Delay:       time.Duration(w.LostCommits.Delay),
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
