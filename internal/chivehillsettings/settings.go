// Package chivehillsettings loads and checks the settings of an entry host.
package chivehillsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfield"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// minSecretBytes is the minimum length of the secret shared by peers.
const minSecretBytes = 16

// Load reads a settings file, fills in the defaults and checks all values.
func Load(path string) (chivehillwire.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return chivehillwire.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes settings, fills in the defaults and checks all values.
func Parse(data []byte) (chivehillwire.Settings, error) {
	var s chivehillwire.Settings
	if err := DecodeStrict(data, &s); err != nil {
		return s, err
	}
	fillDefaults(&s)
	return s, checkSettings(s)
}

// DecodeStrict decodes one JSON value and rejects unknown fields and trailing data.
func DecodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more data after the JSON object; allowed: one object")
	}
	return nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return chivehillfield.Error{Field: typeErr.Field, Value: typeErr.Value, Allowed: "a value of type " + typeErr.Type.String()}
	}
	return fmt.Errorf("decode JSON: %w", err)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func fillDefaults(s *chivehillwire.Settings) {
	setDefault(&s.LogLevel, "info")
	setDefault(&s.LogFormat, "json")
	if s.Limits == nil {
		s.Limits = &chivehillwire.Limits{}
	}
	l := s.Limits
	setDefault(&l.MaxBodyBytes, 1<<20)
	setDefault(&l.MaxKeys, 200_000)
	setDefault(&l.KeptAnswerBytes, 16<<20)
	setDefault(&l.KeyWindowMs, 30*chivehillclock.Second)
	setDefault(&l.KeyKeepMs, 2*chivehillclock.Minute)
	setDefault(&l.AnswerKeepMs, 2*chivehillclock.Second)
	setDefault(&l.MembershipLeaseMs, 3*chivehillclock.Second)
	setDefault(&l.ConfigGraceMs, 3*chivehillclock.Second)
	setDefault(&l.PeerSilenceMs, chivehillclock.Second)
	setDefault(&l.ProbeRequestsPerSecond, 10)
	setDefault(&l.LinkBytesPerSecond, 250_000)
	setDefault(&l.StopGraceMs, 30*chivehillclock.Second)
	setDefault(&l.HedgePercent, 5)
	setDefault(&l.RetryPercent, 10)
}

func checkSettings(s chivehillwire.Settings) error {
	errs := []error{
		chivehillfield.Name("host", s.Host),
		chivehillfield.Name("region", s.Region),
		chivehillfield.Name("failure-domain", s.FailureDomain),
		chivehillfield.Address("caller-address", s.CallerAddress),
		chivehillfield.Address("peer-address", s.PeerAddress),
		chivehillfield.Address("operator-address", s.OperatorAddress),
		chivehillfield.Address("store-address", s.StoreAddress),
		chivehillfield.Address("host-list-address", s.HostListAddress),
		chivehillfield.OneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		chivehillfield.OneOf("log-format", s.LogFormat, "json", "text"),
	}
	errs = append(errs, checkTopology(s)...)
	errs = append(errs, checkLimits(*s.Limits)...)
	errs = append(errs, checkPeerSecret(s))
	return errors.Join(errs...)
}

func checkTopology(s chivehillwire.Settings) []error {
	var errs []error
	seen := make(map[chivehillid.DomainID]bool)
	for _, t := range s.Topology {
		errs = append(errs, chivehillfield.Name("topology region", t.Region))
		for _, d := range t.FailureDomains {
			errs = append(errs, chivehillfield.Name("topology failure-domains", d))
			if seen[d] {
				errs = append(errs, chivehillfield.Error{Field: "topology failure-domains", Value: string(d), Allowed: "each failure domain once"})
			}
			seen[d] = true
		}
	}
	region, found := chivehillnote.RegionOf(s.Topology, s.FailureDomain)
	if !found || region != s.Region {
		errs = append(errs, chivehillfield.Error{
			Field: "failure-domain", Value: string(s.FailureDomain),
			Allowed: fmt.Sprintf("a failure domain that the topology lists under region %q", s.Region),
		})
	}
	return errs
}

func checkLimits(l chivehillwire.Limits) []error {
	const (
		maxBytes    chivehillid.Bytes     = 1 << 30
		maxDuration chivehillclock.Millis = 60 * chivehillclock.Minute
		maxKeys                           = 10_000_000
	)
	return []error{
		chivehillfield.Range("limits.max-body-bytes", l.MaxBodyBytes, 1, maxBytes),
		chivehillfield.Range("limits.max-keys", l.MaxKeys, 1, maxKeys),
		chivehillfield.Range("limits.kept-answer-bytes", l.KeptAnswerBytes, 1, maxBytes),
		chivehillfield.Range("limits.key-window-ms", l.KeyWindowMs, chivehillclock.Second, maxDuration),
		chivehillfield.Range("limits.key-keep-ms", l.KeyKeepMs, chivehillclock.Second, maxDuration),
		chivehillfield.Range("limits.answer-keep-ms", l.AnswerKeepMs, 100, maxDuration),
		chivehillfield.Range("limits.membership-lease-ms", l.MembershipLeaseMs, 100, maxDuration),
		chivehillfield.Range("limits.config-grace-ms", l.ConfigGraceMs, 100, maxDuration),
		chivehillfield.Range("limits.peer-silence-ms", l.PeerSilenceMs, 100, maxDuration),
		chivehillfield.Range("limits.probe-requests-per-second", l.ProbeRequestsPerSecond, 0.1, 1000),
		chivehillfield.Range("limits.link-bytes-per-second", l.LinkBytesPerSecond, 1, int(maxBytes)),
		chivehillfield.Range("limits.stop-grace-ms", l.StopGraceMs, 100, maxDuration),
		chivehillfield.Range("limits.hedge-percent", l.HedgePercent, -1, 50),
		chivehillfield.Range("limits.retry-percent", l.RetryPercent, 0, 100),
	}
}

// checkPeerSecret requires a shared secret of peers unless the peer address is a
// loopback address.
func checkPeerSecret(s chivehillwire.Settings) error {
	if s.PeerSecretFile == "" {
		a, err := netip.ParseAddrPort(s.PeerAddress)
		if err == nil && !a.Addr().IsLoopback() {
			return chivehillfield.Error{Field: "peer-secret-file", Value: "", Allowed: "a file with the shared secret, unless peer-address is a loopback address"}
		}
		return nil
	}
	secret, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return fmt.Errorf("read peer-secret-file: %w", err)
	}
	if len(bytes.TrimSpace(secret)) < minSecretBytes {
		return chivehillfield.Error{Field: "peer-secret-file", Value: s.PeerSecretFile, Allowed: fmt.Sprintf("a file with at least %d bytes", minSecretBytes)}
	}
	return nil
}
