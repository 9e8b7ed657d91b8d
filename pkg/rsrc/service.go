package rsrc

import "strings"

// Policy tells a service's rollouts how to weigh completion in time against
// rollback when evidence is short.
type Policy string

// The policies a service may choose.
const (
	// PolicyBalanced asks for full evidence and fails at the deadline without it.
	PolicyBalanced Policy = "balanced"
	// PolicyCompletion accepts weaker evidence near the deadline.
	PolicyCompletion Policy = "completion"
	// PolicyRollback asks for stronger evidence and never hurries.
	PolicyRollback Policy = "rollback"
)

// Service is a group of interchangeable upstreams under one name.
type Service struct {
	name     string
	revision uint64
	// policy is one of the Policy constants.
	policy        Policy
	targetOptions TargetOptions
}

// TargetOptions is how a service's targets are reached. The nodes go by what the
// targets announce; these fields are kept for operators.
type TargetOptions struct {
	HealthPath string
	// MaxConnections is how many connections one target takes from all callers
	// together; zero means unknown.
	MaxConnections int
	Protocol       string
	TLS            bool
}

// WithTargetOptions returns the service with another description of its targets.
func (service Service) WithTargetOptions(targetOptions TargetOptions) Service {
	service.targetOptions = targetOptions
	return service
}

// TargetOptions returns how the service's targets are reached.
func (service Service) TargetOptions() TargetOptions { return service.targetOptions }

// NewService returns a service; an empty policy means PolicyBalanced.
func NewService(name string, policy Policy) Service {
	if policy == "" {
		policy = PolicyBalanced
	}
	return Service{name: name, policy: policy}
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

// Policy returns how the service's rollouts decide on short evidence.
func (service Service) Policy() Policy { return service.policy }

// Key returns the service's identity.
func (service Service) Key() Key { return NewKey(KindService, service.name) }

// Revision returns the log index of the service's last write.
func (service Service) Revision() uint64 { return service.revision }

// WithRevision returns the service under another revision.
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

// Version is one upstream version of a service.
type Version struct {
	service  string
	name     string
	revision uint64
	// minTargets is at least one.
	minTargets int
}

// NewVersion returns an upstream version. It takes a route's whole traffic
// only while at least minTargets targets are announced; zero means one.
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

// ParseVersionName takes a version key's name apart.
func ParseVersionName(name string) (service, version string, ok bool) {
	return strings.Cut(name, "/")
}

// Service returns the name of the service the version belongs to.
func (version Version) Service() string { return version.service }

// Name returns the version's name within its service.
func (version Version) Name() string { return version.name }

// MinTargets returns how many targets must be announced before the version
// may take all traffic.
func (version Version) MinTargets() int { return version.minTargets }

// Key returns the version's identity.
func (version Version) Key() Key { return VersionKey(version.service, version.name) }

// Revision returns the log index of the version's last write.
func (version Version) Revision() uint64 { return version.revision }

// WithRevision returns the version under another revision.
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
