package settings

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of all environment variables of an instance.
const EnvPrefix = "HIBISCUSSTAIR_"

// spec declares one setting. All values are read as text, so that every
// finding can be reported together with the others.
type spec struct {
	name    string
	usage   string
	value   string // default; empty with required set means none
	allowed string
	apply   func(s *Settings, text string) error
	// required says that an empty value is a finding.
	required bool
	// secret keeps the value out of findings.
	secret bool
}

func (s spec) env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// Flags returns the command-line flags of an instance.
func Flags() []cli.Flag {
	flags := make([]cli.Flag, 0, len(specs))
	for _, s := range specs {
		flags = append(flags, &cli.StringFlag{
			Name:    s.name,
			Usage:   s.usage + " (" + s.allowed + ")",
			Value:   s.value,
			Sources: cli.EnvVars(s.env()),
		})
	}
	return flags
}

var specs = []spec{
	{name: "instance-id", usage: "name of this instance, unique in the fleet", allowed: allowedID, required: true, apply: applyInstance},
	{name: "half", usage: "half of the organisation that this instance serves", allowed: allowedID, required: true, apply: applyHalf},
	{name: "region", usage: "region of this instance", allowed: allowedID, required: true, apply: applyRegion},
	{name: "failure-domain", usage: "failure domain of this instance", allowed: allowedID, required: true, apply: applyFailureDomain},
	{name: "caller-listen", usage: "address for callers", value: "0.0.0.0:8080", allowed: allowedAddress, apply: applyCallerListen},
	{name: "operator-listen", usage: "address for operators, scraping and health checks", value: "0.0.0.0:8081", allowed: allowedAddress, apply: applyOperatorListen},
	{name: "peer-listen", usage: "address for other instances; other instances connect to it", allowed: allowedAddress, required: true, apply: applyPeerListen},
	{name: "store-url", usage: "address of the platform's object API", allowed: "http://IP:PORT or https://IP:PORT", required: true, apply: applyStoreURL},
	{name: "store-timeout", usage: "bound on each call to the store but a watch", value: "3s", allowed: "100ms to 30s", apply: applyStoreTimeout},
	{name: "peers", usage: "addresses of other instances to start from", allowed: "comma-separated IP:PORT, may be empty", apply: applyPeers},
	{name: "operator-token-sha256", usage: "SHA-256 of the operators' bearer token", allowed: "64 hexadecimal digits, not the hash of an empty token", required: true, apply: applyOperatorToken},
	{name: "peer-secret", usage: "secret that instances authenticate each other with", allowed: "at least 16 characters", required: true, secret: true, apply: applyPeerSecret},
	{name: "recovery", usage: "eager continues on suspicion, sparing probes first; the others are for comparison", value: "eager", allowed: "eager, sparing, start-over or fixed-timeout", apply: applyRecovery},
	{name: "expel", usage: "who decides that a silent instance is gone: auto trusts the platform's list", value: "auto", allowed: "auto or manual", apply: applyExpel},
	{name: "link-bits-per-second", usage: "this fleet's share of the paid link between regions", value: "30000000", allowed: "100000 to 100000000000", apply: applyLinkBits},
	{name: "request-timeout", usage: "deadline of a request that names none", value: "10m", allowed: "1s to 2h", apply: applyRequestTimeout},
	{name: "max-timeout", usage: "longest deadline that a request may name", value: "1h", allowed: "1s to 2h", apply: applyMaxTimeout},
	{name: "drain-timeout", usage: "longest wait for running work after SIGTERM", value: "15m", allowed: "0s to 2h", apply: applyDrainTimeout},
	{name: "max-body-bytes", usage: "limit on a request body", value: "4194304", allowed: "1024 to 67108864", apply: applyMaxBody},
	{name: "max-header-bytes", usage: "limit on request headers", value: "16384", allowed: "1024 to 1048576", apply: applyMaxHeader},
	{name: "max-tokens", usage: "limit on max_tokens of a request", value: "65536", allowed: "1 to 1000000", apply: applyMaxTokens},
	{name: "slow-caller-bound", usage: "how long a caller may leave its stream unread", value: "30s", allowed: "1s to 10m", apply: applySlowCaller},
	{name: "weight-loads-per-minute", usage: "limit on orders that load weights", value: "6", allowed: "1 to 1000", apply: applyWeightLoads},
	{name: "log-level", usage: "least severe level that is logged", value: "info", allowed: "debug, info, warn or error", apply: applyLogLevel},
}
