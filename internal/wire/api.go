package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// ApplyRequest is the body of POST /v1/apply: a set of writes that is
// accepted or refused whole. The revision of each resource is the one the
// write is based on, zero for a new one.
type ApplyRequest struct {
	Resources []Resource        `json:"resources,omitempty"`
	Remove    []ResourceRemoval `json:"remove,omitempty"`
}

// RemoveTarget names a resource to remove at a revision.
type ResourceRemoval struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// RolloutRequest is the body of POST /v1/rollouts.
type RolloutRequest struct {
	Route string    `json:"route"`
	To    string    `json:"to"`
	By    time.Time `json:"by"`
}

// ReplaceRequest is the body of POST /v1/replace: all services and routes.
// Number is the operators' own and rises; Base is the number that this one
// builds on, zero for the first. Times are Go durations, sizes are in bytes.
type ReplaceRequest struct {
	Number    uint64     `json:"number"`
	Base      uint64     `json:"base,omitempty"`
	Resources []Resource `json:"resources"`
	Limits    LimitsSpec `json:"limits,omitzero"`
}

// LimitsSpec bounds what callers may send; what is left out is left to the
// nodes.
type LimitsSpec struct {
	MaxHeader     int    `json:"maxHeaderBytes,omitempty"`
	MaxBody       int    `json:"maxBodyBytes,omitempty"`
	HeaderTimeout string `json:"headerTimeout,omitempty"`
	IdleTimeout   string `json:"idleTimeout,omitempty"`
}

// Domain converts the limits.
func (spec LimitsSpec) Domain() (rsrc.Limits, error) {
	edition, err := EditionSpec{
		Number: 1, MaxHeader: spec.MaxHeader, MaxBody: spec.MaxBody,
		HeaderTimeout: spec.HeaderTimeout, IdleTimeout: spec.IdleTimeout,
	}.domain()
	return edition.Limits(), err
}

// ShiftRequest is the body of POST /v1/shifts: the rollout of a whole service.
// Within is a Go duration.
type ServiceRolloutRequest struct {
	Service string `json:"service"`
	To      string `json:"to"`
	Within  string `json:"within"`
}

// Accepted answers an order that was accepted.
type Accepted struct {
	Code Code `json:"code"`
}

// RollbackRequest is the body of POST /v1/rollbacks.
type RollbackRequest struct {
	Route string `json:"route"`
	Cause string `json:"cause,omitempty"`
}

// ResourceList answers a read or a watch: the resources and the version of
// the configuration they were read from.
type ResourceList struct {
	Version   uint64     `json:"version"`
	Resources []Resource `json:"resources"`
	Removed   []Removal  `json:"removed,omitempty"`
}

// APIError is the body of every refusal.
type APIError struct {
	Code   Code   `json:"code"`
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
}

// Error returns path and reason.
func (err *APIError) Error() string {
	if err.Path == "" {
		return err.Reason
	}
	return err.Path + ": " + err.Reason
}

// The codes of refusals that are not results of a command.
const (
	CodeNotFound    Code = "notFound"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// Status answers GET /v1/status.
type Status struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Version uint64 `json:"version"`
	// InForce is the lowest version in force on the nodes, Nodes their number;
	// both are what the leader was told last.
	InForce  uint64   `json:"inForce"`
	Nodes    int      `json:"nodes"`
	Children int      `json:"children"`
	Replicas []Member `json:"replicas"`
}

// ResourceFile is what operators write in files: resources without revisions
// are written over what is there now.
type ResourceFile struct {
	Resources []Resource `json:"resources"`
}

// MemberList answers GET /v1/members.
type MemberList struct {
	Members []NodeMember `json:"members"`
}

// NodeMember describes a node for operators.
type NodeMember struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Gate    string `json:"gate"`
	Link    string `json:"link"`
}

// Announcement is what an upstream tells the node beside it. TTL is a Go
// duration; without a repeat in that time the upstream counts as gone.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	TTL     string `json:"ttl"`
}

// JoinRequest asks the control plane to take a replica as a learner.
type JoinRequest struct {
	Member Member `json:"member"`
}

// JoinAnswer tells whether the replica is a member; if not, Leader is where to
// ask.
type JoinAnswer struct {
	Joined bool   `json:"joined"`
	Leader string `json:"leader,omitempty"`
}

// ProposeAnswer is the answer to a forwarded command.
type ProposeAnswer struct {
	Result Result `json:"result"`
}

// ReadAnswer is the answer to a forwarded read.
type ReadAnswer struct {
	Index uint64 `json:"index"`
}
