package balance

import (
	"math"
	"time"
)

const (
	// prefillSpeedWeight and decodeSpeedWeight are the weights of one measurement in the
	// moving averages of an endpoint's speed. A generation has one prefill and about 130
	// events, so one generation that ran while the engine was slow shows it.
	prefillSpeedWeight = 0.1
	decodeSpeedWeight  = 0.03
	// maxSpeedStep bounds the logarithm of one measurement relative to the average. A
	// prompt of another instance that is not known yet makes one event five times later,
	// and must not count as a slow engine.
	maxSpeedStep = 0.7
	// minSpeed and maxSpeed bound the logarithm of an endpoint's slowness relative to the
	// average of its service.
	minSpeed = -0.5
	maxSpeed = 2.1
	// speedHalfLife is the time after which half of the measured difference from the
	// service's average is forgotten without new measurements, so that an endpoint that
	// was slow or failed requests is tried again.
	speedHalfLife = 8 * time.Second
	// serviceSpeedWeight is the weight of one measurement in the averages of a service.
	serviceSpeedWeight = 0.01
	// decodeSlowdownPerRun is by how much each further running generation lengthens a
	// decoding step: 0.153 ms of 4.63 ms.
	decodeSlowdownPerRun = 0.033
	// decodeSlowdownByPrefill is the factor by which a prefill lengthens the time between
	// events: 31 ms per token instead of 6 ms.
	decodeSlowdownByPrefill = 5.2
	// stallFactor is the multiple of the expected time between two events from which it
	// counts as a stall. It is three times what a prefill causes.
	stallFactor = 16.0
	// stallWeight is how much of a failed request a stall counts as.
	stallWeight = 0.3
	// soloCost is the time that a generation takes on an idle engine (5 s), in units of
	// the time that each further running generation adds (1.1 s).
	soloCost = 4.4
)

// speed is how slow an endpoint is relative to the average of its service, as moving
// averages of logarithms. It is zero for the average.
type speed struct {
	prefill   float64
	decode    float64
	prefillAt time.Duration
	decodeAt  time.Duration
	failureAt time.Duration // last change of the error rate
}

// serviceSpeed contains the averages of a service, as logarithms of milliseconds.
type serviceSpeed struct {
	prefillPerToken, event float64
	hasPrefill, hasEvent   bool
}

// decay returns the part of a measured difference that is left after a time without
// measurements.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// update adds a measurement to the average of an endpoint.
func update(average float64, at *time.Duration, now time.Duration, measured, weight float64) float64 {
	average *= decay(now-*at, speedHalfLife)
	*at = now
	average += weight * min(max(measured-average, -maxSpeedStep), maxSpeedStep)
	return min(max(average, minSpeed), maxSpeed)
}

// factor returns the slowness that is left of a measured one. Most endpoints of a large service
// are not measured by this instance.
func factor(measured float64, age time.Duration) float64 {
	if measured == 0 {
		return 1
	}
	return math.Exp(measured * decay(age, speedHalfLife))
}

func (s *speed) prefillFactor(now time.Duration) float64 {
	return factor(s.prefill, now-s.prefillAt)
}

func (s *speed) decodeFactor(now time.Duration) float64 {
	return factor(s.decode, now-s.decodeAt)
}

func (c *Core) serviceSpeed(service string) *serviceSpeed {
	known, ok := c.speeds[service]
	if !ok {
		known = &serviceSpeed{}
		c.speeds[service] = known
	}
	return known
}

// recordSpeed measures the endpoint of a lease when an event arrives. The first event
// measures the prefill, later ones the decoding. The load at the time is taken into account
// as far as it is known.
func (c *Core) recordSpeed(now time.Duration, l *Lease, first bool) {
	if !c.options.ZoneOverflow || l.tokens == 0 {
		return
	}
	if first {
		c.recordFirstEvent(now, l)
		l.lastEventAt = now
		return
	}
	previous := l.lastEventAt
	l.lastEventAt = now
	if previous == 0 || now <= previous {
		return // the first event after a change of the engine
	}
	e, service := l.endpoint, c.serviceSpeed(l.endpoint.Service)
	load, _ := e.load(now)
	expected := 1 + decodeSlowdownPerRun*float64(max(load.Running-1, 0))
	if load.Prefilling > 0 {
		expected *= decodeSlowdownByPrefill
	}
	measured := math.Log(max(float64(now-previous)/float64(time.Millisecond)/expected, 0.01))
	if !service.hasEvent {
		service.event, service.hasEvent = measured, true
	}
	if measured-service.event > math.Log(stallFactor) && load.Prefilling == 0 {
		c.addFailure(now, e, outcomeWeight*stallWeight)
	}
	relative := measured - service.event
	service.event += serviceSpeedWeight * min(max(relative, -maxSpeedStep), maxSpeedStep)
	e.speed.decode = update(e.speed.decode, &e.speed.decodeAt, now, relative, decodeSpeedWeight)
}

func (c *Core) recordFirstEvent(now time.Duration, l *Lease) {
	c.recordZoneDelay(now, l.endpoint, now-l.started)
	if l.promptCached {
		return // the engine did not need to prefill the whole prompt
	}
	perToken := float64(now-l.started) / float64(time.Millisecond) / float64(l.tokens) / float64(l.Load.Prefilling+1)
	measured := math.Log(max(perToken, 1e-4))
	service := c.serviceSpeed(l.endpoint.Service)
	if !service.hasPrefill {
		service.prefillPerToken, service.hasPrefill = measured, true
	}
	relative := measured - service.prefillPerToken
	service.prefillPerToken += serviceSpeedWeight * 10 * min(max(relative, -maxSpeedStep), maxSpeedStep)
	e := l.endpoint
	e.speed.prefill = update(e.speed.prefill, &e.speed.prefillAt, now, relative, prefillSpeedWeight)
}

// addFailure raises the error rate of an endpoint.
func (c *Core) addFailure(now time.Duration, e *endpoint, weight float64) {
	c.ageErrorRate(now, e)
	e.errorRate += weight * (1 - e.errorRate)
}

// ageErrorRate lets the error rate fade, so that an endpoint that fails part of its requests
// is tried again.
func (c *Core) ageErrorRate(now time.Duration, e *endpoint) {
	if c.options.ZoneOverflow {
		e.errorRate *= decay(now-e.speed.failureAt, speedHalfLife)
		e.speed.failureAt = now
	}
}

// loadCost is the cost of a request's expected first event and end at an endpoint, in units
// of one running generation and relative to an idle endpoint of average speed. At an endpoint
// of average speed it is the number of requests there, prefills with their weight.
func (c *Core) loadCost(now time.Duration, e *endpoint, load Load, request Request) float64 {
	if !c.options.ZoneOverflow || request.Tokens == 0 {
		return float64(load.Running) + prefillCost*float64(load.Prefilling)
	}
	prefill, decode := e.speed.prefillFactor(now), e.speed.decodeFactor(now)
	return (float64(load.Running)+soloCost)*decode - soloCost + prefillCost*(float64(load.Prefilling+1)*prefill-1)
}

// responseTimeCost is the cost of the average response time of a plain service's endpoint.
// With zone overflow, the difference from the other endpoints fades without new responses.
func (c *Core) responseTimeCost(now time.Duration, e *endpoint) float64 {
	if !c.options.ZoneOverflow {
		return e.latencyMS / latencyPerRequestCostMS
	}
	average := c.zoneOverflow.responseMS[e.Service]
	return (average + (e.latencyMS-average)*decay(now-e.lastResponseAt, speedHalfLife)) / latencyPerRequestCostMS
}

// currentErrorRate returns the error rate of an endpoint.
func (c *Core) currentErrorRate(now time.Duration, e *endpoint) float64 {
	if !c.options.ZoneOverflow {
		return e.errorRate
	}
	return e.errorRate * decay(now-e.speed.failureAt, speedHalfLife)
}
