package rollout

import "math"

// A sequential test adds, for each response of the new version, the logarithm of the
// likelihood ratio between a worse version and one like the old version, and starts anew
// when the sum falls below zero. The last good responses can therefore not hide that a
// version has become bad.
const (
	// convicted is the sum that reverts a version: ln of a likelihood ratio of 10,000.
	convicted = 9.2
	// suspected is the sum from which a version is not judged good: a ratio of 20.
	suspected = 3.0
	// probable is the sum that reverts a version for which there is no time left to find
	// out more: a ratio of 400.
	probable = 6.0
	// clearing is the logarithm of the likelihood ratio between a version that fails
	// clearedRate of its responses and one like the old version, below which the former
	// is excluded. One in 20 of such versions passes.
	clearing    = -3.0
	clearedRate = 0.05
	// maxScore bounds the sum, so that a version that was slow when cold recovers with
	// a few good responses.
	maxScore = convicted + 2
	// minResponses is the number of responses below which nothing is reverted.
	minResponses = 8
	// minBad is the number of bad responses below which nothing is reverted. Two can be
	// one fault that hit two requests.
	minBad = 3
	// minRatio is how many times worse than the old version a version has to be.
	minRatio = 2.5
)

// score is the state of the tests of one kind of bad response on one route, one for each
// alternative rate.
type score []float64

// add applies responses, where rate is the rate of the old version and alternatives are
// the rates that a worse version may have. A weight below 1 asks for more evidence.
func (s *score) add(e Evidence, rate float64, alternatives []float64, weight float64) {
	if len(*s) == 0 {
		*s = make(score, len(alternatives))
	}
	bad, n := e.Bad, max(e.Responses, e.Bad)
	for i, worse := range alternatives {
		if worse < minRatio*rate {
			worse = minRatio * rate
		}
		if worse >= 1 {
			(*s)[i] = 0
			continue
		}
		ratio := float64(bad)*math.Log(worse/rate) + float64(n-bad)*math.Log((1-worse)/(1-rate))
		(*s)[i] = min(max((*s)[i]+weight*ratio, 0), maxScore)
	}
}

func (s score) max() float64 {
	highest := 0.0
	for _, v := range s {
		highest = max(highest, v)
	}
	return highest
}

// rateOf estimates a rate from bad out of n responses. It is above the observed rate
// while there are few.
func rateOf(e Evidence) float64 {
	return min((float64(e.Bad)+1)/(float64(e.Responses)+50), 0.5)
}
