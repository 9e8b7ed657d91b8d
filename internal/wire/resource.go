// Package wire defines the encoded form of the data that nodes, control VMs and
// vpctl exchange or store on disk, and the conversions between these types and
// the types of the domain packages.
//
// The version of a configuration is the log index of its last write, and the
// revision of a resource is the version in which it was last written. The
// number of a configuration is assigned by operators when they replace all
// services and routes. The version of a service is a version of the software of
// its targets.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Resource is the encoded form of one resource. The format of Spec depends on
// Kind.
type Resource struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// ServiceSpec is the spec of a resource of kind "service". WarmUp is a Go duration.
type ServiceSpec struct {
	Policy         string `json:"policy,omitempty"`
	HealthPath     string `json:"healthPath,omitempty"`
	MaxConnections int    `json:"maxConnections,omitempty"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitempty"`
	WarmUp         string `json:"warmUp,omitempty"`
	// WarmUpRate is in calls per second.
	WarmUpRate float64 `json:"warmUpRate,omitempty"`
}

// VersionSpec is the spec of a resource of kind "version". The name of the
// resource has the form "service/version".
type VersionSpec struct {
	MinTargets int `json:"minTargets,omitempty"`
}

// RouteSpec is the spec of a resource of kind "route". Timeout and Objective
// are Go durations such as "10s".
type RouteSpec struct {
	Service     string `json:"service,omitempty"`
	Prefix      string `json:"prefix"`
	Version     string `json:"version,omitempty"`
	Timeout     string `json:"timeout,omitempty"`
	Host        string `json:"host,omitempty"`
	Kind        string `json:"kind,omitempty"`
	Split       []Part `json:"split,omitempty"`
	MaxAttempts int    `json:"maxAttempts,omitempty"`
	Objective   string `json:"objective,omitempty"`
	Priority    int    `json:"priority,omitempty"`
	Public      *bool  `json:"public,omitempty"`
}

// Part is one of the services of a split route, with its weight. The
// name is fixed: it appears in the error messages that clients get for a
// malformed body.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// EditionSpec is the spec of a resource of kind "edition", which holds the
// number that operators assigned to a full configuration and the request limits
// that came with it. Sizes are in bytes, timeouts are Go durations.
type EditionSpec struct {
	Number        uint64 `json:"number"`
	MaxHeader     int    `json:"maxHeaderBytes,omitempty"`
	MaxBody       int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout string `json:"headerTimeout,omitempty"`
	IdleTimeout   string `json:"idleTimeout,omitempty"`
	// Accounts and Numbers are set only in the store. Accounts is nil if operators sent no
	// list.
	Accounts []string           `json:"accounts,omitzero"`
	Numbers  map[string]float64 `json:"numbers,omitempty"`
}

// RolloutSpec is the spec of a resource of kind "rollout". The name of the
// resource is the name of the route, or "services/" followed by the name of the
// service. Service and TimeLimit are set only for the rollout of a service.
// TimeLimit is a Go duration. Epoch is the revision of the write that started
// the rollout. FullShareAt is the time at which the new version got all calls,
// or zero.
type RolloutSpec struct {
	Service     string    `json:"service,omitempty"`
	TimeLimit   string    `json:"within,omitempty"`
	From        string    `json:"from,omitempty"`
	To          string    `json:"to"`
	Deadline    time.Time `json:"by"`
	Epoch       uint64    `json:"epoch,omitempty"`
	FullShareAt time.Time `json:"finished,omitzero"`
	Steps       []Step    `json:"steps"`
}

// EvacuationSpec is the spec of a resource of kind "evacuation", which is named by the
// zone.
type EvacuationSpec struct {
	Active bool `json:"active"`
}

// Step is the encoded form of one decision on a rollout. Share is the share of
// calls that go to the new version, in permille.
type Step struct {
	State string    `json:"state"`
	Share int       `json:"share"`
	Cause string    `json:"cause"`
	At    time.Time `json:"at"`
}

// WitnessesSpec is the spec of a resource of kind "witnesses", which lists the
// nodes that store the claims on idempotency keys. The current placement comes
// first.
type WitnessesSpec struct {
	Placements []Placement `json:"placements"`
}

// Placement is the encoded form of one set of witnesses. Until is the time from
// which the placement may be removed. It is zero for the current placement.
type Placement struct {
	Nodes []string  `json:"nodes"`
	Until time.Time `json:"until,omitzero"`
}

// Key is the encoded form of the key of a resource.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// FromKey returns the encoded form of a key.
func FromKey(key rsrc.Key) Key { return Key{Kind: string(key.Kind()), Name: key.Name()} }

// Domain converts the key to the domain type.
func (key Key) Domain() rsrc.Key { return rsrc.NewKey(rsrc.Kind(key.Kind), key.Name) }

// FieldError reports a resource or a field that cannot be decoded. Path is the
// kind and name of the resource or the path of the field in it. The error of a
// field is nested in the error of its resource.
type FieldError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (err *FieldError) Error() string { return err.Path + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *FieldError) Unwrap() error { return err.Err }

// DecodeStrict decodes exactly one JSON value into target. It returns an error
// for unknown fields and for trailing data.
func DecodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the value")
	}
	return nil
}

// MustEncode returns the JSON of a wire type. It panics if encoding fails. The
// caller guarantees that raw JSON in value is valid, and that times and numbers
// can be represented in JSON.
func MustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("wire: cannot encode %T: %v", value, err))
	}
	return data
}

// FromResource returns the encoded form of a resource, with digests in place of the
// keys of an account.
func FromResource(resource rsrc.Resource) Resource {
	key := resource.Key()
	return Resource{
		Kind:     string(key.Kind()),
		Name:     key.Name(),
		Revision: resource.Revision(),
		Spec:     MustEncode(specOf(resource)),
	}
}

func specOf(resource rsrc.Resource) any {
	switch value := resource.(type) {
	case rsrc.Service:
		return fromService(value)
	case rsrc.Version:
		return VersionSpec{MinTargets: value.MinTargets()}
	case rsrc.Route:
		return fromRoute(value)
	case rsrc.Rollout:
		return fromRollout(value)
	case rsrc.Witnesses:
		return fromWitnesses(value)
	case rsrc.Edition:
		return fromEdition(value)
	case rsrc.Account:
		return fromAccount(value)
	case rsrc.Evacuation:
		return EvacuationSpec{Active: value.Active()}
	default:
		panic(fmt.Sprintf("wire: unexpected resource type %T", resource))
	}
}

func fromRollout(rollout rsrc.Rollout) RolloutSpec {
	spec := RolloutSpec{
		Service:     rollout.Service(),
		TimeLimit:   formatDuration(rollout.TimeLimit()),
		From:        rollout.From(),
		To:          rollout.To(),
		Deadline:    rollout.Deadline(),
		Epoch:       rollout.Epoch(),
		FullShareAt: rollout.FullShareAt(),
	}
	for _, step := range rollout.Steps() {
		spec.Steps = append(spec.Steps, Step{State: string(step.State), Share: step.Share, Cause: step.Cause, At: step.At})
	}
	return spec
}

func fromWitnesses(witnesses rsrc.Witnesses) WitnessesSpec {
	spec := WitnessesSpec{}
	for _, placement := range witnesses.Placements() {
		spec.Placements = append(spec.Placements, Placement{Nodes: placement.Nodes, Until: placement.Until})
	}
	return spec
}

// Domain converts the resource to the domain type. It returns a *FieldError
// that names the resource if the resource cannot be decoded. Rules that involve
// several resources are not checked here; rsrc.Config checks them.
func (resource Resource) Domain() (rsrc.Resource, error) {
	value, err := resource.decode()
	if err != nil {
		return nil, &FieldError{Path: resource.Kind + "/" + resource.Name, Err: err}
	}
	if resource.Revision > 0 {
		value = value.WithRevision(resource.Revision)
	}
	return value, nil
}

func (resource Resource) decode() (rsrc.Resource, error) {
	switch rsrc.Kind(resource.Kind) {
	case rsrc.KindService:
		spec, err := decodeSpec[ServiceSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain(resource.Name)
	case rsrc.KindVersion:
		return resource.decodeVersion()
	case rsrc.KindRoute:
		return resource.decodeRoute()
	case rsrc.KindRollout:
		spec, err := decodeSpec[RolloutSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain(resource.Name)
	case rsrc.KindWitnesses:
		spec, err := decodeSpec[WitnessesSpec](resource.Spec)
		return spec.domain(), err
	case rsrc.KindEdition:
		spec, err := decodeSpec[EditionSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain()
	case rsrc.KindAccount:
		spec, err := decodeSpec[AccountSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain(resource.Name)
	case rsrc.KindEvacuation:
		spec, err := decodeSpec[EvacuationSpec](resource.Spec)
		return rsrc.NewEvacuation(resource.Name, spec.Active), err
	default:
		return nil, fmt.Errorf("kind %q is unknown: use service, version, route or account", resource.Kind)
	}
}

func decodeSpec[T any](data json.RawMessage) (T, error) {
	var spec T
	if len(data) == 0 {
		return spec, nil
	}
	if err := DecodeStrict(data, &spec); err != nil {
		return spec, &FieldError{Path: "spec", Err: err}
	}
	return spec, nil
}

func (resource Resource) decodeVersion() (rsrc.Resource, error) {
	spec, err := decodeSpec[VersionSpec](resource.Spec)
	service, name, ok := rsrc.ParseVersionName(resource.Name)
	if err == nil && !ok {
		err = fmt.Errorf("the name %q is not of the form service/version", resource.Name)
	}
	return rsrc.NewVersion(service, name, spec.MinTargets), err
}

func (resource Resource) decodeRoute() (rsrc.Resource, error) {
	spec, err := decodeSpec[RouteSpec](resource.Spec)
	if err != nil {
		return rsrc.Route{}, err
	}
	timeout, err := parseDuration("spec.timeout", spec.Timeout)
	if err != nil {
		return rsrc.Route{}, err
	}
	objective, err := parseDuration("spec.objective", spec.Objective)
	if err != nil {
		return rsrc.Route{}, err
	}
	options := rsrc.RouteOptions{
		Host:        spec.Host,
		Kind:        rsrc.CallKind(spec.Kind),
		MaxAttempts: spec.MaxAttempts,
		Objective:   objective,
		Priority:    spec.Priority,
	}
	if spec.Public != nil {
		options.Public, options.PublicStated = *spec.Public, true
	}
	for _, part := range spec.Split {
		options.Split = append(options.Split, rsrc.WeightedService(part))
	}
	return rsrc.NewRoute(resource.Name, spec.Service, spec.Prefix, spec.Version, timeout).WithOptions(options), nil
}

// parseDuration parses a Go duration. It returns zero for an empty text. An error
// is a *FieldError with the given path.
func parseDuration(path, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, &FieldError{Path: path, Err: fmt.Errorf("%q is not a duration such as 10s or 250ms", text)}
	}
	return duration, nil
}

// formatDuration returns the text of a duration, which is empty for zero.
func formatDuration(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

func fromRoute(route rsrc.Route) RouteSpec {
	options := route.Options()
	spec := RouteSpec{
		Service:     route.Service(),
		Prefix:      route.Prefix(),
		Version:     route.Version(),
		Timeout:     route.Timeout().String(),
		Host:        options.Host,
		Kind:        string(options.Kind),
		MaxAttempts: options.MaxAttempts,
		Objective:   formatDuration(options.Objective),
		Priority:    options.Priority,
	}
	if options.Public || options.PublicStated {
		spec.Public = &options.Public
	}
	for _, part := range options.Split {
		spec.Split = append(spec.Split, Part(part))
	}
	return spec
}

func fromService(service rsrc.Service) ServiceSpec {
	options := service.TargetOptions()
	return ServiceSpec{
		Policy:         string(service.Policy()),
		HealthPath:     options.HealthPath,
		MaxConnections: options.MaxConnections,
		Protocol:       options.Protocol,
		TLS:            options.TLS,
		WarmUp:         formatDuration(service.WarmUp().WarmUp),
		WarmUpRate:     service.WarmUp().WarmUpRate,
	}
}

func (spec ServiceSpec) domain(name string) (rsrc.Service, error) {
	warmUp, err := parseDuration("spec.warmUp", spec.WarmUp)
	service := rsrc.NewService(name, rsrc.Policy(spec.Policy)).WithTargetOptions(rsrc.TargetOptions{
		HealthPath:     spec.HealthPath,
		MaxConnections: spec.MaxConnections,
		Protocol:       spec.Protocol,
		TLS:            spec.TLS,
	})
	return service.WithWarmUp(rsrc.WarmUp{WarmUp: warmUp, WarmUpRate: spec.WarmUpRate}), err
}

func fromEdition(edition rsrc.Edition) EditionSpec {
	limits := edition.Limits()
	return EditionSpec{
		Number:        edition.Number(),
		MaxHeader:     limits.MaxHeader,
		MaxBody:       limits.MaxBody,
		HeaderTimeout: formatDuration(limits.HeaderTimeout),
		IdleTimeout:   formatDuration(limits.IdleTimeout),
	}
}

func (spec EditionSpec) domain() (rsrc.Edition, error) {
	header, err := parseDuration("spec.headerTimeout", spec.HeaderTimeout)
	if err != nil {
		return rsrc.Edition{}, err
	}
	idle, err := parseDuration("spec.idleTimeout", spec.IdleTimeout)
	return rsrc.NewEdition(spec.Number, rsrc.Limits{
		MaxHeader:     spec.MaxHeader,
		MaxBody:       spec.MaxBody,
		HeaderTimeout: header,
		IdleTimeout:   idle,
	}).WithAccounts(spec.Accounts).WithNumbers(spec.Numbers), err
}

// domain converts the spec. name is the name of the resource, which is the name
// of the route unless the spec has a service.
func (spec RolloutSpec) domain(name string) (rsrc.Rollout, error) {
	steps := make([]rsrc.Step, 0, len(spec.Steps))
	for _, step := range spec.Steps {
		steps = append(steps, rsrc.Step{State: rsrc.State(step.State), Share: step.Share, Cause: step.Cause, At: step.At})
	}
	timeLimit, err := parseDuration("spec.within", spec.TimeLimit)
	if err != nil {
		return rsrc.Rollout{}, err
	}
	if spec.Service != "" {
		name = ""
	}
	rollout := rsrc.RestoreRollout(name, spec.From, spec.To, spec.Deadline, spec.Epoch, spec.FullShareAt, steps)
	return rollout.WithService(spec.Service, timeLimit), nil
}

func (spec WitnessesSpec) domain() rsrc.Witnesses {
	placements := make([]rsrc.Placement, 0, len(spec.Placements))
	for _, placement := range spec.Placements {
		placements = append(placements, rsrc.Placement{Nodes: placement.Nodes, Until: placement.Until})
	}
	return rsrc.NewWitnesses(placements...)
}

func fromResources(resources []rsrc.Resource) []Resource {
	encoded := make([]Resource, 0, len(resources))
	for _, resource := range resources {
		encoded = append(encoded, FromResource(resource))
	}
	return encoded
}

func toResources(encoded []Resource) ([]rsrc.Resource, error) {
	resources := make([]rsrc.Resource, 0, len(encoded))
	for _, item := range encoded {
		resource, err := item.Domain()
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	return resources, nil
}
