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
	parse       func(s *Settings, text string) error
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
	{name: "instance-id", usage: "identifier of this instance, unique in the fleet", allowed: allowedIDText, required: true, parse: parseInstance},
	{name: "half", usage: "half of the organisation whose endpoints this instance uses", allowed: allowedIDText, required: true, parse: parseHalf},
	{name: "region", usage: "region of this instance", allowed: allowedIDText, required: true, parse: parseRegion},
	{name: "failure-domain", usage: "failure domain of this instance", allowed: allowedIDText, required: true, parse: parseFailureDomain},
	{name: "caller-listen", usage: "listen address for callers", defaultText: "0.0.0.0:8080", allowed: allowedAddressText, parse: parseCallerListen},
	{name: "operator-listen", usage: "listen address for operators, metrics and health checks", defaultText: "0.0.0.0:8081", allowed: allowedAddressText, parse: parseOperatorListen},
	{name: "peer-listen", usage: "listen address for other instances, which connect to this address", allowed: allowedAddressText, required: true, parse: parsePeerListen},
	{name: "store-url", usage: "URL of the platform's object store", allowed: "http://IP:PORT or https://IP:PORT", required: true, parse: parseStoreURL},
	{name: "store-timeout", usage: "timeout of each call to the store except watches", defaultText: "3s", allowed: "100ms to 30s", parse: parseStoreTimeout},
	{name: "peers", usage: "addresses of instances that this instance contacts first", allowed: "comma-separated IP:PORT, may be empty", parse: parsePeers},
	{name: "operator-token-sha256", usage: "SHA-256 of the operators' bearer token", allowed: "64 hexadecimal digits, not the hash of an empty token", required: true, parse: parseOperatorToken},
	{name: "peer-secret", usage: "shared secret with which instances sign their calls to each other", allowed: "at least 16 bytes", required: true, secret: true, parse: parsePeerSecret},
	{name: "recovery", usage: "recovery of generations: eager continues one elsewhere on suspicion, sparing probes its engine first; the others are for comparison", defaultText: "eager", allowed: "eager, sparing, start-over or fixed-timeout", parse: parseRecovery},
	{name: "expel", usage: "how unresponsive instances are expelled: auto follows the platform's list of instances, manual waits for an operator", defaultText: "auto", allowed: "auto or manual", parse: parseExpel},
	{name: "link-bits-per-second", usage: "this fleet's share of the paid link between regions", defaultText: "30000000", allowed: "100000 to 100000000000", parse: parseLinkBitsPerSecond},
	{name: "request-timeout", usage: "timeout of a request that sets none", defaultText: "10m", allowed: "1s to 2h", parse: parseRequestTimeout},
	{name: "max-timeout", usage: "longest timeout that a request may set", defaultText: "1h", allowed: "1s to 2h", parse: parseMaxTimeout},
	{name: "drain-timeout", usage: "longest wait for running requests after a stop signal", defaultText: "15m", allowed: "0s to 2h", parse: parseDrainTimeout},
	{name: "max-body-bytes", usage: "limit on the size of a request body", defaultText: "4194304", allowed: "1024 to 67108864", parse: parseMaxBodyBytes},
	{name: "max-header-bytes", usage: "limit on the size of request headers", defaultText: "16384", allowed: "1024 to 1048576", parse: parseMaxHeaderBytes},
	{name: "max-tokens", usage: "limit on max_tokens of a request", defaultText: "65536", allowed: "1 to 1000000", parse: parseMaxTokens},
	{name: "slow-caller-bound", usage: "timeout of a write to a caller that does not read its stream", defaultText: "30s", allowed: "1s to 10m", parse: parseSlowCallerTimeout},
	{name: "weight-loads-per-minute", usage: "limit on loads of model weights per minute, over all engines of the half", defaultText: "6", allowed: "1 to 1000", parse: parseWeightLoadsPerMinute},
	{name: "log-level", usage: "lowest level that is logged", defaultText: "info", allowed: "debug, info, warn or error", parse: parseLogLevel},
}
