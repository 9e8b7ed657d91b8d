package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Expect is the revision that a resource must have for a command to be
// accepted. Zero means that the resource must not exist yet.
type Expect struct {
	Key      Key    `json:"key"`
	Revision uint64 `json:"revision"`
}

// Command is the data of one entry of the replicated log: a set of writes that
// is accepted or refused as a whole.
type Command struct {
	RequestID string `json:"requestId"`
	// Content is a hash of the operator's request. A request id may be used
	// again only with the same content.
	Content uint64 `json:"content,omitempty"`
	// RecordOnlyAccepted is true if the result is recorded only when the
	// command is accepted, so that a refused command can be sent again after
	// the state has changed.
	RecordOnlyAccepted bool       `json:"lasting,omitempty"`
	At                 time.Time  `json:"at"`
	Expect             []Expect   `json:"expect,omitempty"`
	Put                []Resource `json:"put,omitempty"`
	Remove             []Key      `json:"remove,omitempty"`
	// Departures is set in commands that do not change the configuration.
	Departures []Record `json:"departures,omitempty"`
}

// Code classifies the result of a command or an error of the API.
type Code string

// Result codes of commands.
const (
	CodeOK       Code = "ok"
	CodeInvalid  Code = "invalid"
	CodeConflict Code = "conflict"
	CodeReused   Code = "requestIdReused"
)

// Result is the result of a command. A repeated command gets the recorded
// result of the first one.
type Result struct {
	Code    Code   `json:"code"`
	Version uint64 `json:"version,omitempty"`
	Path    string `json:"path,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Answered is one entry of the deduplication table of commands. Hash is the
// content hash of the command.
type Answered struct {
	RequestID string `json:"requestId"`
	Hash      uint64 `json:"hash"`
	Result    Result `json:"result"`
}

// HistoryEntry is an accepted change in the history of configuration versions.
// Request is the request id. Put and Removed hold the keys of the resources
// that the change wrote and removed, except that of the edition.
type HistoryEntry struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Request string    `json:"request"`
	// Number is the number that the operators assigned to the configuration, if
	// the change replaced the whole configuration.
	Number  uint64 `json:"number,omitempty"`
	Put     []Key  `json:"put,omitempty"`
	Removed []Key  `json:"removed,omitempty"`
	// More is the number of resources that are left out of Put and Removed.
	More int `json:"more,omitempty"`
}

// History is the response to GET /v1/history. Changes are sorted oldest first.
type History struct {
	Changes []HistoryEntry `json:"changes"`
}

// State is the encoded form of the complete replicated state.
type State struct {
	Config   Config         `json:"config"`
	Answered []Answered     `json:"answered"`
	History  []HistoryEntry `json:"history,omitempty"`

	Departures []Departure `json:"departures,omitempty"`
}

// Resources converts the resources that the command writes to domain types.
func (command Command) Resources() ([]rsrc.Resource, error) { return toResources(command.Put) }
