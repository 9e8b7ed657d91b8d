package wire

import (
	"encoding/json"

	"github.com/vanillapulley/vanillapulley/internal/raft"
)

// Member is the encoded form of a replica in the Raft group.
type Member struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// Entry is the encoded form of a log entry. Data is JSON.
type Entry struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    int             `json:"kind,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Members []Member        `json:"members,omitempty"`
}

// HardState is the encoded form of a replica's term and vote.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot is the encoded form of a snapshot. Data is JSON.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// LogRecord is one record of the log file. Either Hard or Entry is set.
type LogRecord struct {
	Hard  *HardState `json:"hard,omitempty"`
	Entry *Entry     `json:"entry,omitempty"`
}

// RaftMessage is the encoded form of a message between replicas. See
// raft.Message for the fields other than Address.
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
	Transfer bool      `json:"transfer,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Address is the network address at which the sender receives messages.
	Address string `json:"address,omitempty"`
}

// FromMembers returns the encoded form of the members of a Raft group.
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

// FromEntry returns the encoded form of a log entry.
func FromEntry(entry raft.Entry) Entry {
	return Entry{
		Index:   entry.Index,
		Term:    entry.Term,
		Kind:    int(entry.Kind),
		Data:    entry.Data,
		Members: FromMembers(entry.Members),
	}
}

// Domain converts the log entry to the domain type.
func (entry Entry) Domain() raft.Entry {
	return raft.Entry{
		Index:   entry.Index,
		Term:    entry.Term,
		Kind:    raft.EntryKind(entry.Kind),
		Data:    entry.Data,
		Members: toMembers(entry.Members),
	}
}

// FromSnapshot returns the encoded form of a snapshot.
func FromSnapshot(snapshot raft.Snapshot) Snapshot {
	return Snapshot{
		Index:   snapshot.Index,
		Term:    snapshot.Term,
		Members: FromMembers(snapshot.Members),
		Data:    snapshot.Data,
	}
}

// Domain converts the snapshot to the domain type.
func (snapshot Snapshot) Domain() raft.Snapshot {
	return raft.Snapshot{
		Index:   snapshot.Index,
		Term:    snapshot.Term,
		Members: toMembers(snapshot.Members),
		Data:    snapshot.Data,
	}
}

// FromRaftMessage returns the encoded form of a message between replicas. It
// leaves Address empty.
func FromRaftMessage(message raft.Message) RaftMessage {
	encoded := RaftMessage{
		Kind:     int(message.Kind),
		From:     message.From,
		To:       message.To,
		Term:     message.Term,
		Index:    message.Index,
		LogTerm:  message.LogTerm,
		Commit:   message.Commit,
		Round:    message.Round,
		Reject:   message.Reject,
		Transfer: message.Transfer,
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

// Domain converts the message to the domain type. The result does not include
// Address.
func (encoded RaftMessage) Domain() raft.Message {
	message := raft.Message{
		Kind:     raft.MessageKind(encoded.Kind),
		From:     encoded.From,
		To:       encoded.To,
		Term:     encoded.Term,
		Index:    encoded.Index,
		LogTerm:  encoded.LogTerm,
		Commit:   encoded.Commit,
		Round:    encoded.Round,
		Reject:   encoded.Reject,
		Transfer: encoded.Transfer,
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

// Identity is the encoded form of the identity of the replica that owns a data
// folder.
type Identity struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}
