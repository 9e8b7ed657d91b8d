package wire

import (
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Expect is the revision a write was based on; zero means the resource must
// not exist yet.
type Expect struct {
	Key      Key    `json:"key"`
	Revision uint64 `json:"revision"`
}

// Command is one entry of the replicated log: a set of writes that is
// accepted or refused whole.
type Command struct {
	RequestID string `json:"requestId"`
	// Content is a hash of what the operator sent; a request id may only come
	// back with the same content.
	Content uint64 `json:"content,omitempty"`
	// Lasting has only an accepted command remembered, so that a refused one
	// may be sent again when the state has changed.
	RecordOnlyAccepted bool       `json:"lasting,omitempty"`
	At                 time.Time  `json:"at"`
	Expect             []Expect   `json:"expect,omitempty"`
	Put                []Resource `json:"put,omitempty"`
	Remove             []Key      `json:"remove,omitempty"`
}

// Code classifies the result of a command.
type Code string

// The codes of a result.
const (
	CodeOK       Code = "ok"
	CodeInvalid  Code = "invalid"
	CodeConflict Code = "conflict"
	CodeReused   Code = "requestIdReused"
)

// Result is the recorded answer to a command; a resend of the command gets
// the same one.
type Result struct {
	Code    Code   `json:"code"`
	Version uint64 `json:"version,omitempty"`
	Path    string `json:"path,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Answered is one entry of the deduplication table of commands.
type Answered struct {
	RequestID string `json:"requestId"`
	Hash      uint64 `json:"hash"`
	Result    Result `json:"result"`
}

// Past is an accepted change in the history of versions.
type HistoryEntry struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Request string    `json:"request"`
	// Number is the operators' own if the change was a whole configuration.
	Number  uint64 `json:"number,omitempty"`
	Put     []Key  `json:"put,omitempty"`
	Removed []Key  `json:"removed,omitempty"`
	// More counts the resources that are left out of Put and Removed.
	More int `json:"more,omitempty"`
}

// History answers GET /v1/history, oldest first.
type History struct {
	Changes []HistoryEntry `json:"changes"`
}

// State is the written form of the whole replicated state.
type State struct {
	Config   Config         `json:"config"`
	Answered []Answered     `json:"answered"`
	History  []HistoryEntry `json:"history,omitempty"`
}

// Resources converts the command's writes.
func (command Command) Resources() ([]rsrc.Resource, error) { return toResources(command.Put) }
