package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Error is the class of all errors in settings.
var Error = errs.Class("settings")

const (
	allowedIDText      = "1 to 63 characters of a-z, 0-9 and -"
	allowedAddressText = "IP:PORT"
	// minSecretBytes is the shortest peer secret. Shorter ones are easy to guess.
	minSecretBytes = 16
)

var identifierPattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

var errNotAllowed = errors.New("not allowed")

// FromCommand reads and checks all settings. environ is the process environment;
// variables in it that start with EnvPrefix and are unknown are errors. All errors
// are returned together.
func FromCommand(cmd *cli.Command, environ []string) (*Settings, error) {
	texts := make(map[string]string, len(settingSpecs))
	for _, s := range settingSpecs {
		texts[s.name] = cmd.String(s.name)
	}
	return Check(texts, environ)
}

// Check parses and checks texts, by flag name, and the variables of environ as
// FromCommand does.
func Check(texts map[string]string, environ []string) (*Settings, error) {
	settings := &Settings{}
	var problems errs.Group
	for _, s := range settingSpecs {
		problems.Add(parseSetting(settings, s, texts[s.name]))
	}
	problems.Add(findUnknownVariables(environ)...)
	if settings.RequestTimeout > settings.MaxTimeout {
		problems.Add(Error.New("--request-timeout=%s exceeds --max-timeout=%s", settings.RequestTimeout, settings.MaxTimeout))
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// parseSetting parses one text into its field of settings. An optional setting
// that has no default may be empty.
func parseSetting(settings *Settings, s settingSpec, text string) error {
	if text == "" {
		if s.required {
			return Error.New("--%s: missing; set it or %s; allowed: %s", s.name, s.envVariable(), s.allowed)
		}
		if s.defaultText == "" {
			return nil
		}
	}
	if err := s.parse(settings, text); err != nil {
		shown := strconv.Quote(text)
		if s.secret {
			shown = "(not shown)"
		}
		return Error.New("--%s=%s: allowed: %s", s.name, shown, s.allowed)
	}
	return nil
}

func findUnknownVariables(environ []string) []error {
	known := make(map[string]bool, len(settingSpecs))
	for _, s := range settingSpecs {
		known[s.envVariable()] = true
	}
	var names []string
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	problems := make([]error, 0, len(names))
	for _, name := range names {
		problems = append(problems, Error.New("%s: unknown variable; see --help for the known ones", name))
	}
	return problems
}

func parseID(text string) (string, error) {
	if !identifierPattern.MatchString(text) {
		return "", errNotAllowed
	}
	return text, nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, errNotAllowed
	}
	return address, nil
}

func parseDuration(text string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		return 0, errNotAllowed
	}
	return d, nil
}

func parseInt(text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, errNotAllowed
	}
	return n, nil
}

func parseInstance(s *Settings, text string) error {
	id, err := parseID(text)
	s.Instance = api.InstanceID(id)
	return err
}

func parseHalf(s *Settings, text string) error {
	id, err := parseID(text)
	s.Half = api.Half(id)
	return err
}

func parseRegion(s *Settings, text string) error {
	id, err := parseID(text)
	s.Place.Region = api.Region(id)
	return err
}

func parseFailureDomain(s *Settings, text string) error {
	id, err := parseID(text)
	s.Place.FailureDomain = api.FailureDomain(id)
	return err
}

func parseCallerListen(s *Settings, text string) (err error) {
	s.CallerListen, err = parseAddress(text)
	return err
}

func parseOperatorListen(s *Settings, text string) (err error) {
	s.OperatorListen, err = parseAddress(text)
	return err
}

func parsePeerListen(s *Settings, text string) (err error) {
	s.PeerListen, err = parseAddress(text)
	return err
}

func parseStoreURL(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errNotAllowed
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return errNotAllowed
	}
	s.StoreURL = text
	return nil
}

func parseStoreTimeout(s *Settings, text string) (err error) {
	s.StoreTimeout, err = parseDuration(text, 100*time.Millisecond, 30*time.Second)
	return err
}

func parsePeers(s *Settings, text string) error {
	for _, part := range strings.Split(text, ",") {
		address, err := parseAddress(strings.TrimSpace(part))
		if err != nil {
			return fmt.Errorf("peer %q: %w", part, err)
		}
		s.Peers = append(s.Peers, address)
	}
	return nil
}

// emptySHA256 is the SHA-256 of an empty text, which a command line that hashes an
// unset variable produces.
const emptySHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func parseOperatorToken(s *Settings, text string) error {
	if !sha256Pattern.MatchString(text) || text == emptySHA256 {
		return errNotAllowed
	}
	s.OperatorTokenSHA256 = text
	return nil
}

func parsePeerSecret(s *Settings, text string) error {
	if len(text) < minSecretBytes {
		return errNotAllowed
	}
	s.PeerSecret = text
	return nil
}

func parseRecovery(s *Settings, text string) error {
	s.Recovery = RecoveryMode(text)
	switch s.Recovery {
	case RecoveryEager, RecoverySparing, RecoveryStartOver, RecoveryFixedTimeout:
		return nil
	default:
		return errNotAllowed
	}
}

func parseExpel(s *Settings, text string) error {
	s.Expel = ExpelMode(text)
	if s.Expel != ExpelAuto && s.Expel != ExpelManual {
		return errNotAllowed
	}
	return nil
}

func parseLinkBitsPerSecond(s *Settings, text string) (err error) {
	s.LinkBitsPerSecond, err = parseInt(text, 100_000, 100_000_000_000)
	return err
}

func parseRequestTimeout(s *Settings, text string) (err error) {
	s.RequestTimeout, err = parseDuration(text, time.Second, 2*time.Hour)
	return err
}

func parseMaxTimeout(s *Settings, text string) (err error) {
	s.MaxTimeout, err = parseDuration(text, time.Second, 2*time.Hour)
	return err
}

func parseDrainTimeout(s *Settings, text string) (err error) {
	s.DrainTimeout, err = parseDuration(text, 0, 2*time.Hour)
	return err
}

func parseMaxBodyBytes(s *Settings, text string) (err error) {
	s.MaxBodyBytes, err = parseInt(text, 1024, 64<<20)
	return err
}

func parseMaxHeaderBytes(s *Settings, text string) error {
	n, err := parseInt(text, 1024, 1<<20)
	s.MaxHeaderBytes = int(n)
	return err
}

func parseMaxTokens(s *Settings, text string) error {
	n, err := parseInt(text, 1, 1_000_000)
	s.MaxTokens = int(n)
	return err
}

func parseSlowCallerTimeout(s *Settings, text string) (err error) {
	s.SlowCallerTimeout, err = parseDuration(text, time.Second, 10*time.Minute)
	return err
}

func parseWeightLoadsPerMinute(s *Settings, text string) error {
	n, err := parseInt(text, 1, 1000)
	s.WeightLoadsPerMinute = int(n)
	return err
}

func parseLogLevel(s *Settings, text string) error {
	return s.LogLevel.UnmarshalText([]byte(text))
}
