package servingmodel

import "testing"

const seed = 20261204

// Guards the goodput under overload; the unprotected run shows what it is
// worth.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for _, protected := range []bool{false, true} {
			r := Overload(DefaultOverload(factor, protected, seed))
			t.Logf("factor %.1f protected %v: goodput %.3f wasted %.3f sent/offered %.2f attempts %d wait p99 %s",
				factor, protected, r.Goodput, r.Wasted, float64(r.Sent)/float64(r.Offered), r.Attempts, r.WaitP99)
			if protected && factor >= 2 && r.Goodput < 0.9 {
				t.Errorf("goodput %.3f at %.1f times the capacity", r.Goodput, factor)
			}
		}
	}
}

func TestShare(t *testing.T) {
	for _, instances := range []int{8, 330} {
		for _, skew := range Skews {
			r := Share(DefaultShare(instances, skew, seed))
			t.Logf("%d instances, %s: error %+.3f, windows %+.3f to %+.3f, %.1f entries/s sent by each",
				instances, skew, r.Error, r.Lowest, r.Highest, r.EntriesPerSecond)
		}
	}
}

func TestAffinity(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		r := Affinity(DefaultAffinity(affinity, seed))
		t.Logf("affinity %v: hit share %.3f, most loaded %.2f of the mean, waited %d", affinity, r.HitShare, r.Imbalance, r.Waited)
	}
}

func TestLink(t *testing.T) {
	r := Link(DefaultLink(seed))
	t.Logf("%+v", r)
}
