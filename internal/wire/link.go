package wire

import (
	"encoding/json"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
)

// TreeMessage is the written form of a message between nodes.
type TreeMessage struct {
	Hello   *Hello          `json:"hello,omitempty"`
	Welcome *Welcome        `json:"welcome,omitempty"`
	Update  json.RawMessage `json:"update,omitempty"`
	Packed  []byte          `json:"packed,omitempty"`
	Pull    *Pull           `json:"pull,omitempty"`
	Report  *Report         `json:"report,omitempty"`
	Records []Record        `json:"records,omitempty"`
	Digest  *Digest         `json:"digest,omitempty"`
	Path    []string        `json:"path,omitempty"`
	Bye     bool            `json:"bye,omitempty"`
}

// Hello opens a connection between nodes.
type Hello struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Link      string `json:"link"`
	Lateral   bool   `json:"lateral,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	NeedFloor bool   `json:"needFloor,omitempty"`
}

// Welcome answers a hello. RetryAfter is in nanoseconds.
type Welcome struct {
	Name       string        `json:"name"`
	Zone       string        `json:"zone"`
	Accepted   bool          `json:"accepted,omitempty"`
	Redirect   []TreeAddress `json:"redirect,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Floor      uint64        `json:"floor,omitempty"`
	Confirmed  bool          `json:"confirmed,omitempty"`
	Path       []string      `json:"path,omitempty"`
	Former     *Record       `json:"former,omitempty"`
}

// TreeAddress names another node to ask.
type TreeAddress struct {
	Name string `json:"name"`
	Link string `json:"link"`
}

// Pull asks for what follows a version.
type Pull struct {
	Version uint64 `json:"version"`
}

// Digest compares states.
type Digest struct {
	Version uint64         `json:"version"`
	Sum     uint64         `json:"sum"`
	Groups  *member.Digest `json:"groups,omitempty"`
	Last    bool           `json:"last,omitempty"`
}

// Report tells a parent about a part of the tree.
type Report struct {
	Version      uint64        `json:"version"`
	Count        int           `json:"count"`
	Room         bool          `json:"room,omitempty"`
	Observations []Observation `json:"observations,omitempty"`
}

// Observation counts outcomes; Latency is by class and cut after the last
// count that is not zero.
type Observation struct {
	Route   string `json:"route"`
	Version string `json:"version"`
	Epoch   uint64 `json:"epoch"`
	Calls   int    `json:"calls"`
	Errors  int    `json:"errors,omitempty"`
	Latency []int  `json:"latency,omitempty"`
}

// Record is the written form of a membership record, with short names since
// it is the most frequent message.
type Record struct {
	Name        string `json:"n"`
	Zone        string `json:"z,omitempty"`
	Link        string `json:"l,omitempty"`
	Gate        string `json:"g,omitempty"`
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"q"`
	State       int    `json:"s,omitempty"`
	Service     string `json:"u,omitempty"`
	Version     string `json:"v,omitempty"`
	Slots       int    `json:"c,omitempty"`
	ID          string `json:"d,omitempty"`
	Born        int64  `json:"b,omitempty"`
	Heard       uint64 `json:"h,omitempty"`
	Draining    bool   `json:"w,omitempty"`
	Gone        bool   `json:"x,omitempty"`
	Root        bool   `json:"r,omitempty"`
}

// FromRecord converts a membership record.
func FromRecord(record member.Record) Record {
	return Record{
		Name:        record.Name,
		Zone:        record.Zone,
		Link:        record.Link,
		Gate:        record.Gate,
		Incarnation: record.Incarnation,
		Sequence:    record.Sequence,
		State:       int(record.State),
		Service:     record.Upstream.Service,
		Version:     record.Upstream.Version,
		Slots:       record.Upstream.Slots,
		ID:          record.Upstream.ID,
		Born:        record.Upstream.Born,
		Heard:       record.Upstream.Sequence,
		Draining:    record.Upstream.Draining,
		Gone:        record.Upstream.Gone,
		Root:        record.Root,
	}
}

// Domain converts a membership record.
func (record Record) Domain() member.Record {
	return member.Record{
		Name:        record.Name,
		Zone:        record.Zone,
		Link:        record.Link,
		Gate:        record.Gate,
		Incarnation: record.Incarnation,
		Sequence:    record.Sequence,
		State:       member.State(record.State),
		Upstream: member.Upstream{
			Service:  record.Service,
			Version:  record.Version,
			Slots:    record.Slots,
			ID:       record.ID,
			Born:     record.Born,
			Sequence: record.Heard,
			Draining: record.Draining,
			Gone:     record.Gone,
		},
		Root: record.Root,
	}
}

// FromTreeMessage converts a message between nodes. The encoded update is
// passed in, since one encoding serves many receivers.
func FromTreeMessage(message distr.Message, update Update) TreeMessage {
	written := TreeMessage{Update: update.plain, Packed: update.packed, Path: message.Path, Bye: message.Bye}
	if message.Hello != nil {
		hello := Hello(*message.Hello)
		written.Hello = &hello
	}
	if message.Welcome != nil {
		written.Welcome = fromWelcome(*message.Welcome)
	}
	if message.Pull != nil {
		pull := Pull(*message.Pull)
		written.Pull = &pull
	}
	if message.Digest != nil {
		digest := Digest(*message.Digest)
		written.Digest = &digest
	}
	if message.Report != nil {
		written.Report = fromReport(*message.Report)
	}
	for _, record := range message.Records {
		written.Records = append(written.Records, FromRecord(record))
	}
	return written
}

func fromWelcome(welcome distr.Welcome) *Welcome {
	written := &Welcome{
		Name:       welcome.Name,
		Zone:       welcome.Zone,
		Accepted:   welcome.Accepted,
		RetryAfter: welcome.RetryAfter,
		Floor:      welcome.Floor,
		Confirmed:  welcome.Confirmed,
		Path:       welcome.Path,
	}
	if welcome.Former != nil {
		former := FromRecord(*welcome.Former)
		written.Former = &former
	}
	for _, address := range welcome.Redirect {
		written.Redirect = append(written.Redirect, TreeAddress(address))
	}
	return written
}

func fromReport(report distr.Report) *Report {
	written := &Report{Version: report.Version, Count: report.Count, Room: report.Room}
	for _, observation := range report.Observations {
		written.Observations = append(written.Observations, fromObservation(observation))
	}
	return written
}

func fromObservation(observation distr.Observation) Observation {
	length := distr.LatencyBuckets
	for length > 0 && observation.Latency[length-1] == 0 {
		length--
	}
	return Observation{
		Route:   observation.Route,
		Version: observation.Version,
		Epoch:   observation.Epoch,
		Calls:   observation.Calls,
		Errors:  observation.Errors,
		Latency: observation.Latency[:length],
	}
}

// Domain converts a message between nodes.
func (written TreeMessage) Domain() (distr.Message, error) {
	message := distr.Message{Path: written.Path, Bye: written.Bye}
	if written.Hello != nil {
		hello := distr.Hello(*written.Hello)
		message.Hello = &hello
	}
	if written.Welcome != nil {
		message.Welcome = written.Welcome.domain()
	}
	if written.Pull != nil {
		pull := distr.Pull(*written.Pull)
		message.Pull = &pull
	}
	if written.Digest != nil {
		digest := distr.Digest(*written.Digest)
		message.Digest = &digest
	}
	if written.Report != nil {
		message.Report = written.Report.domain()
	}
	for _, record := range written.Records {
		message.Records = append(message.Records, record.Domain())
	}
	update := Update{plain: written.Update, packed: written.Packed}
	if update.empty() {
		return message, nil
	}
	delta, err := update.Delta()
	message.Update = &delta
	return message, err
}

func (written *Welcome) domain() *distr.Welcome {
	welcome := &distr.Welcome{
		Name:       written.Name,
		Zone:       written.Zone,
		Accepted:   written.Accepted,
		RetryAfter: written.RetryAfter,
		Floor:      written.Floor,
		Confirmed:  written.Confirmed,
		Path:       written.Path,
	}
	if written.Former != nil {
		former := written.Former.Domain()
		welcome.Former = &former
	}
	for _, address := range written.Redirect {
		welcome.Redirect = append(welcome.Redirect, distr.Address(address))
	}
	return welcome
}

func (written *Report) domain() *distr.Report {
	report := &distr.Report{Version: written.Version, Count: written.Count, Room: written.Room}
	for _, item := range written.Observations {
		observation := distr.Observation{
			Route:   item.Route,
			Version: item.Version,
			Epoch:   item.Epoch,
			Calls:   item.Calls,
			Errors:  item.Errors,
		}
		copy(observation.Latency[:], item.Latency)
		report.Observations = append(report.Observations, observation)
	}
	return report
}
