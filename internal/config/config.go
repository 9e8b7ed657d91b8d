// Package config reads the settings of a process from a JSON file and validates
// them. Errors name the key of the invalid setting where it is known.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Error reports an invalid setting. Key is empty if the error is not about a single
// key or the key is not known.
type Error struct {
	File   string
	Key    string
	Reason string
}

// Error implements error. The text names the file and the key.
func (err *Error) Error() string {
	if err.Key == "" {
		return fmt.Sprintf("settings %s: %s", err.File, err.Reason)
	}
	return fmt.Sprintf("settings %s: %s: %s", err.File, err.Key, err.Reason)
}

// Duration is a duration that is written in Go syntax, such as "250ms" or "10m".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration: write a string with a unit, such as \"250ms\" or \"10m\"", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration: write a number with a unit, such as \"250ms\" or \"10m\"", text)
	}
	*duration = Duration(value)
	return nil
}

// Rollout holds the durations of rollouts. Zero means the default of package canary.
type Rollout struct {
	// Dwell is the minimum duration of one step of a rollout.
	Dwell Duration `json:"dwell"`
	// Watch is how long the versions are compared after the new version got all
	// traffic.
	Watch Duration `json:"watch"`
	// Cold is the period after the first calls of the new version in which its
	// latency is ignored.
	Cold Duration `json:"cold"`
}

// Control holds the settings of a control VM's daemon.
type Control struct {
	// Name and Zone are the name and the availability zone of this VM. Name must
	// be unique in the fleet.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Data is the path of the data folder. In the file, it may be relative to the
	// folder of the settings file.
	Data string `json:"data"`
	// API is the address for operators. Link is the address for nodes and other
	// control VMs.
	API  string `json:"api"`
	Link string `json:"link"`
	// ListenLink is the address to listen on, if it differs from Link because
	// connections to Link are forwarded. If ListenLink is empty, the process
	// listens on Link.
	ListenLink string `json:"listenLink"`
	// Peers lists the link addresses of the control VMs. It may include the
	// address of this VM, and must include it if Bootstrap is to take effect.
	Peers []string `json:"peers"`
	// Replicas is the intended number of control VMs that vote in the Raft group:
	// 1, 3 or 5.
	Replicas int `json:"replicas"`
	// MaxChildren is the maximum number of nodes that are direct children of
	// this VM in the distribution tree. Other control VMs are not counted.
	MaxChildren int `json:"maxChildren"`
	// SnapshotEvery is the number of entries of the Raft log between two
	// snapshots.
	SnapshotEvery int     `json:"snapshotEvery"`
	Rollout       Rollout `json:"rollout"`
	// Log is the verbosity of each layer.
	Log logs.Levels `json:"log"`
	// Interface selects the API for operators: InterfaceOwn, the default, or
	// InterfacePlatform.
	Interface string `json:"interface"`
	// Metrics is an additional address that serves metrics. The API address
	// always serves them. It may be empty.
	Metrics string `json:"metrics"`
	// PeerPort replaces the port of each address in Peers. It is needed if Peers
	// lists the control VMs with a port other than their link port. Zero keeps the
	// ports.
	PeerPort int `json:"peerPort"`
	// Bootstrap makes this VM found a new control plane as one of its first
	// voters, if its data folder contains no replica and Peers lists its Link
	// address. It must be set on all peers, and only for the very first start.
	Bootstrap bool `json:"found"`
	// MemoryMB is the memory limit of the process in MiB. Requests and messages that do
	// not fit into their part of it are refused.
	MemoryMB float64 `json:"memoryMB"`
	// AccountLimit states how closely limits of accounts are kept.
	AccountLimit AccountLimit `json:"accountLimit"`
}

// Node holds the settings of a node's daemon.
type Node struct {
	// Name and Zone are the name and the availability zone of this node.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Callers is the address that receives calls from callers.
	Callers string `json:"callers"`
	// Gate is the address that receives calls from other nodes.
	Gate string `json:"gate"`
	// Link is the address that receives control connections from other nodes.
	Link string `json:"link"`
	// Admin is the address at which the upstream of this node announces itself.
	// It also serves metrics and readiness.
	Admin string `json:"admin"`
	// ListenGate and ListenLink are the addresses to listen on, if they differ
	// from Gate and Link because connections to those are forwarded. If one is
	// empty, the process listens on Gate or Link, respectively.
	ListenGate string `json:"listenGate"`
	ListenLink string `json:"listenLink"`
	// Control lists the link addresses of the control VMs.
	Control []string `json:"control"`
	// Seeds lists the link addresses of some other nodes. The node uses them if it
	// starts while no control VM can be reached.
	Seeds []string `json:"seeds"`
	// MaxChildren is the maximum number of direct children in the distribution
	// tree.
	MaxChildren int `json:"maxChildren"`
	// Queue is the maximum number of calls that wait for the upstream.
	Queue int `json:"queue"`
	// Grace is the maximum duration of a planned stop, in which the node waits for
	// calls in progress. It includes Notice.
	Grace Duration `json:"grace"`
	// Notice is the time for which callers are still served after a planned stop
	// has begun, so that they can see that the node is no longer ready.
	Notice Duration `json:"notice"`
	// Log is the verbosity of each layer.
	Log logs.Levels `json:"log"`
	// Interface selects the protocol for callers, upstreams and operators:
	// InterfaceOwn, the default, or InterfacePlatform.
	Interface string `json:"interface"`
	// Ready is an additional address that serves readiness. The admin address
	// always serves it. It may be empty.
	Ready string `json:"ready"`
	// Metrics is an additional address that serves metrics. The admin address
	// always serves them. It may be empty.
	Metrics string `json:"metrics"`
	// Service is the name of the service that makes calls through this node. The
	// node adds it to each call as the name of the caller.
	Service string `json:"service"`
	// Upstream is the address of the upstream, if it never changes. With it, a
	// restarted node can forward calls to the upstream before the next heartbeat.
	Upstream string `json:"upstream"`
	// Heartbeat is the interval between heartbeats of the upstream.
	Heartbeat Duration `json:"heartbeat"`
	// ControlPort replaces the port of each address in Control. It is needed if
	// Control lists the control VMs with a port other than their link port. Zero
	// keeps the ports.
	ControlPort int   `json:"controlPort"`
	Retry       Retry `json:"retry"`
	// MemoryMB is the memory limit of the process in MiB. Message bodies that do not
	// fit into their part of it are rejected.
	MemoryMB float64 `json:"memoryMB"`
	// AccountLimit states how closely limits of accounts are kept. It must be the same
	// on all nodes and control VMs.
	AccountLimit AccountLimit `json:"accountLimit"`
}

// Retry limits the retries to each service, summed over all nodes: in any window,
// they are at most Share times the calls to the service plus Slack. Zero means the
// default of package retry.
type Retry struct {
	// Share is the number of retries that are allowed per call.
	Share float64 `json:"share"`
	// Slack is the number of retries that are allowed per window in addition to
	// those of Share.
	Slack float64 `json:"slack"`
	// Window is the length of the window. It has no effect, because the retry
	// budget of a node keeps to the limit in windows of any length.
	Window Duration `json:"window"`
}

// Defaults that ReadControl and ReadNode apply to settings that are left out.
const (
	DefaultMaxChildren   = 8
	DefaultSnapshotEvery = 1000
	// DefaultQueue limits the memory of waiting calls to 4 MB, at about 16 KB per
	// call. The deadline of a call limits how long it waits.
	DefaultQueue     = 256
	DefaultGrace     = 30 * time.Second
	DefaultHeartbeat = time.Second
	// DefaultMemoryMB is enough for a body of front.DefaultLimits.
	DefaultMemoryMB = 1024
)

// minMemoryMB is the smallest memory limit of a process, in MiB. Less would leave no
// room for message bodies beside the process itself.
const minMemoryMB = 32

// The values of the setting "interface".
const (
	// InterfaceOwn selects the header names, message formats and API paths of
	// vanillapulley itself.
	InterfaceOwn = "own"
	// InterfacePlatform selects those of the platform that vanillapulley runs on,
	// which package platform translates.
	InterfacePlatform = "platform"
)

// ReadControl reads and validates the settings of a control VM. It applies the
// defaults, joins a relative Data with the folder of the settings file and replaces
// the ports of Peers.
func ReadControl(file string) (Control, error) {
	control := Control{Replicas: 1, MaxChildren: DefaultMaxChildren, SnapshotEvery: DefaultSnapshotEvery, MemoryMB: DefaultMemoryMB, Interface: InterfaceOwn}
	if err := decodeFile(file, &control); err != nil {
		return control, err
	}
	if control.Data != "" && !filepath.IsAbs(control.Data) {
		control.Data = filepath.Join(filepath.Dir(file), control.Data)
	}
	control.Peers = replacePorts(control.Peers, control.PeerPort)
	return control, control.check(file)
}

func (control Control) check(file string) error {
	checker := checker{file: file}
	checker.name("name", control.Name)
	checker.name("zone", control.Zone)
	checker.require(control.Data != "", "data", "is missing: write the path of the data folder")
	checker.address("api", control.API)
	checker.address("link", control.Link)
	checker.addresses("peers", control.Peers)
	checker.require(control.Replicas == 1 || control.Replicas == 3 || control.Replicas == 5, "replicas", "must be 1, 3 or 5")
	checker.require(control.Replicas == 1 || len(control.Peers) > 0, "peers", "is missing: replicas above 1 need the link addresses of the control VMs")
	checker.require(control.MaxChildren > 0, "maxChildren", "must be positive")
	checker.require(control.SnapshotEvery > 0, "snapshotEvery", "must be positive")
	checker.require(control.MemoryMB >= minMemoryMB, "memoryMB", fmt.Sprintf("must be at least %d", minMemoryMB))
	checker.interfaceName(control.Interface)
	checker.optionalAddress("metrics", control.Metrics)
	checker.optionalAddress("listenLink", control.ListenLink)
	checker.require(!control.Bootstrap || len(control.Peers) > 0, "found", "needs peers")
	checker.nonNegative("rollout.dwell", control.Rollout.Dwell)
	checker.nonNegative("rollout.watch", control.Rollout.Watch)
	checker.nonNegative("rollout.cold", control.Rollout.Cold)
	checker.accountLimit(control.AccountLimit)
	checker.levels(control.Log)
	return checker.err
}

// ReadNode reads and validates the settings of a node. It applies the defaults and
// replaces the ports of Control.
func ReadNode(file string) (Node, error) {
	node := Node{MaxChildren: DefaultMaxChildren, Queue: DefaultQueue, Grace: Duration(DefaultGrace), Heartbeat: Duration(DefaultHeartbeat), MemoryMB: DefaultMemoryMB, Interface: InterfaceOwn}
	if err := decodeFile(file, &node); err != nil {
		return node, err
	}
	node.Control = replacePorts(node.Control, node.ControlPort)
	return node, node.check(file)
}

// heapPercent is the part of the memory limit that Go's runtime may use. The rest
// is for the program itself and for what is allocated while a collection runs, which
// may be much if bodies without end arrive at a high rate.
const heapPercent = 60

// HeapLimit returns the soft memory limit of Go's runtime in bytes. It makes the
// collector work harder rather than let the process exceed its memory limit.
func (node Node) HeapLimit() int64 { return heapLimit(node.MemoryMB) }

// HeapLimit is Node.HeapLimit for a control VM.
func (control Control) HeapLimit() int64 { return heapLimit(control.MemoryMB) }

func heapLimit(memoryMB float64) int64 { return int64(memoryMB * (1 << 20) * heapPercent / 100) }

// replacePorts replaces the port of each address, unless port is 0. It leaves
// invalid addresses as they are, for check to report.
func replacePorts(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	replaced := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = net.JoinHostPort(host, strconv.Itoa(port))
		}
		replaced = append(replaced, address)
	}
	return replaced
}

func (node Node) check(file string) error {
	checker := checker{file: file}
	checker.name("name", node.Name)
	checker.name("zone", node.Zone)
	checker.address("callers", node.Callers)
	checker.address("gate", node.Gate)
	checker.address("link", node.Link)
	checker.address("admin", node.Admin)
	checker.require(len(node.Control) > 0, "control", "is missing: list the control VMs' link addresses")
	checker.addresses("control", node.Control)
	checker.addresses("seeds", node.Seeds)
	checker.require(node.MaxChildren >= 0, "maxChildren", "must not be negative")
	checker.require(node.Queue >= 0, "queue", "must not be negative")
	checker.require(node.MemoryMB >= minMemoryMB, "memoryMB", fmt.Sprintf("must be at least %d", minMemoryMB))
	checker.nonNegative("grace", node.Grace)
	checker.nonNegative("notice", node.Notice)
	checker.nonNegative("heartbeat", node.Heartbeat)
	checker.interfaceName(node.Interface)
	checker.optionalAddress("ready", node.Ready)
	checker.optionalAddress("metrics", node.Metrics)
	checker.optionalAddress("upstream", node.Upstream)
	checker.optionalAddress("listenGate", node.ListenGate)
	checker.optionalAddress("listenLink", node.ListenLink)
	checker.require(node.Retry.Share >= 0 && node.Retry.Slack >= 0, "retry", "must not be negative")
	checker.accountLimit(node.AccountLimit)
	checker.levels(node.Log)
	return checker.err
}

// unknownField matches the error text of encoding/json for an unknown field, which
// has no error type of its own.
var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

func decodeFile(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := wire.DecodeStrict(data, target); err != nil {
		return decodeError(file, data, err)
	}
	return nil
}

// decodeError converts a decoding error to an *Error. A syntax error is reported
// with its line number, any other error with its key if that is known.
func decodeError(file string, data []byte, err error) error {
	if match := unknownField.FindStringSubmatch(err.Error()); match != nil {
		return &Error{File: file, Key: match[1], Reason: "is not a setting"}
	}
	switch cause := err.(type) {
	case *json.UnmarshalTypeError:
		return &Error{File: file, Key: cause.Field, Reason: fmt.Sprintf("must be of type %s, is %s", cause.Type, cause.Value)}
	case *json.SyntaxError:
		line := 1 + strings.Count(string(data[:min(int(cause.Offset), len(data))]), "\n")
		return &Error{File: file, Reason: fmt.Sprintf("line %d: %s", line, cause.Error())}
	default:
		return &Error{File: file, Key: findInvalidDuration(data), Reason: err.Error()}
	}
}

// durationKeys lists the keys of all settings of type Duration.
var durationKeys = []string{"grace", "notice", "heartbeat", "window", "dwell", "watch", "cold"}

// findInvalidDuration returns the key of a duration that cannot be parsed, or "" if
// there is none. The decoder does not include the key in its error. The search skips
// the entries of "log", because their keys are the names of layers.
func findInvalidDuration(data []byte) string {
	var invalidKey string
	var walk func(prefix string, value map[string]json.RawMessage)
	walk = func(prefix string, value map[string]json.RawMessage) {
		for key, raw := range value {
			var nested map[string]json.RawMessage
			if json.Unmarshal(raw, &nested) == nil && key != "log" {
				walk(prefix+key+".", nested)
				continue
			}
			var duration Duration
			if strings.Contains(strings.Join(durationKeys, " "), key) && duration.UnmarshalJSON(raw) != nil {
				invalidKey = prefix + key
			}
		}
	}
	var settings map[string]json.RawMessage
	if json.Unmarshal(data, &settings) == nil {
		walk("", settings)
	}
	return invalidKey
}

// checker validates settings and keeps the first error.
type checker struct {
	file string
	err  error
}

// require records an error if ok is false and no earlier error is recorded.
func (checker *checker) require(ok bool, key, reason string) {
	if !ok && checker.err == nil {
		checker.err = &Error{File: checker.file, Key: key, Reason: reason}
	}
}

func (checker *checker) name(key, value string) {
	checker.require(value != "", key, "is missing")
	checker.require(!strings.ContainsAny(value, " /|\n\t*"), key, fmt.Sprintf("%q must not contain spaces, tabs, newlines, slashes, vertical bars or asterisks", value))
}

func (checker *checker) address(key, value string) {
	checker.require(value != "", key, "is missing: write an address such as \"10.0.0.5:7400\"")
	host, port, err := net.SplitHostPort(value)
	checker.require(err == nil && port != "", key, fmt.Sprintf("%q is not an address of the form IP:port", value))
	checker.require(err != nil || net.ParseIP(host) != nil, key, fmt.Sprintf("%q does not name an IP address", value))
}

func (checker *checker) addresses(key string, values []string) {
	for i, value := range values {
		checker.address(fmt.Sprintf("%s[%d]", key, i), value)
	}
}

func (checker *checker) optionalAddress(key, value string) {
	if value != "" {
		checker.address(key, value)
	}
}

func (checker *checker) interfaceName(value string) {
	known := value == InterfaceOwn || value == InterfacePlatform
	checker.require(known, "interface", fmt.Sprintf("%q is unknown: use own or platform", value))
}

func (checker *checker) nonNegative(key string, value Duration) {
	checker.require(value >= 0, key, "must not be negative")
}

func (checker *checker) levels(levels logs.Levels) {
	if err := levels.Check(); err != nil {
		checker.require(false, "log", err.Error())
	}
}
