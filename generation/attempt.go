package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// chunkBytes is about the size of one engine event on the wire.
	chunkWireBytes = 160
	// promptTokenBytes is about how much text one token stands for.
	promptBytesPerToken = 4
)

// place asks for an endpoint for a new attempt.
func (c *Core) placeAttempt(now time.Duration, g *generation, retry bool) {
	a := c.newAttempt(now, g)
	a.placing = true
	a.retry = retry
	r := g.request
	remaining := max(r.MaxTokens-g.nextPosition, 0)
	request := api.PlacementRequest{
		Generation:   r.Generation,
		Kind:         api.KindEngine,
		Model:        r.Model,
		Account:      r.Account,
		Priority:     r.Priority,
		PrefixBlocks: r.PrefixBlocks,
		Tokens:       remaining + len(r.Prompt)/promptBytesPerToken + g.nextPosition,
		Bytes:        len(r.Prompt) + promptBytesPerToken*g.nextPosition + chunkWireBytes*remaining,
		Recovery:     g.interruptedAt != 0,
	}
	request.Exclude = c.excludedEndpoints(g)
	request.SameRegionOnly = c.o.Recovery == RecoverySparing && g.interruptedAt != 0 && g.failedPlacements == 0
	deadline := r.Deadline
	if request.SameRegionOnly {
		// Placement queues a request that finds no free slot; after this time
		// another region is better than a longer wait.
		deadline = min(deadline, now+sameRegionTimeout)
	}
	c.emit(RequestPlacement{Generation: r.Generation, Attempt: a.number, Digest: r.Digest, Request: request, Retry: retry, Deadline: deadline})
}

// excluded lists the endpoints that a new attempt has to avoid: those of the
// other attempts and the one that was lost last.
func (c *Core) excludedEndpoints(g *generation) []api.EndpointID {
	var list []api.EndpointID
	for _, a := range g.attempts {
		if !a.placing {
			list = append(list, a.endpoint.ID)
		}
	}
	// The endpoint that was lost last is allowed again when there is no other.
	if g.lastFailedEndpoint != "" && g.failedPlacements == 0 {
		list = append(list, g.lastFailedEndpoint)
	}
	return list
}

func (c *Core) onPlacementGranted(now time.Duration, ev PlacementGranted) {
	g := c.live[ev.Generation]
	var a *attempt
	if g != nil {
		a = g.attemptByNumber(ev.Attempt)
	}
	if a == nil || !a.placing {
		c.emit(ReleaseGrant{Grant: ev.Grant.ID, Outcome: api.OutcomeCancelled})
		return
	}
	a.placing = false
	a.stream = newStreamName(g.request.ConnectionSalt, a.number)
	a.opened = true
	a.grant = ev.Grant.ID
	a.endpoint = ev.Grant.Endpoint
	a.lastActivityAt = now
	prefix := c.preparePrefix(g, a)
	s := c.endpointOf(a)
	s.running++
	g.sentRequests++
	g.recomputedTokens += len(prefix)
	c.recordStep(g, a, "opened", "")
	fresh := s.suspected || g.interruptedAt != 0
	c.emit(OpenStream{
		Generation: ev.Generation, Attempt: a.number, RequestID: engineRequestID(ev.Generation, a.stream),
		Request: g.request, Endpoint: a.endpoint, Prefix: prefix, NewConnection: fresh,
	})
}

// prefixFor sets where the attempt starts and returns the prefix to send. An
// attempt that starts before the position that is due regenerates and checks
// the part between.
func (c *Core) preparePrefix(g *generation, a *attempt) []uint32 {
	known := g.firstKnown == 0
	switch {
	case c.o.Baseline == BaselineStartOver && g.nextPosition > 0 && !g.request.Stream:
		c.restartResponse(g)
		return nil
	case c.o.Baseline == BaselineStartOver && g.nextPosition > 0:
		a.verifying = true
		return nil
	case c.o.mutation == restartStreamed && g.nextPosition > 0:
		a.nextPosition, a.prefixHash = g.nextPosition, g.prefixHash
		return nil
	case known:
		a.nextPosition, a.prefixHash = g.nextPosition, g.prefixHash
		return g.tokens
	}
	a.verifying = true
	held := g.peerTokens[:min(len(g.peerTokens), g.nextPosition)]
	if len(held) == g.nextPosition && hashTokens(held) != g.prefixHash {
		held = nil // the peer holds another answer
	}
	a.tokens = append([]uint32(nil), held...)
	a.nextPosition, a.prefixHash = len(held), hashTokens(held)
	c.finishVerification(g, a)
	return a.tokens
}

// settle ends the verification of an attempt that has reached the position
// that is due. It reports false if the attempt does not lead there.
func (c *Core) finishVerification(g *generation, a *attempt) bool {
	if !a.verifying || a.nextPosition < g.nextPosition {
		return true
	}
	a.verifying = false
	if a.prefixHash != g.prefixHash && c.o.mutation != skipPrefixCheck {
		return false
	}
	if g.firstKnown > 0 {
		g.texts = append(make([]string, g.firstKnown), g.texts...)
		g.firstKnown, g.tokens = 0, a.tokens
	}
	return true
}

// restart drops what was generated of an answer that is not streamed; the
// caller has not seen any of it.
func (c *Core) restartResponse(g *generation) {
	c.recordStep(g, nil, "restarted", "")
	g.recomputedTokens += g.nextPosition
	g.tokens, g.texts = nil, nil
	g.firstKnown, g.firstText, g.nextPosition, g.prefixHash = 0, 0, 0, 0
	c.emit(DiscardResponse{Conn: g.conn})
}

func (c *Core) onPlacementFailed(now time.Duration, ev PlacementFailed) {
	g := c.live[ev.Generation]
	if g == nil {
		return
	}
	a := g.attemptByNumber(ev.Attempt)
	if a == nil || !a.placing {
		return
	}
	c.endAttempt(g, a, api.OutcomeCancelled, false)
	c.recordStep(g, a, "not placed", ev.Err.Reason)
	if c.isFinalFailure(g, ev.Err.Reason) {
		c.finishGeneration(now, g, ev.Err.WithRun(c.runStatus(g)))
		return
	}
	g.failedPlacements++
	if g.failedPlacements == 1 {
		c.enqueueContinuation(now, g) // any region, any endpoint
		return
	}
	c.enqueueWithBackoff(now, g)
}

// isFinal reports whether a failed placement ends the answer. An answer that
// has started waits for an endpoint until its deadline.
func (c *Core) isFinalFailure(g *generation, why reason.Reason) bool {
	if why == reason.CrashSuspect || why == reason.ModelUnknown {
		return true
	}
	started := g.sentRequests > 0 || g.producedOutput
	return !started && (g.interruptedAt == 0 || why == reason.RetryBudget)
}

// startReattach sends the request for an engine's existing stream.
func (c *Core) startReattach(g *generation, a *attempt, from int, hash uint64) {
	a.nextPosition, a.prefixHash = from, hash
	c.endpointOf(a).running++
	g.sentRequests++
	c.recordStep(g, a, "reattached", "")
	c.emit(ReattachStream{
		Generation: g.request.Generation, Attempt: a.number, RequestID: engineRequestID(g.request.Generation, a.stream),
		Endpoint: a.endpoint, From: from,
	})
}

// reattach replaces the connection of an attempt by a new one to the same
// stream. The grant stays.
func (c *Core) reattachAttempt(now time.Duration, g *generation, old *attempt) {
	a := c.newAttempt(now, g)
	a.endpoint = old.endpoint
	a.stream = old.stream
	a.grant, old.grant = old.grant, 0
	a.unreportedTokens, old.unreportedTokens = old.unreportedTokens, 0
	a.verifying, a.tokens = old.verifying, old.tokens
	a.reattaches = old.reattaches + 1
	c.endAttempt(g, old, api.OutcomeCancelled, false)
	c.startReattach(g, a, old.nextPosition, old.prefixHash)
}

func (c *Core) onStreamClosed(now time.Duration, ev StreamClosed) {
	g := c.live[ev.Generation]
	if g == nil {
		return
	}
	a := g.attemptByNumber(ev.Attempt)
	if a == nil || a.placing {
		return
	}
	switch ev.Kind {
	case ClosedAfterSend:
		c.onClosedAfterSend(now, g, a)
	case ClosedConnectFailed:
		g.sentRequests--
		c.markSuspect(a)
		c.failAttempt(now, g, a, api.OutcomeDied, reason.ConnectFailed, false)
	case ClosedNotStarted:
		g.sentRequests--
		c.failAttempt(now, g, a, api.OutcomeRefused, reason.EngineRefused, false)
	case ClosedStreamNotFound:
		g.sentRequests--
		c.failAttempt(now, g, a, api.OutcomeCancelled, reason.NotFound, false)
	case ClosedErrorResponse:
		c.failAttempt(now, g, a, api.OutcomeRefused, reason.EngineRefused, false)
	}
}

// onClosedMidway probes the engine, since only a refused connection proves
// its death, and recovers the stream at once.
func (c *Core) onClosedAfterSend(now time.Duration, g *generation, a *attempt) {
	c.markSuspect(a)
	if c.o.Baseline == BaselineFixedTimeout && !a.suspected {
		a.suspected = true // the baseline acts when its timeout is over
		return
	}
	c.probeEndpoint(a)
	if c.o.Recovery == RecoverySparing && c.o.Baseline == "" && a.reattaches < maxReattachesWithoutToken && a.receivedChunk {
		if g.interruptedAt == 0 {
			g.interruptedAt = now
		}
		c.recordStep(g, a, "closed", reason.EngineClosed)
		c.recordInterrupted(now, g, a)
		c.reattachAttempt(now, g, a)
		return
	}
	c.failAttempt(now, g, a, api.OutcomeDied, reason.EngineClosed, false)
}

func (c *Core) recordInterrupted(now time.Duration, g *generation, a *attempt) {
	s := c.endpointOf(a)
	for len(s.interrupted) > 0 && now-s.interrupted[0].at > crashAttributionWindow {
		s.interrupted = s.interrupted[1:]
	}
	s.interrupted = append(s.interrupted, interruptedContent{at: now, digest: g.request.Digest})
}

// lose ends an attempt and looks for a continuation if no other attempt can
// deliver.
func (c *Core) failAttempt(now time.Duration, g *generation, a *attempt, outcome api.Outcome, why reason.Reason, cancel bool) {
	c.recordStep(g, a, "lost", why)
	if why == reason.EngineClosed && outcome == api.OutcomeDied {
		c.recordInterrupted(now, g, a)
	}
	if g.interruptedAt == 0 {
		g.interruptedAt = now
	}
	g.lastFailedEndpoint = a.endpoint.ID
	g.lastNotStarted = outcome == api.OutcomeRefused || why == reason.ConnectFailed
	c.endAttempt(g, a, outcome, cancel)
	if g.hasHealthyAttempt(nil) {
		return
	}
	g.attemptsWithoutToken++
	if g.attemptsWithoutToken >= maxAttemptsWithoutToken {
		c.finishGeneration(now, g, c.generationError(g, reason.AttemptsExhausted, "no attempt could continue the answer"))
		return
	}
	c.enqueueWithBackoff(now, g)
	if s := c.endpointOf(a); s.probing && c.o.Baseline == "" && why != reason.EngineSilent {
		g.awaitedProbe = a.endpoint.ID
		g.awaitProbeUntil = now + probeResultTimeout
	}
}
