// Package order runs non-idempotent orders and idempotent lookups on plain
// services. An order is claimed in the store before it is sent, is sent at most
// once by the process that made the claim, and has a recorded outcome that any
// instance reports for a repeated key.
package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// DispatchWindow is how long after the start of the claim's write the holder
// may send.
const DispatchWindow = 2 * time.Second

// Runner serves orders and lookups.
type Runner struct {
	options  Options
	claims   Claims
	services *services
	accounts atomic.Pointer[accountIndex]
}

// New returns a runner. Nothing runs before Run.
func New(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	r := &Runner{options: o, services: newServices()}
	r.claims = &singleClaims{store: o.Store}
	return r, nil
}

// Run works until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain waits until the orders and lookups that run have ended.
func (r *Runner) Drain(context.Context) error { return nil }

// accountIndex finds an account by its credential in one configuration.
type accountIndex struct {
	config   *api.Config
	accounts map[string]api.Account
}

func (r *Runner) account(credential string) (api.Account, bool) {
	config := r.options.Config()
	if config == nil {
		return api.Account{}, false
	}
	index := r.accounts.Load()
	if index == nil || index.config != config {
		index = indexAccounts(config)
		r.accounts.Store(index)
	}
	account, ok := index.accounts[credential]
	return account, ok
}

func indexAccounts(config *api.Config) *accountIndex {
	index := &accountIndex{config: config, accounts: make(map[string]api.Account, len(config.Accounts))}
	for _, account := range config.Accounts {
		if account.CredentialSHA256 != "" {
			index.accounts[account.CredentialSHA256] = account
		}
	}
	return index
}
