package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// burstWindow is the time for which an account may save up unused rate.
	burstWindow = time.Second
	// lowRateBurstWindow and maxLowRateBurst let an instance with a small share of
	// a rate accumulate credit for up to six requests in twenty seconds. With one
	// request, a third of the rate is lost when demand is twice the rate, since a
	// full bucket earns no credit. With three, an account at 80% of its limit has
	// 16% of its requests refused over 330 instances.
	lowRateBurstWindow = 20 * time.Second
	maxLowRateBurst    = 6
	// idleAccountTTL is how long the state of an account without demand is kept.
	idleAccountTTL = time.Minute
	// sweepInterval is the time between removals of idle accounts.
	sweepInterval = time.Second
	// maxRetryAfter bounds the Retry-After advice, also of load shedding. Shares
	// follow demand within about two seconds, so a longer wait computed from the
	// current share is wrong.
	maxRetryAfter = 2 * time.Second
)

// admission is an admitted request that has not been released yet.
type admission struct {
	account *account
	tokens  int
}

// Core decides on admissions and retries. It has no I/O, clock, goroutine or
// global randomness.
type Core struct {
	options    CoreOptions
	config     *api.Config
	accounts   map[api.AccountID]*account
	admissions map[uint64]admission
	actions    []Action

	fleet       fleet
	shedder     loadShedder
	retries     retryBudget
	lastVersion uint64
	nextSweepAt time.Duration

	// toPublish lists the accounts whose demand at this instance is to be sent,
	// toForward the entries of peers that are to be passed on.
	toPublish     []*account
	nextPublishAt time.Duration
	toForward     []*peerEntry
}

// NewCore returns a core without a configuration, in a fleet of one instance.
func NewCore(o CoreOptions) *Core {
	return &Core{
		options:    o,
		accounts:   make(map[api.AccountID]*account),
		admissions: make(map[uint64]admission),
		fleet:      fleet{size: 1},
		shedder:    newLoadShedder(),
		retries:    newRetryBudget(),
	}
}

// Step handles one event. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case Tick:
		c.sweep(now)
	case ConfigChanged:
		c.configure(e.Config)
	case FleetResized:
		c.fleet.resize(now, e.Instances)
	case AdmissionRequested:
		c.admit(now, e)
	case AdmissionReleased:
		c.release(e.ID)
	case RetryRequested:
		unbounded := c.options.NoRetryBudget || c.options.mutations.ignoreRetryBudget
		allowed := unbounded || c.retries.take(now, e.Priority)
		c.actions = append(c.actions, RetryDecided{ID: e.ID, Allowed: allowed})
	case QueueDelayMeasured:
		c.shedder.update(now, e)
	case PeerUsageReceived:
		c.mergeUsage(now, e.Usage)
	}
	return c.actions
}

// configure applies new limits. Credit and tokens in flight are kept.
func (c *Core) configure(config *api.Config) {
	c.config = config
	for id, a := range c.accounts {
		if config == nil {
			return
		}
		if configured, ok := config.Accounts[id]; ok {
			a.configured = configured
		}
	}
}

func (c *Core) admit(now time.Duration, e AdmissionRequested) {
	a, err := c.lookupAccount(now, e.Request.Account)
	if err == nil {
		a.demand.add(now)
		err = c.checkLimits(now, a, e.Request)
	}
	if err != nil {
		c.actions = append(c.actions, RequestRefused{ID: e.ID, Err: err})
		return
	}
	if a.configured.RequestsPerSecond > 0 {
		a.requestCredit--
	}
	a.tokensInFlight += e.Request.Tokens
	c.retries.recordAdmission(now)
	c.admissions[e.ID] = admission{account: a, tokens: e.Request.Tokens}
	c.actions = append(c.actions, RequestAdmitted{Admission: api.Admission{
		ID:      e.ID,
		Account: e.Request.Account,
		Tokens:  e.Request.Tokens,
	}})
}

func (c *Core) lookupAccount(now time.Duration, id api.AccountID) (*account, *reason.Error) {
	if c.config == nil {
		return nil, reason.New(reason.NotReady, "no configuration yet")
	}
	configured, ok := c.config.Accounts[id]
	if !ok {
		return nil, reason.New(reason.Unauthenticated, "the account is not configured")
	}
	a, ok := c.accounts[id]
	if !ok {
		a = c.newAccount(now, configured)
		c.accounts[id] = a
	}
	a.lastUsedAt = now
	return a, nil
}

// checkLimits returns the reason to refuse the request, or nil. It also counts
// the request for load shedding, and the tokens of one that is refused for lack
// of tokens.
func (c *Core) checkLimits(now time.Duration, a *account, request api.AdmissionRequest) *reason.Error {
	switch {
	case request.Tokens < 0:
		return reason.New(reason.BadRequest, "negative number of tokens")
	case request.Deadline != 0 && now >= request.Deadline:
		return reason.New(reason.DeadlineExceeded, "the deadline passed before the request was admitted")
	}
	if wait := c.rateWait(now, a); wait > 0 {
		return reason.New(reason.AccountRate, "the account's request rate is used up").WithRetryAfter(wait)
	}
	if !c.tokensFit(now, a, request.Tokens) {
		a.refusedTokens.add(now, float64(request.Tokens))
		return reason.New(reason.AccountTokens, "the account's tokens in flight are used up").WithRetryAfter(time.Second)
	}
	if !c.options.NoShedding && c.shedder.shouldRefuse(now, request, c.options.mutations) {
		return reason.New(reason.Overloaded, "the endpoints are overloaded").WithRetryAfter(c.shedder.retryAfter())
	}
	return nil
}

// rateWait refills the account's credit. It returns how long the account has to
// wait until its rate allows another request; 0 means that it may send one now.
func (c *Core) rateWait(now time.Duration, a *account) time.Duration {
	limit := a.configured.RequestsPerSecond
	if limit <= 0 || c.options.mutations.ignoreRate {
		return 0
	}
	rate := c.localShare(now, a, limit, a.sentRate, a.peerRate)
	burst := max(c.evenShareBurst(limit), rate*burstWindow.Seconds(), min(maxLowRateBurst, rate*lowRateBurstWindow.Seconds()))
	a.requestCredit = min(burst, a.requestCredit+rate*(now-a.creditUpdatedAt).Seconds())
	a.creditUpdatedAt = now
	if a.requestCredit >= 1 {
		return 0
	}
	wait := time.Duration((1 - a.requestCredit) / rate * float64(time.Second))
	return max(time.Millisecond, min(wait, maxRetryAfter))
}

// evenShareBurst returns an even share of one second of the limit, but at least
// one request. An account may use it before its demand is known.
func (c *Core) evenShareBurst(limit float64) float64 {
	return max(1, limit*burstWindow.Seconds()/float64(c.fleet.size))
}

// tokensFit reports whether the account may have that many more tokens in
// flight. A request larger than this instance's share may run as the only one
// here if it fits into the limit of the whole account.
func (c *Core) tokensFit(now time.Duration, a *account, tokens int) bool {
	limit := float64(a.configured.TokensInFlight)
	if limit <= 0 {
		return true
	}
	wanted := float64(a.tokensInFlight + tokens)
	if wanted <= c.localShare(now, a, limit, a.sentTokens, a.peerTokens) {
		return true
	}
	return a.tokensInFlight == 0 && a.peerTokens+wanted <= limit
}

func (c *Core) release(id uint64) {
	released, ok := c.admissions[id]
	if !ok || c.options.mutations.ignoreReleases {
		return
	}
	released.account.tokensInFlight -= released.tokens
	delete(c.admissions, id)
}

// sweep expires the demand of peers and removes idle accounts.
func (c *Core) sweep(now time.Duration) {
	if now < c.nextSweepAt {
		return
	}
	c.nextSweepAt = now + sweepInterval
	for id, a := range c.accounts {
		c.expirePeers(now, a)
		idle := a.tokensInFlight == 0 && len(a.peers) == 0 && now-a.lastUsedAt >= idleAccountTTL
		if idle {
			delete(c.accounts, id)
		}
	}
}

// Summary is a snapshot of the core's state for metrics.
type Summary struct {
	Accounts         int
	Admissions       int
	ShedInteractive  float64 // share of the interactive requests that is refused
	ShedDraft        float64 // share of the drafts that is refused
	RetriesAvailable float64 // retries that the budget allows now
	InContact        bool    // with peers
}

// Summarize returns a snapshot of the core's state for metrics.
func (c *Core) Summarize(now time.Duration) Summary {
	return Summary{
		Accounts:         len(c.accounts),
		Admissions:       len(c.admissions),
		ShedInteractive:  1 - c.shedder.interactive.admitShare,
		ShedDraft:        1 - c.shedder.draft.admitShare,
		RetriesAvailable: c.retries.credit,
		InContact:        c.fleet.inContact(now),
	}
}
