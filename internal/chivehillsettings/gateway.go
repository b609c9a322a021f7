package chivehillsettings

import (
	"errors"
	"fmt"
	"os"

	"github.com/chivehill/chivehill/internal/chivehillfield"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Allowed ranges of the gateway settings.
const (
	maxBoundSeconds = 3600.0
	minMemoryMB     = 16.0
	maxMemoryMB     = 1 << 20
	maxRetrySlack   = 1e6
	minCapacity     = 0.001
	maxCores        = 1024.0
	maxLinkMbps     = 1e6
)

// LoadGateway reads a gateway settings file and checks all values.
func LoadGateway(path string) (chivehillwire.GatewaySettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return chivehillwire.GatewaySettings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := ParseGateway(data)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// ParseGateway decodes the settings of a gateway and checks all values.
func ParseGateway(data []byte) (chivehillwire.GatewaySettings, error) {
	var s chivehillwire.GatewaySettings
	if err := DecodeStrict(data, &s); err != nil {
		return s, err
	}
	return s, checkGatewaySettings(s)
}

func checkGatewaySettings(s chivehillwire.GatewaySettings) error {
	b := s.Bounds
	return errors.Join(
		chivehillfield.Name("host", s.Host),
		chivehillfield.OneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		chivehillfield.Address("caller-address", s.CallerAddress),
		chivehillfield.Address("ready-address", s.ReadyAddress),
		chivehillfield.Address("directory-address", s.DirectoryAddress),
		chivehillfield.Address("peer-address", s.PeerAddress),
		chivehillfield.Address("metrics-address", s.MetricsAddress),
		chivehillfield.Address("store-address", s.StoreAddress),
		chivehillfield.Range("memory-mb", s.MemoryMb, minMemoryMB, maxMemoryMB),
		chivehillfield.Range("processor-share", s.ProcessorShare, minCapacity, maxCores),
		chivehillfield.Range("link-mbps", s.LinkMbps, minCapacity, maxLinkMbps),
		checkDomain(s),
		chivehillfield.Range("bounds.stop-grace-seconds", b.StopGraceSeconds, 1, maxBoundSeconds),
		chivehillfield.Range("bounds.configuration-seconds", b.ConfigurationSeconds, 0.1, maxBoundSeconds),
		chivehillfield.Range("bounds.answer-keep-seconds", b.AnswerKeepSeconds, 0.1, maxBoundSeconds),
		chivehillfield.Range("bounds.retry-ratio", b.RetryRatio, 0, 1),
		chivehillfield.Range("bounds.retry-slack", b.RetrySlack, 0, maxRetrySlack),
		chivehillfield.Range("bounds.trial-share", b.TrialShare, 0, 1),
		chivehillfield.Range("bounds.quota-window-seconds", b.QuotaWindowSeconds, 0, maxBoundSeconds),
		chivehillfield.Range("bounds.quota-over", b.QuotaOver, 0, 1),
		chivehillfield.Range("bounds.quota-slack", b.QuotaSlack, 0, maxRetrySlack),
	)
}

// checkDomain checks that the topology lists the failure domain of the host.
func checkDomain(s chivehillwire.GatewaySettings) error {
	if s.Domains[s.FailureDomain] == s.Region && s.Region != "" {
		return nil
	}
	return chivehillfield.Error{
		Field: "failure-domain", Value: string(s.FailureDomain), Allowed: fmt.Sprintf("a failure domain that domains lists under region %q", s.Region),
	}
}
