package route

const (
	// trustWeight is the weight of a new report in the statistics of a trust.
	trustWeight = 1.0 / 256
	// trustSpread is the variance of own calls for each slot below which reports cannot be judged.
	trustSpread = 0.005
)

// trust measures whether load reports tell of the present. A report that does includes the calls of this entry, so it
// rises and falls with them; a report that is old or made up does not. Trust is the slope of the regression of reported
// on own calls, doubled because other entries avoid targets that are busy with calls of this one.
type trust struct {
	reports  int
	own      float64
	reported float64
	variance float64
	joint    float64
}

// add takes the calls that this entry has at a target and those that the target reports, both for each slot.
func (t *trust) add(own, reported float64) {
	t.reports++
	w := max(trustWeight, 1/float64(t.reports))
	do, dr := own-t.own, reported-t.reported
	t.own += w * do
	t.reported += w * dr
	t.variance += w * ((1-w)*do*do - t.variance)
	t.joint += w * ((1-w)*do*dr - t.joint)
}

// level returns how much reports count, from 0 to 1.
func (t *trust) level() float64 {
	if t.variance < trustSpread || float64(t.reports) < 1/trustWeight {
		return 1
	}
	return min(max(2*t.joint/t.variance, 0), 1)
}
