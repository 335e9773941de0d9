package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// chunkWireBytes is the approximate size of one engine event on the wire, for
	// the link load that placement books.
	chunkWireBytes = 160
	// promptBytesPerToken is the approximate length of the text of one token.
	promptBytesPerToken = 4
)

// placeAttempt creates an attempt and requests an endpoint for it.
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
		LinkBytes:    len(r.Prompt) + promptBytesPerToken*g.nextPosition + chunkWireBytes*remaining,
		Recovery:     g.interruptedAt != 0,
	}
	request.Exclude = c.excludedEndpoints(g)
	request.SameRegionOnly = c.o.Recovery == RecoverySparing && g.interruptedAt != 0 && g.failedPlacements == 0
	deadline := r.Deadline
	if request.SameRegionOnly {
		// Placement queues a request that finds no free slot. After
		// sameRegionTimeout another region is better than a longer wait.
		deadline = min(deadline, now+sameRegionTimeout)
	}
	c.emit(RequestPlacement{Generation: r.Generation, Attempt: a.number, Digest: r.Digest, Request: request, Retry: retry, Deadline: deadline})
}

// excludedEndpoints returns the endpoints that a new attempt has to avoid: those
// of the other attempts and that of the attempt that failed last.
func (c *Core) excludedEndpoints(g *generation) []api.EndpointID {
	var list []api.EndpointID
	for _, a := range g.attempts {
		if !a.placing {
			list = append(list, a.endpoint.ID)
		}
	}
	// After a failed placement the endpoint that failed last is allowed again,
	// since there may be no other.
	if g.lastFailedEndpoint != "" && g.failedPlacements == 0 {
		list = append(list, g.lastFailedEndpoint)
	}
	return list
}

func (c *Core) onPlacementGranted(now time.Duration, ev PlacementGranted) {
	g := c.byID[ev.Generation]
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
	a.newStream, a.opened = true, true
	a.grant = ev.Grant.ID
	a.endpoint = ev.Grant.Endpoint
	a.lastActivityAt = now
	prefix := c.preparePrefix(g, a)
	s := c.endpointOf(a)
	s.openStreams++
	g.sentRequests++
	g.recomputedTokens += len(prefix)
	c.recordStep(g, a, "opened", "")
	newConnection := s.suspected || g.interruptedAt != 0
	c.emit(OpenStream{
		Generation: ev.Generation, Attempt: a.number, RequestID: engineRequestID(ev.Generation, a.stream),
		Request: g.request, Endpoint: a.endpoint, Prefix: prefix, NewConnection: newConnection,
	})
}

// preparePrefix sets the position where the attempt starts and returns the
// tokens to send as prefix. An attempt that starts before the generation's next
// position regenerates and verifies the tokens in between. The start-over
// baseline discards a response that is not streamed instead.
func (c *Core) preparePrefix(g *generation, a *attempt) []uint32 {
	prefixKnown := g.firstKnown == 0
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
	case prefixKnown:
		a.nextPosition, a.prefixHash = g.nextPosition, g.prefixHash
		return g.tokens
	}
	a.verifying = true
	peerPrefix := g.peerTokens[:min(len(g.peerTokens), g.nextPosition)]
	if len(peerPrefix) == g.nextPosition && hashTokens(peerPrefix) != g.prefixHash {
		peerPrefix = nil // the peer stores the tokens of another response
	}
	a.verifyTokens = append([]uint32(nil), peerPrefix...)
	a.nextPosition, a.prefixHash = len(peerPrefix), hashTokens(peerPrefix)
	c.finishVerification(g, a)
	return a.verifyTokens
}

// finishVerification ends the verification once the attempt has reached the
// generation's next position, and takes over the verified tokens as known ones.
// It reports false only if they differ from those that the caller has.
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
		g.firstKnown, g.tokens = 0, a.verifyTokens
	}
	return true
}

// restartResponse discards the tokens of a response that is not streamed; the
// caller has not received any of them.
func (c *Core) restartResponse(g *generation) {
	c.recordStep(g, nil, "restarted", "")
	g.recomputedTokens += g.nextPosition
	g.tokens, g.texts = nil, nil
	g.firstKnown, g.firstText, g.nextPosition, g.prefixHash = 0, 0, 0, 0
	c.emit(DiscardResponse{Conn: g.conn})
}

func (c *Core) onPlacementFailed(now time.Duration, ev PlacementFailed) {
	g := c.byID[ev.Generation]
	if g == nil {
		return
	}
	a := g.attemptByNumber(ev.Attempt)
	if a == nil || !a.placing {
		return
	}
	c.endAttempt(g, a, api.OutcomeCancelled, false)
	c.recordStep(g, a, "not placed", ev.Err.Reason)
	if c.isFinalPlacementFailure(g, ev.Err.Reason) {
		c.finishGeneration(now, g, ev.Err.WithRun(c.runStatus(g)))
		return
	}
	g.failedPlacements++
	if g.failedPlacements == 1 {
		c.enqueueContinuation(now, g) // now in any region and on any endpoint
		return
	}
	c.enqueueWithBackoff(now, g)
}

// isFinalPlacementFailure reports whether a failed placement ends the generation. A
// generation that has started waits for an endpoint until its deadline.
func (c *Core) isFinalPlacementFailure(g *generation, why reason.Reason) bool {
	if why == reason.CrashSuspect || why == reason.ModelUnknown {
		return true
	}
	started := g.sentRequests > 0 || g.producedOutput
	return !started && (g.interruptedAt == 0 || why == reason.RetryBudget)
}

// startReattach resumes an existing stream of an engine at a position.
func (c *Core) startReattach(g *generation, a *attempt, from int, hash uint64) {
	a.nextPosition, a.prefixHash = from, hash
	c.endpointOf(a).openStreams++
	g.sentRequests++
	c.recordStep(g, a, "reattached", "")
	c.emit(ReattachStream{
		Generation: g.request.Generation, Attempt: a.number, RequestID: engineRequestID(g.request.Generation, a.stream),
		Endpoint: a.endpoint, From: from,
	})
}

// reattachAttempt replaces an attempt by a new one that continues the same stream
// on a new connection. The new attempt takes over the grant.
func (c *Core) reattachAttempt(now time.Duration, g *generation, old *attempt) {
	a := c.newAttempt(now, g)
	a.endpoint = old.endpoint
	a.stream, a.opened = old.stream, old.opened
	a.grant, old.grant = old.grant, 0
	a.unreportedTokens, old.unreportedTokens = old.unreportedTokens, 0
	a.verifying, a.verifyTokens = old.verifying, old.verifyTokens
	a.reattaches = old.reattaches + 1
	c.endAttempt(g, old, api.OutcomeCancelled, false)
	c.startReattach(g, a, old.nextPosition, old.prefixHash)
}

func (c *Core) onStreamClosed(now time.Duration, ev StreamClosed) {
	g := c.byID[ev.Generation]
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
		c.failAttempt(now, g, a, api.OutcomeCrashed, reason.ConnectFailed, false)
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

// onClosedAfterSend probes the engine, since a closed connection does not prove
// that it crashed. Sparing recovery reattaches at once. Otherwise the attempt
// fails, and its continuation waits for the probe for at most probeResultTimeout.
func (c *Core) onClosedAfterSend(now time.Duration, g *generation, a *attempt) {
	c.markSuspect(a)
	if c.o.Baseline == BaselineFixedTimeout && !a.suspected {
		a.suspected = true // checkSilence acts after suspectedAttemptTimeout
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
	c.failAttempt(now, g, a, api.OutcomeCrashed, reason.EngineClosed, false)
}

// recordInterrupted records the content of an interrupted stream, in case its
// engine turns out to have crashed.
func (c *Core) recordInterrupted(now time.Duration, g *generation, a *attempt) {
	s := c.endpointOf(a)
	for len(s.interrupted) > 0 && now-s.interrupted[0].at > crashAttributionWindow {
		s.interrupted = s.interrupted[1:]
	}
	s.interrupted = append(s.interrupted, interruptedContent{at: now, digest: g.request.Digest})
}

// failAttempt ends an attempt and enqueues a continuation unless another attempt
// can still deliver. After maxAttemptsWithoutToken failures in a row it ends the
// generation.
func (c *Core) failAttempt(now time.Duration, g *generation, a *attempt, outcome api.Outcome, why reason.Reason, cancel bool) {
	c.recordStep(g, a, "lost", why)
	if why == reason.EngineClosed && outcome == api.OutcomeCrashed {
		c.recordInterrupted(now, g, a)
	}
	if g.interruptedAt == 0 {
		g.interruptedAt = now
	}
	g.lastFailedEndpoint = a.endpoint.ID
	g.lastAttemptNotStarted = outcome == api.OutcomeRefused || why == reason.ConnectFailed
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
	// Content that crashed the engine has to be marked before it is placed again.
	if s := c.endpointOf(a); s.probing && c.o.Baseline == "" && why != reason.EngineSilent {
		g.awaitedProbeOf = a.endpoint.ID
		g.awaitProbeUntil = now + probeResultTimeout
	}
}
