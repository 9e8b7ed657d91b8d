package rsrc

import "strings"

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
}

// TargetOptions describes how to reach the targets of a service. The fields are
// stored for operators only: the nodes use what the targets announce.
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
	switch service.policy {
	case PolicyBalanced, PolicyCompletion, PolicyRollback:
		return nil
	default:
		return validationError(service.Key(), "policy", "%q is unknown: use balanced, completion or rollback", service.policy)
	}
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
