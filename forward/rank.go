package forward

// lastRank is the last place in an engine's queue; engines know ten.
const lastRank = 10

// queueRank is where a request with a priority waits at its engine.
func queueRank(priority int) int { return min(lastRank, 1+max(0, priority)) }
