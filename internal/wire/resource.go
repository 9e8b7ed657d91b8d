// Package wire holds the types that travel between processes and onto disk,
// and the hand-written conversions between them and the domain.
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

// Resource is the written form of one resource. Spec depends on Kind.
type Resource struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// ServiceSpec is the spec of kind "service".
type ServiceSpec struct {
	Policy         string `json:"policy,omitempty"`
	HealthPath     string `json:"healthPath,omitempty"`
	MaxConnections int    `json:"maxConnections,omitempty"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitempty"`
}

// VersionSpec is the spec of kind "version"; the name is "service/version".
type VersionSpec struct {
	MinTargets int `json:"minTargets,omitempty"`
}

// RouteSpec is the spec of kind "route". Timeout and Objective are Go
// durations ("10s").
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
}

// Part is one service's part of a split route.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// EditionSpec is the spec of kind "edition". Sizes are in bytes, times are Go
// durations.
type EditionSpec struct {
	Number        uint64 `json:"number"`
	MaxHeader     int    `json:"maxHeaderBytes,omitempty"`
	MaxBody       int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout string `json:"headerTimeout,omitempty"`
	IdleTimeout   string `json:"idleTimeout,omitempty"`
}

// RolloutSpec is the spec of kind "rollout"; the name is the route's, or
// "services/" and the service's. Within is a Go duration.
type RolloutSpec struct {
	Service  string    `json:"service,omitempty"`
	Within   string    `json:"within,omitempty"`
	From     string    `json:"from,omitempty"`
	To       string    `json:"to"`
	By       time.Time `json:"by"`
	Epoch    uint64    `json:"epoch,omitempty"`
	Finished time.Time `json:"finished,omitzero"`
	Steps    []Step    `json:"steps"`
}

// Step is one decision about a rollout. Share is in permille.
type Step struct {
	State string    `json:"state"`
	Share int       `json:"share"`
	Cause string    `json:"cause"`
	At    time.Time `json:"at"`
}

// WitnessesSpec is the spec of kind "witnesses".
type WitnessesSpec struct {
	Placements []Placement `json:"placements"`
}

// Placement is one set of witnesses.
type Placement struct {
	Nodes []string  `json:"nodes"`
	Until time.Time `json:"until,omitzero"`
}

// Key is the written form of a resource's key.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// FromKey converts a key.
func FromKey(key rsrc.Key) Key { return Key{Kind: string(key.Kind()), Name: key.Name()} }

// Domain converts back.
func (key Key) Domain() rsrc.Key { return rsrc.NewKey(rsrc.Kind(key.Kind), key.Name) }

// FieldError reports a field that cannot be read.
type FieldError struct {
	Path string
	Err  error
}

// Error returns path and cause.
func (err *FieldError) Error() string { return err.Path + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *FieldError) Unwrap() error { return err.Err }

// Strict decodes exactly one JSON value into target and refuses unknown
// fields and trailing data.
func Strict(data []byte, target any) error {
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

// Must encodes a wire type; these types cannot fail to encode.
func Must(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("wire: %T does not encode: %v", value, err))
	}
	return data
}

// FromResource converts a resource.
func FromResource(resource rsrc.Resource) Resource {
	key := resource.Key()
	return Resource{
		Kind:     string(key.Kind()),
		Name:     key.Name(),
		Revision: resource.Revision(),
		Spec:     Must(specOf(resource)),
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
	default:
		panic(fmt.Sprintf("wire: resource of type %T", resource))
	}
}

func fromRollout(rollout rsrc.Rollout) RolloutSpec {
	spec := RolloutSpec{
		Service:  rollout.Service(),
		Within:   formatDuration(rollout.TimeLimit()),
		From:     rollout.From(),
		To:       rollout.To(),
		By:       rollout.Deadline(),
		Epoch:    rollout.Epoch(),
		Finished: rollout.FullShareAt(),
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

// Domain converts a written resource, or says which field is wrong. Rules
// between resources are checked by the configuration, not here.
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
		spec, err := strictSpec[ServiceSpec](resource.Spec)
		return spec.domain(resource.Name), err
	case rsrc.KindVersion:
		return resource.decodeVersion()
	case rsrc.KindRoute:
		return resource.decodeRoute()
	case rsrc.KindRollout:
		spec, err := strictSpec[RolloutSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain(resource.Name)
	case rsrc.KindWitnesses:
		spec, err := strictSpec[WitnessesSpec](resource.Spec)
		return spec.domain(), err
	case rsrc.KindEdition:
		spec, err := strictSpec[EditionSpec](resource.Spec)
		if err != nil {
			return nil, err
		}
		return spec.domain()
	default:
		return nil, fmt.Errorf("kind %q is unknown: use service, version or route", resource.Kind)
	}
}

func strictSpec[T any](data json.RawMessage) (T, error) {
	var spec T
	if len(data) == 0 {
		return spec, nil
	}
	if err := Strict(data, &spec); err != nil {
		return spec, &FieldError{Path: "spec", Err: err}
	}
	return spec, nil
}

func (resource Resource) decodeVersion() (rsrc.Resource, error) {
	spec, err := strictSpec[VersionSpec](resource.Spec)
	service, name, ok := rsrc.ParseVersionName(resource.Name)
	if err == nil && !ok {
		err = fmt.Errorf("the name %q is not of the form service/version", resource.Name)
	}
	return rsrc.NewVersion(service, name, spec.MinTargets), err
}

func (resource Resource) decodeRoute() (rsrc.Resource, error) {
	spec, err := strictSpec[RouteSpec](resource.Spec)
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
	for _, part := range spec.Split {
		options.Split = append(options.Split, rsrc.WeightedService(part))
	}
	return rsrc.NewRoute(resource.Name, spec.Service, spec.Prefix, spec.Version, timeout).WithOptions(options), nil
}

// parseDuration reads a Go duration; an empty text is zero.
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

// formatDuration writes zero as an empty text.
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
	for _, part := range options.Split {
		spec.Split = append(spec.Split, Part(part))
	}
	return spec
}

func fromService(service rsrc.Service) ServiceSpec {
	backend := service.TargetOptions()
	return ServiceSpec{
		Policy:         string(service.Policy()),
		HealthPath:     backend.HealthPath,
		MaxConnections: backend.MaxConnections,
		Protocol:       backend.Protocol,
		TLS:            backend.TLS,
	}
}

func (spec ServiceSpec) domain(name string) rsrc.Service {
	return rsrc.NewService(name, rsrc.Policy(spec.Policy)).WithTargetOptions(rsrc.TargetOptions{
		HealthPath:     spec.HealthPath,
		MaxConnections: spec.MaxConnections,
		Protocol:       spec.Protocol,
		TLS:            spec.TLS,
	})
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
	}), err
}

func (spec RolloutSpec) domain(route string) (rsrc.Rollout, error) {
	steps := make([]rsrc.Step, 0, len(spec.Steps))
	for _, step := range spec.Steps {
		steps = append(steps, rsrc.Step{State: rsrc.State(step.State), Share: step.Share, Cause: step.Cause, At: step.At})
	}
	within, err := parseDuration("spec.within", spec.Within)
	if err != nil {
		return rsrc.Rollout{}, err
	}
	if spec.Service != "" {
		route = ""
	}
	rollout := rsrc.RestoreRollout(route, spec.From, spec.To, spec.By, spec.Epoch, spec.Finished, steps)
	return rollout.WithService(spec.Service, within), nil
}

func (spec WitnessesSpec) domain() rsrc.Witnesses {
	placements := make([]rsrc.Placement, 0, len(spec.Placements))
	for _, placement := range spec.Placements {
		placements = append(placements, rsrc.Placement{Nodes: placement.Nodes, Until: placement.Until})
	}
	return rsrc.NewWitnesses(placements...)
}

func fromResources(resources []rsrc.Resource) []Resource {
	written := make([]Resource, 0, len(resources))
	for _, resource := range resources {
		written = append(written, FromResource(resource))
	}
	return written
}

func toResources(written []Resource) ([]rsrc.Resource, error) {
	resources := make([]rsrc.Resource, 0, len(written))
	for _, item := range written {
		resource, err := item.Domain()
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	return resources, nil
}
