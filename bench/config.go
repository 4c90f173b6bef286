package bench

import "time"

// Shape describes a user's targets and callers. Only one service is run, because services share no state.
type Shape struct {
	Name    string
	Domains int
	Targets int
	Slots   int
	// Between is the round trip between failure domains, Client the round trip to callers.
	Between time.Duration
	Client  time.Duration
	// Work is the mean time to run one call; single calls vary as a log-normal distribution with sigma 0.5.
	Work     time.Duration
	Deadline time.Duration
}

// Beaconwatch and Mandacaru are the current deployments. Work and Deadline are assumptions; the rest is from section 1
// of the design.
var (
	Beaconwatch = Shape{
		Name:     "beaconwatch",
		Domains:  3,
		Targets:  10,
		Slots:    2,
		Between:  time.Millisecond,
		Client:   time.Millisecond,
		Work:     8 * time.Millisecond,
		Deadline: 150 * time.Millisecond,
	}
	Mandacaru = Shape{
		Name:     "mandacaru",
		Domains:  4,
		Targets:  10,
		Slots:    4,
		Between:  1500 * time.Microsecond,
		Client:   3 * time.Millisecond,
		Work:     12 * time.Millisecond,
		Deadline: 200 * time.Millisecond,
	}
)

// Entries is the number of entry VMs of each user.
const Entries = 6

// entryWeights is the uneven distribution of callers over the entries.
var entryWeights = [Entries]float64{1.4, 1.2, 1, 1, 0.8, 0.6}

// Caller is one caller's part of the load and the share of capacity owed to it.
type Caller struct {
	Name string
	Load float64
	// Share is the fraction owed.
	Share float64
}

// Callers are one large caller beyond its share, three medium ones and two small ones within their shares at all loads
// up to 110% of capacity.
var Callers = []Caller{
	{
		Name:  "large",
		Load:  0.55,
		Share: 0.40,
	},
	{
		Name:  "medium1",
		Load:  0.14,
		Share: 0.17,
	},
	{
		Name:  "medium2",
		Load:  0.14,
		Share: 0.17,
	},
	{
		Name:  "medium3",
		Load:  0.14,
		Share: 0.17,
	},
	{
		Name:  "small",
		Load:  0.02,
		Share: 0.03,
	},
	{
		Name:  "smallest",
		Load:  0.01,
		Share: 0.02,
	},
}

// Scenario is what goes wrong in a run.
type Scenario string

// The scenarios.
const (
	None       Scenario = "none"
	Stragglers Scenario = "stragglers" // two targets run five times slower one second after the warm-up
	FastFailer Scenario = "fastfail"   // one target fails every call in 0.2 ms one second after the warm-up
	Misleading Scenario = "misleading" // all reports are 500 ms old, and three targets always report no load
	Noisy      Scenario = "noisy"      // targets run at half speed for 60 ms, about every 400 ms
	Falls      Scenario = "falls"      // every 2 s a target restarts cold
	Departure  Scenario = "departure"  // one failure domain vanishes from 1 s to 3 s after the warm-up and returns cold
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{None, Stragglers, FastFailer, Misleading, Noisy, Falls, Departure}

// Policy selects targets.
type Policy string

// The policies. All but Route keep only the number of calls in flight, and admit calls by shares without a limit of
// their own.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round robin"
	Least      Policy = "least in flight"
	TwoChoices Policy = "two choices"
	Route      Policy = "route"
)

// Policies lists all policies.
var Policies = []Policy{Random, RoundRobin, Least, TwoChoices, Route}

// Ownership says which entries may send to a cold target.
type Ownership string

// The alternatives.
const (
	SingleOwner Ownership = "single owner" // the design
	Independent Ownership = "independent"  // each entry, up to what the target bears
	EvenQuota   Ownership = "even quota"   // each entry, up to an equal part of what the target bears, rounded down
	LimitOne    Ownership = "limit one"    // each entry, one call
	NoWait      Ownership = "no wait"      // the design without the wait of a new owner
)

// Config is one run.
type Config struct {
	Shape    Shape
	Policy   Policy
	Scenario Scenario
	// Load is the offered load as a fraction of the capacity of all slots.
	Load float64
	// Flood is additional load of the largest caller.
	Flood float64
	Seed  uint64
	// Length is the measured time, after Warmup.
	Length time.Duration

	// Sticky callers use one entry each, but for the largest, which uses all.
	Sticky bool
	// Alone entries do not exchange what callers use.
	Alone bool

	Ownership Ownership
	// Bear is how many calls a cold target can handle. The default is 1.
	Bear int
	// ColdTime is how long a cold start lasts. The default is 1 s.
	ColdTime time.Duration
	// Churn lets entries die, join and pause, so that cold targets change owners.
	Churn bool
}

// Warmup is the time before the measurement in a run.
const Warmup = 2 * time.Second
