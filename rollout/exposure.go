package rollout

import "time"

const (
	// canaryPart is the part of the exposure share that the canary phase uses. The
	// rest is for requests that are sent with grants from before.
	canaryPart = 0.6
	// slackPart is the part of the exposure slack that one coordinator uses. There can
	// be two while the instances disagree about their members.
	slackPart = 0.5
	// maxCanaryShare bounds the share of a small service, so that the old version has
	// enough requests to compare.
	maxCanaryShare = 0.5
	// slackTime is the time over which the slack is used at the earliest. It is longer
	// than a grant that is no longer renewed is valid.
	slackTime = GrantLifetime + ReportInterval
	// joinTime is the time after which a coordinator has the reports of all instances.
	joinTime = 2 * ReportInterval
)

// canaryShare returns the share that the exposure bound allows before the version is
// judged good. The slack lets a small service have enough responses, or a large one
// have them sooner.
func (r *rollout) canaryShare(now time.Duration) float64 {
	if r.engines[r.order.To] == 0 {
		return 0
	}
	all := r.latest.byRoute[allRoutes]
	sent, requests := float64(all.new.Sent), float64(all.new.Sent+all.old.Sent)
	slack := slackPart * float64(r.options.ExposeSlack)
	if sent >= r.options.ExposeShare*requests+slack {
		return 0
	}
	share := canaryPart * r.options.ExposeShare
	// While the endpoints may be cold, responses say little.
	if now-r.joinedAt < joinTime || now-r.startedAt < coldTime || r.seen.perSecond <= 0 {
		return share
	}
	spare := max(0, share*requests+slack-sent)
	return min(share+spare/(r.seen.perSecond*slackTime.Seconds()), max(share, maxCanaryShare))
}
