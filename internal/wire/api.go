package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// ApplyRequest is the body of POST /v1/apply: a set of writes that is accepted
// or refused as a whole. The revision of each resource is the revision that the
// write is based on, or zero for a new resource.
type ApplyRequest struct {
	Resources []Resource     `json:"resources,omitempty"`
	Remove    []RemoveTarget `json:"remove,omitempty"`
}

// RemoveTarget identifies a resource to remove, and the revision that the
// removal is based on. The name is fixed: it appears in the error messages that
// clients get for a malformed body.
type RemoveTarget struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// RolloutRequest is the body of POST /v1/rollouts, which starts the rollout of
// a route. To is the new version, By the deadline.
type RolloutRequest struct {
	Route string    `json:"route"`
	To    string    `json:"to"`
	By    time.Time `json:"by"`
}

// ReplaceRequest is the body of POST /v1/replace: a configuration that replaces
// all services and routes. Number is assigned by the operators and increases
// with every configuration. Base is the number of the configuration that this
// one is based on, or zero for the first configuration.
type ReplaceRequest struct {
	Number    uint64     `json:"number"`
	Base      uint64     `json:"base,omitempty"`
	Resources []Resource `json:"resources"`
	Limits    LimitsSpec `json:"limits,omitzero"`
}

// LimitsSpec holds the limits on requests from callers. If a field is left out,
// the default of the node applies. Timeouts are Go durations, sizes are in
// bytes.
type LimitsSpec struct {
	MaxHeader     int    `json:"maxHeaderBytes,omitempty"`
	MaxBody       int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout string `json:"headerTimeout,omitempty"`
	IdleTimeout   string `json:"idleTimeout,omitempty"`
}

// Domain converts the limits to the domain type. It returns an error if a
// timeout cannot be parsed. The conversion uses an EditionSpec, whose Number has
// no effect on the limits.
func (spec LimitsSpec) Domain() (rsrc.Limits, error) {
	edition, err := EditionSpec{
		Number: 1, MaxHeader: spec.MaxHeader, MaxBody: spec.MaxBody,
		HeaderTimeout: spec.HeaderTimeout, IdleTimeout: spec.IdleTimeout,
	}.domain()
	return edition.Limits(), err
}

// ShiftRequest is the body of POST /v1/shifts, which starts the rollout of a
// whole service. Within is the time limit of the rollout, as a Go duration. On
// the users' platform, package platform handles this path instead, with a
// different body. The name is fixed: it appears in the error messages that
// clients get for a malformed body.
type ShiftRequest struct {
	Service string `json:"service"`
	To      string `json:"to"`
	Within  string `json:"within"`
}

// Accepted is the response to an accepted ReplaceRequest or ShiftRequest. Its
// code is CodeOK.
type Accepted struct {
	Code Code `json:"code"`
}

// RollbackRequest is the body of POST /v1/rollbacks, which rolls back the
// rollout of a route.
type RollbackRequest struct {
	Route string `json:"route"`
	Cause string `json:"cause,omitempty"`
}

// ResourceList is the response to a read or a watch: the resources, and the
// version of the configuration that they were read from. For a watch, Resources
// and Removed hold the changes since the version in the request, or a full copy
// if these changes cannot be computed.
type ResourceList struct {
	Version   uint64     `json:"version"`
	Resources []Resource `json:"resources"`
	Removed   []Removal  `json:"removed,omitempty"`
}

// APIError is the body of every error response of the API.
type APIError struct {
	Code   Code   `json:"code"`
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
}

// Error returns the path, if there is one, and the reason.
func (err *APIError) Error() string {
	if err.Path == "" {
		return err.Reason
	}
	return err.Path + ": " + err.Reason
}

// Error codes that are not results of a command.
const (
	CodeNotFound    Code = "notFound"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// Status describes the control plane as known to one control VM: the leader in
// the response to GET /v1/status, and the control VM that handles the request in
// the response to GET /v1/health. Name, Role, Term and Version are those of this
// control VM, and Leader is the name of the leader.
type Status struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Version uint64 `json:"version"`
	// InForce is the lowest configuration version in force in the subtree of
	// the control VM, and Nodes is the number of nodes in it, according to the
	// latest reports from the subtree. The subtree of the leader contains all
	// nodes. Children is the number of direct children.
	InForce  uint64   `json:"inForce"`
	Nodes    int      `json:"nodes"`
	Children int      `json:"children"`
	Replicas []Member `json:"replicas"`
}

// ResourceFile is the format of the resource files of operators. A resource
// without a revision overwrites the current resource.
type ResourceFile struct {
	Resources []Resource `json:"resources"`
}

// MemberList is the response to GET /v1/members.
type MemberList struct {
	Members []NodeMember `json:"members"`
}

// NodeMember describes a node to operators. Gate is its address for calls, and
// Link its address for control connections. Slots is the number of calls that
// its upstream runs concurrently.
type NodeMember struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Gate    string `json:"gate"`
	Link    string `json:"link"`
	// Draining is true if the upstream accepts no new calls.
	Draining bool `json:"draining,omitempty"`
	// Limit is the rate limit of the upstream in calls per second, or nil if there is
	// none. LimitedSince is when its node first heard of it, in milliseconds since
	// 1970, and LimitSource is how the node learnt of it: from the "upstream", from
	// the "record" that others kept, or from an "entry node".
	Limit        *float64 `json:"limit,omitempty"`
	LimitedSince int64    `json:"limitedSince,omitempty"`
	LimitSource  string   `json:"limitSource,omitempty"`
}

// Announcement is the state that an upstream announces to the node next to it.
// Slots is the number of calls that it runs concurrently. TTL is a Go duration.
// If the upstream does not repeat the announcement within TTL, the node treats
// the upstream as gone.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	TTL     string `json:"ttl"`
	// Cold is for how long the upstream stays cold, a Go duration; empty for an upstream
	// that is warm.
	Cold string `json:"cold,omitempty"`
}

// JoinRequest asks the control plane to add a replica as a learner.
type JoinRequest struct {
	Member Member `json:"member"`
}

// JoinAnswer is the response to a JoinRequest. Joined is true if the replica is
// already a member with the address in the request. If Leader is not empty, the
// request was not accepted and Leader is the address of the leader, to which the
// replica can send the request. If Joined is false and Leader is empty, the
// replica sends the request again later.
type JoinAnswer struct {
	Joined bool   `json:"joined"`
	Leader string `json:"leader,omitempty"`
}

// LeaveRequest tells the leader that a replica is about to stop.
type LeaveRequest struct {
	ID string `json:"id"`
}

// LeaveAnswer is the response to a LeaveRequest. Done is true if the replica may stop. If
// it is false, the replica sends the request again later. Refused is true if the replica
// that was asked is not the leader.
type LeaveAnswer struct {
	Done    bool `json:"done"`
	Refused bool `json:"refused,omitempty"`
}

// MethodDeparture is the RPC method by which a node has a control VM keep the departure of
// its upstream. The answer is empty. It means that a quorum has it on disk.
const MethodDeparture = "departure"

// DepartureRequest contains the record of a node whose upstream leaves.
type DepartureRequest struct {
	Record Record `json:"record"`
}

// ProposeAnswer is the response of the leader to a command that another replica
// has forwarded.
type ProposeAnswer struct {
	Result Result `json:"result"`
}

// MethodVersion is the request of a node to a control VM for the configuration version
// that it has in force. It is answered with a ReadAnswer.
const MethodVersion = "version"

// ReadAnswer is the response of the leader to a read that another replica has
// forwarded. That replica serves the read once it has applied all log entries
// up to Index.
type ReadAnswer struct {
	Index uint64 `json:"index"`
}
