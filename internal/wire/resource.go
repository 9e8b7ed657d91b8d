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
	Policy string `json:"policy,omitempty"`
}

// VersionSpec is the spec of kind "version"; the name is "service/version".
type VersionSpec struct {
	MinTargets int `json:"minTargets,omitempty"`
}

// RouteSpec is the spec of kind "route". Timeout is a Go duration ("10s").
type RouteSpec struct {
	Service string `json:"service"`
	Prefix  string `json:"prefix"`
	Version string `json:"version"`
	Timeout string `json:"timeout,omitempty"`
}

// RolloutSpec is the spec of kind "rollout"; the name is the route's.
type RolloutSpec struct {
	From     string    `json:"from"`
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
		return ServiceSpec{Policy: string(value.Policy())}
	case rsrc.Version:
		return VersionSpec{MinTargets: value.MinTargets()}
	case rsrc.Route:
		return RouteSpec{Service: value.Service(), Prefix: value.Prefix(), Version: value.Version(), Timeout: value.Timeout().String()}
	case rsrc.Rollout:
		return fromRollout(value)
	case rsrc.Witnesses:
		return fromWitnesses(value)
	default:
		panic(fmt.Sprintf("wire: resource of type %T", resource))
	}
}

func fromRollout(rollout rsrc.Rollout) RolloutSpec {
	spec := RolloutSpec{
		From:     rollout.From(),
		To:       rollout.To(),
		By:       rollout.By(),
		Epoch:    rollout.Epoch(),
		Finished: rollout.Finished(),
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
		return rsrc.NewService(resource.Name, rsrc.Policy(spec.Policy)), err
	case rsrc.KindVersion:
		return resource.decodeVersion()
	case rsrc.KindRoute:
		return resource.decodeRoute()
	case rsrc.KindRollout:
		spec, err := strictSpec[RolloutSpec](resource.Spec)
		return spec.domain(resource.Name), err
	case rsrc.KindWitnesses:
		spec, err := strictSpec[WitnessesSpec](resource.Spec)
		return spec.domain(), err
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
	service, name, ok := rsrc.SplitVersion(resource.Name)
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
	timeout := time.Duration(0)
	if spec.Timeout != "" {
		timeout, err = time.ParseDuration(spec.Timeout)
		if err != nil {
			return rsrc.Route{}, &FieldError{Path: "spec.timeout", Err: fmt.Errorf("%q is not a duration such as 10s or 250ms", spec.Timeout)}
		}
	}
	return rsrc.NewRoute(resource.Name, spec.Service, spec.Prefix, spec.Version, timeout), nil
}

func (spec RolloutSpec) domain(route string) rsrc.Rollout {
	steps := make([]rsrc.Step, 0, len(spec.Steps))
	for _, step := range spec.Steps {
		steps = append(steps, rsrc.Step{State: rsrc.State(step.State), Share: step.Share, Cause: step.Cause, At: step.At})
	}
	return rsrc.RestoreRollout(route, spec.From, spec.To, spec.By, spec.Epoch, spec.Finished, steps)
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
