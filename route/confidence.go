package route

const (
	// confidenceWeight is the weight of a new report in the statistics of reportConfidence.
	confidenceWeight = 1.0 / 256
	// minOwnLoadVariance is the variance of this entry's calls per slot below which reports cannot be judged.
	minOwnLoadVariance = 0.005
)

// reportConfidence measures whether load reports reflect the current load. A current report includes the calls of this
// entry, so it rises and falls with them; a stale or fabricated one does not. The confidence is the slope of the linear
// regression of the reported load on the entry's own load. It is doubled because other entries avoid targets that are
// busy with calls of this one, which lowers the slope.
type reportConfidence struct {
	reports      int
	meanOwn      float64
	meanReported float64
	variance     float64
	covariance   float64
}

// add records the calls of this entry at a target and the calls that the target reports, both per slot.
func (c *reportConfidence) add(own, reported float64) {
	c.reports++
	w := max(confidenceWeight, 1/float64(c.reports))
	do, dr := own-c.meanOwn, reported-c.meanReported
	c.meanOwn += w * do
	c.meanReported += w * dr
	c.variance += w * ((1-w)*do*do - c.variance)
	c.covariance += w * ((1-w)*do*dr - c.covariance)
}

// level returns the weight of reports, from 0 to 1.
func (c *reportConfidence) level() float64 {
	if c.variance < minOwnLoadVariance || float64(c.reports) < 1/confidenceWeight {
		return 1
	}
	return min(max(2*c.covariance/c.variance, 0), 1)
}
