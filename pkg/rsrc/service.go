package rsrc

import (
	"math"
	"strings"
	"time"
)

// Policy determines whether the rollouts of a service prefer completion in
// time or rollback when there is little evidence.
type Policy string

// The rollout policies of a service.
const (
	// PolicyBalanced requires full evidence. Without it the rollout fails at the
	// deadline.
	PolicyBalanced Policy = "balanced"
	// PolicyCompletion accepts weaker evidence. Near the deadline the new
	// version gets all traffic unless there is evidence against it.
	PolicyCompletion Policy = "completion"
	// PolicyRollback requires stronger evidence than PolicyBalanced. Without it
	// the rollout fails at the deadline.
	PolicyRollback Policy = "rollback"
)

// Service is a named group of interchangeable upstreams.
type Service struct {
	name     string
	revision uint64
	// policy is one of the Policy constants.
	policy        Policy
	targetOptions TargetOptions
	warmUp        WarmUp
}

// WarmUp describes the targets of a service after their start: they are cold for some
// time, in which they tolerate only a limited rate of calls. The zero value means that
// the service has no warm-up.
type WarmUp struct {
	// WarmUp is how long a target is cold; from zero to MaxWarmUp.
	WarmUp time.Duration
	// WarmUpRate is the number of calls per second that a cold target tolerates from
	// all nodes together; finite, and zero if cold targets are not paced.
	WarmUpRate float64
}

// MaxWarmUp is the longest warm-up time. A longer one is most likely in the wrong unit,
// and would keep a target whose state is unknown paced for that long.
const MaxWarmUp = 24 * time.Hour

// WithWarmUp returns a copy of the service with the given warm-up settings.
func (service Service) WithWarmUp(warmUp WarmUp) Service {
	service.warmUp = warmUp
	return service
}

// WarmUp returns the warm-up settings of the service.
func (service Service) WarmUp() WarmUp { return service.warmUp }

// TargetOptions describes how to reach the targets of a service. The nodes use only
// HealthPath; for the rest they use what the targets announce, and the fields are stored
// for operators.
type TargetOptions struct {
	HealthPath string
	// MaxConnections is how many connections one target accepts from all callers
	// together; zero means unknown.
	MaxConnections int
	Protocol       string
	TLS            bool
}

// WithTargetOptions returns a copy of the service with the given target options.
func (service Service) WithTargetOptions(targetOptions TargetOptions) Service {
	service.targetOptions = targetOptions
	return service
}

// TargetOptions returns the description of how to reach the targets of the
// service.
func (service Service) TargetOptions() TargetOptions { return service.targetOptions }

// NewService returns a service. An empty policy means PolicyBalanced.
func NewService(name string, policy Policy) Service {
	if policy == "" {
		policy = PolicyBalanced
	}
	return Service{name: name, policy: policy}
}

// Name returns the name of the service.
func (service Service) Name() string { return service.name }

// Policy returns the rollout policy of the service.
func (service Service) Policy() Policy { return service.policy }

// Key returns the key of the service.
func (service Service) Key() Key { return NewKey(KindService, service.name) }

// Revision returns the log index of the last write of the service.
func (service Service) Revision() uint64 { return service.revision }

// WithRevision returns a copy of the service with the given revision.
func (service Service) WithRevision(revision uint64) Resource {
	service.revision = revision
	return service
}

func (service Service) check(*Config) error {
	if err := checkName(service.Key(), "name", service.name); err != nil {
		return err
	}
	warmUp := service.warmUp
	switch {
	case service.policy != PolicyBalanced && service.policy != PolicyCompletion && service.policy != PolicyRollback:
		return validationError(service.Key(), "policy", "%q is unknown: use balanced, completion or rollback", service.policy)
	case warmUp.WarmUp < 0 || warmUp.WarmUp > MaxWarmUp:
		return validationError(service.Key(), "warmUp", "must be from 0 to %s, is %s", MaxWarmUp, warmUp.WarmUp)
	case !(warmUp.WarmUpRate >= 0) || math.IsInf(warmUp.WarmUpRate, 1):
		return validationError(service.Key(), "warmUpRate", "must be zero or a number of calls per second, is %g", warmUp.WarmUpRate)
	}
	return nil
}

// Version is a version of the upstreams of a service.
type Version struct {
	service  string
	name     string
	revision uint64
	// minTargets is at least one.
	minTargets int
}

// NewVersion returns an upstream version. The version may get all traffic of a
// route only while at least minTargets of its targets are announced; zero means
// one.
func NewVersion(service, name string, minTargets int) Version {
	if minTargets == 0 {
		minTargets = 1
	}
	return Version{service: service, name: name, minTargets: minTargets}
}

// VersionKey returns the key of the named version of a service.
func VersionKey(service, name string) Key {
	return NewKey(KindVersion, service+"/"+name)
}

// ParseVersionName splits the name in a version key into service and version.
// ok is false if the name contains no slash.
func ParseVersionName(name string) (service, version string, ok bool) {
	return strings.Cut(name, "/")
}

// Service returns the name of the service that the version belongs to.
func (version Version) Service() string { return version.service }

// Name returns the name of the version, which is unique within its service.
func (version Version) Name() string { return version.name }

// MinTargets returns how many targets must be announced before the version may
// get all traffic of a route.
func (version Version) MinTargets() int { return version.minTargets }

// Key returns the key of the version.
func (version Version) Key() Key { return VersionKey(version.service, version.name) }

// Revision returns the log index of the last write of the version.
func (version Version) Revision() uint64 { return version.revision }

// WithRevision returns a copy of the version with the given revision.
func (version Version) WithRevision(revision uint64) Resource {
	version.revision = revision
	return version
}

func (version Version) check(config *Config) error {
	if err := checkName(version.Key(), "name", version.name); err != nil {
		return err
	}
	if _, ok := config.Service(version.service); !ok {
		return validationError(version.Key(), "service", "service %q does not exist", version.service)
	}
	if version.minTargets < 1 {
		return validationError(version.Key(), "minTargets", "must be at least 1, is %d", version.minTargets)
	}
	return nil
}
