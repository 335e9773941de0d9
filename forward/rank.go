package forward

// lowestQueueRank is the last rank in an engine's queue; engines support ten
// ranks.
const lowestQueueRank = 10

// queueRank converts a priority into a rank in the engine's queue.
func queueRank(priority int) int { return min(lowestQueueRank, 1+max(0, priority)) }
