package limits

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Error is the class of the errors of New.
var Error = errs.Class("limits")

type usage struct {
	credit   float64
	at       time.Duration
	inFlight int
}

// Runner admits requests.
type Runner struct {
	options Options
	mutex   sync.Mutex
	usage   map[api.AccountID]*usage
	lastID  uint64
}

// New returns a runner; Run starts it.
func New(o Options) (*Runner, error) {
	if o.Config == nil {
		return nil, Error.New("no source of the configuration")
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	if o.Instances == nil {
		o.Instances = func() int { return 1 }
	}
	return &Runner{options: o, usage: make(map[api.AccountID]*usage)}, nil
}

// Run serves until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Admit counts a request in or refuses it.
func (r *Runner) Admit(_ context.Context, request api.AdmissionRequest) (api.Admission, error) {
	config := r.options.Config()
	if config == nil {
		return api.Admission{}, reason.New(reason.NotReady, "no configuration yet")
	}
	account, ok := config.Accounts[request.Account]
	if !ok {
		return api.Admission{}, reason.New(reason.Unauthenticated, "unknown account")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	share := 1 / float64(max(1, r.options.Instances()))
	now := r.options.Clock()
	u, ok := r.usage[account.ID]
	if !ok {
		u = &usage{credit: 1, at: now}
		r.usage[account.ID] = u
	}
	rate := account.RequestsPerSecond * share
	u.credit = min(max(1, rate), u.credit+rate*(now-u.at).Seconds())
	u.at = now
	if rate > 0 && u.credit < 1 {
		return api.Admission{}, reason.New(reason.AccountRate, "the account's rate is used up").WithRetryAfter(time.Second)
	}
	if account.TokensInFlight > 0 && float64(u.inFlight+request.Tokens) > float64(account.TokensInFlight)*share {
		return api.Admission{}, reason.New(reason.AccountTokens, "the account's tokens in flight are used up").WithRetryAfter(time.Second)
	}
	u.credit--
	u.inFlight += request.Tokens
	r.lastID++
	return api.Admission{ID: r.lastID, Account: account.ID, Tokens: request.Tokens}, nil
}

// Release ends an admission.
func (r *Runner) Release(admission api.Admission) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if u, ok := r.usage[admission.Account]; ok {
		u.inFlight -= admission.Tokens
	}
}

// AllowRetry reports whether the retry budget allows another attempt.
func (r *Runner) AllowRetry(api.Priority) bool { return true }

// Collect returns the changes for the peers.
func (r *Runner) Collect(max int) *peerpb.Deltas { return &peerpb.Deltas{} }

// Merge takes changes from a peer.
func (r *Runner) Merge(deltas *peerpb.Deltas) {}
