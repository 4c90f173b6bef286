package bench

import "time"

// Deployment describes a user's targets and callers. Only one service is run, because services share no state.
type Deployment struct {
	Name    string
	Domains int
	Targets int
	Slots   int
	// InterDomainRTT is the round trip between failure domains, Client the round trip to callers.
	InterDomainRTT time.Duration
	ClientRTT      time.Duration
	// MeanServiceTime is the mean time to run one call; single calls vary as a log-normal distribution with sigma 0.5.
	MeanServiceTime time.Duration
	Timeout         time.Duration
}

// Beaconwatch and Mandacaru are the current deployments. Work and Deadline are assumptions; the rest is from section 1
// of the design.
var (
	Beaconwatch = Deployment{
		Name:            "beaconwatch",
		Domains:         3,
		Targets:         10,
		Slots:           2,
		InterDomainRTT:  time.Millisecond,
		ClientRTT:       time.Millisecond,
		MeanServiceTime: 8 * time.Millisecond,
		Timeout:         150 * time.Millisecond,
	}
	Mandacaru = Deployment{
		Name:            "mandacaru",
		Domains:         4,
		Targets:         10,
		Slots:           4,
		InterDomainRTT:  1500 * time.Microsecond,
		ClientRTT:       3 * time.Millisecond,
		MeanServiceTime: 12 * time.Millisecond,
		Timeout:         200 * time.Millisecond,
	}
)

// EntryCount is the number of entry VMs of each user.
const EntryCount = 6

// entryWeights is the uneven distribution of callers over the entries.
var entryWeights = [EntryCount]float64{1.4, 1.2, 1, 1, 0.8, 0.6}

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
	NoFault        Scenario = "none"
	Stragglers     Scenario = "stragglers" // two targets run five times slower one second after the warm-up
	FastFailer     Scenario = "fastfail"   // one target fails every call in 0.2 ms one second after the warm-up
	StaleReports   Scenario = "misleading" // all reports are 500 ms old, and three targets always report no load
	NoisyNeighbors Scenario = "noisy"      // targets run at half speed for 60 ms, about every 400 ms
	ColdRestarts   Scenario = "falls"      // every 2 s a target restarts cold
	DomainOutage   Scenario = "departure"  // one failure domain vanishes from 1 s to 3 s after the warm-up and returns cold
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{NoFault, Stragglers, FastFailer, StaleReports, NoisyNeighbors, ColdRestarts, DomainOutage}

// Policy selects targets.
type Policy string

// The policies. All but Route keep only the number of calls in flight, and admit calls by shares without a limit of
// their own.
const (
	Random        Policy = "random"
	RoundRobin    Policy = "round robin"
	LeastInFlight Policy = "least in flight"
	TwoChoices    Policy = "two choices"
	Route         Policy = "route"
	// Central is a scheduler that knows all targets and all calls. Only RunQueueing has it.
	Central Policy = "central"
)

// Policies lists all policies.
var Policies = []Policy{Random, RoundRobin, LeastInFlight, TwoChoices, Route}

// Ownership says which entries may send to a cold target.
type Ownership string

// The alternatives.
const (
	SingleOwner     Ownership = "single owner" // the design
	Independent     Ownership = "independent"  // each entry, up to what the target bears
	EvenQuota       Ownership = "even quota"   // each entry, up to an equal part of what the target bears, rounded down
	OneCallPerEntry Ownership = "limit one"    // each entry, one call
	NoTakeoverDelay Ownership = "no wait"      // the design without the wait of a new owner
)

// Config is one run.
type Config struct {
	Shape    Deployment
	Policy   Policy
	Scenario Scenario
	// Load is the offered load as a fraction of the capacity of all slots.
	Load float64
	// ExtraLoad is additional load of the largest caller.
	ExtraLoad float64
	Seed      uint64
	// Duration is the measured time, after Warmup.
	Duration time.Duration

	// StickyCallers callers use one entry each, but for the largest, which uses all.
	StickyCallers bool
	// NoUsageExchange entries do not exchange what callers use.
	NoUsageExchange bool

	Ownership Ownership
	// ColdConcurrency is how many calls a cold target can handle. The default is 1.
	ColdConcurrency int
	// ColdDuration is how long a cold start lasts. The default is 1 s.
	ColdDuration time.Duration
	// Churn lets entries die, join and pause, so that cold targets change owners.
	Churn bool
}

// WarmupDuration is the time before the measurement in a run.
const WarmupDuration = 2 * time.Second
