package settings

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of all environment variables of an instance.
const EnvPrefix = "HIBISCUSSTAIR_"

// settingSpec declares one setting. All values are read as text, so that all errors
// can be reported together.
type settingSpec struct {
	name        string
	usage       string
	defaultText string // empty: no default
	allowed     string // description of the accepted values
	apply       func(s *Settings, text string) error
	// required says that an empty value is an error.
	required bool
	// secret keeps the value out of error messages.
	secret bool
}

func (s settingSpec) envVariable() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// Flags returns the command-line flags of an instance. Each can also be set by an
// environment variable.
func Flags() []cli.Flag {
	flags := make([]cli.Flag, 0, len(settingSpecs))
	for _, s := range settingSpecs {
		flags = append(flags, &cli.StringFlag{
			Name:    s.name,
			Usage:   s.usage + " (" + s.allowed + ")",
			Value:   s.defaultText,
			Sources: cli.EnvVars(s.envVariable()),
		})
	}
	return flags
}

var settingSpecs = []settingSpec{
	{name: "instance-id", usage: "identifier of this instance, unique in the fleet", allowed: allowedIDText, required: true, apply: applyInstance},
	{name: "half", usage: "half of the organisation that this instance serves", allowed: allowedIDText, required: true, apply: applyHalf},
	{name: "region", usage: "region of this instance", allowed: allowedIDText, required: true, apply: applyRegion},
	{name: "failure-domain", usage: "failure domain of this instance", allowed: allowedIDText, required: true, apply: applyFailureDomain},
	{name: "caller-listen", usage: "listen address for callers", defaultText: "0.0.0.0:8080", allowed: allowedAddressText, apply: applyCallerListen},
	{name: "operator-listen", usage: "listen address for operators, metrics and health checks", defaultText: "0.0.0.0:8081", allowed: allowedAddressText, apply: applyOperatorListen},
	{name: "peer-listen", usage: "listen address for other instances, which connect to this address", allowed: allowedAddressText, required: true, apply: applyPeerListen},
	{name: "store-url", usage: "address of the platform's object API", allowed: "http://IP:PORT or https://IP:PORT", required: true, apply: applyStoreURL},
	{name: "store-timeout", usage: "timeout of each call to the store except watches", defaultText: "3s", allowed: "100ms to 30s", apply: applyStoreTimeout},
	{name: "peers", usage: "addresses of instances that this instance contacts first", allowed: "comma-separated IP:PORT, may be empty", apply: applyPeers},
	{name: "operator-token-sha256", usage: "SHA-256 of the operators' bearer token", allowed: "64 hexadecimal digits, not the hash of an empty token", required: true, apply: applyOperatorToken},
	{name: "peer-secret", usage: "shared secret with which instances authenticate each other", allowed: "at least 16 characters", required: true, secret: true, apply: applyPeerSecret},
	{name: "recovery", usage: "recovery of generations: eager continues one elsewhere on suspicion, sparing probes its engine first; the others are for comparison", defaultText: "eager", allowed: "eager, sparing, start-over or fixed-timeout", apply: applyRecovery},
	{name: "expel", usage: "how unresponsive instances are expelled: auto follows the platform's list of instances, manual waits for an operator", defaultText: "auto", allowed: "auto or manual", apply: applyExpel},
	{name: "link-bits-per-second", usage: "this fleet's share of the paid link between regions", defaultText: "30000000", allowed: "100000 to 100000000000", apply: applyLinkBitsPerSecond},
	{name: "request-timeout", usage: "timeout of a request that sets none", defaultText: "10m", allowed: "1s to 2h", apply: applyRequestTimeout},
	{name: "max-timeout", usage: "longest timeout that a request may set", defaultText: "1h", allowed: "1s to 2h", apply: applyMaxTimeout},
	{name: "drain-timeout", usage: "longest wait for running requests after SIGTERM", defaultText: "15m", allowed: "0s to 2h", apply: applyDrainTimeout},
	{name: "max-body-bytes", usage: "limit on the size of a request body", defaultText: "4194304", allowed: "1024 to 67108864", apply: applyMaxBodyBytes},
	{name: "max-header-bytes", usage: "limit on the size of request headers", defaultText: "16384", allowed: "1024 to 1048576", apply: applyMaxHeaderBytes},
	{name: "max-tokens", usage: "limit on max_tokens of a request", defaultText: "65536", allowed: "1 to 1000000", apply: applyMaxTokens},
	{name: "slow-caller-bound", usage: "how long a write to a caller that does not read its stream may take", defaultText: "30s", allowed: "1s to 10m", apply: applySlowCallerTimeout},
	{name: "weight-loads-per-minute", usage: "limit on loads of model weights over all engines", defaultText: "6", allowed: "1 to 1000", apply: applyWeightLoadsPerMinute},
	{name: "log-level", usage: "lowest level that is logged", defaultText: "info", allowed: "debug, info, warn or error", apply: applyLogLevel},
}
