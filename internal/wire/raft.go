package wire

import (
	"encoding/json"

	"github.com/vanillapulley/vanillapulley/internal/raft"
)

// Member is the written form of a replica.
type Member struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// Entry is the written form of a log entry. Data is JSON itself.
type Entry struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    int             `json:"kind,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Members []Member        `json:"members,omitempty"`
}

// HardState is the written form of a replica's vote.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot is the written form of a snapshot. Data is JSON itself.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// LogRecord is one record of the log file.
type LogRecord struct {
	Hard  *HardState `json:"hard,omitempty"`
	Entry *Entry     `json:"entry,omitempty"`
}

// RaftMessage is the written form of a message between replicas.
type RaftMessage struct {
	Kind     int       `json:"kind"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Term     uint64    `json:"term"`
	Index    uint64    `json:"index,omitempty"`
	LogTerm  uint64    `json:"logTerm,omitempty"`
	Commit   uint64    `json:"commit,omitempty"`
	Round    uint64    `json:"round,omitempty"`
	Reject   bool      `json:"reject,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Address is where the sender takes messages.
	Address string `json:"address,omitempty"`
}

// FromMembers converts a membership.
func FromMembers(members []raft.Member) []Member {
	encoded := make([]Member, 0, len(members))
	for _, member := range members {
		encoded = append(encoded, Member(member))
	}
	return encoded
}

func toMembers(encoded []Member) []raft.Member {
	members := make([]raft.Member, 0, len(encoded))
	for _, member := range encoded {
		members = append(members, raft.Member(member))
	}
	return members
}

// FromEntry converts a log entry.
func FromEntry(entry raft.Entry) Entry {
	return Entry{
		Index:   entry.Index,
		Term:    entry.Term,
		Kind:    int(entry.Kind),
		Data:    entry.Data,
		Members: FromMembers(entry.Members),
	}
}

// Domain converts a log entry.
func (entry Entry) Domain() raft.Entry {
	return raft.Entry{
		Index:   entry.Index,
		Term:    entry.Term,
		Kind:    raft.EntryKind(entry.Kind),
		Data:    entry.Data,
		Members: toMembers(entry.Members),
	}
}

// FromSnapshot converts a snapshot.
func FromSnapshot(snapshot raft.Snapshot) Snapshot {
	return Snapshot{
		Index:   snapshot.Index,
		Term:    snapshot.Term,
		Members: FromMembers(snapshot.Members),
		Data:    snapshot.Data,
	}
}

// Domain converts a snapshot.
func (snapshot Snapshot) Domain() raft.Snapshot {
	return raft.Snapshot{
		Index:   snapshot.Index,
		Term:    snapshot.Term,
		Members: toMembers(snapshot.Members),
		Data:    snapshot.Data,
	}
}

// FromRaftMessage converts a message between replicas.
func FromRaftMessage(message raft.Message) RaftMessage {
	encoded := RaftMessage{
		Kind:    int(message.Kind),
		From:    message.From,
		To:      message.To,
		Term:    message.Term,
		Index:   message.Index,
		LogTerm: message.LogTerm,
		Commit:  message.Commit,
		Round:   message.Round,
		Reject:  message.Reject,
	}
	for _, entry := range message.Entries {
		encoded.Entries = append(encoded.Entries, FromEntry(entry))
	}
	if message.Snapshot != nil {
		snapshot := FromSnapshot(*message.Snapshot)
		encoded.Snapshot = &snapshot
	}
	return encoded
}

// Domain converts a message between replicas.
func (encoded RaftMessage) Domain() raft.Message {
	message := raft.Message{
		Kind:    raft.MessageKind(encoded.Kind),
		From:    encoded.From,
		To:      encoded.To,
		Term:    encoded.Term,
		Index:   encoded.Index,
		LogTerm: encoded.LogTerm,
		Commit:  encoded.Commit,
		Round:   encoded.Round,
		Reject:  encoded.Reject,
	}
	for _, entry := range encoded.Entries {
		message.Entries = append(message.Entries, entry.Domain())
	}
	if encoded.Snapshot != nil {
		snapshot := encoded.Snapshot.Domain()
		message.Snapshot = &snapshot
	}
	return message
}

// Identity is the written form of whose disk a data folder is.
type Identity struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}
