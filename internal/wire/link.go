package wire

import (
	"encoding/json"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// TreeMessage is the encoded form of a message between nodes. An update is
// either in Update, as JSON, or in Compressed. See distr.Message for the other
// fields.
type TreeMessage struct {
	Hello      *Hello          `json:"hello,omitempty"`
	Welcome    *Welcome        `json:"welcome,omitempty"`
	Update     json.RawMessage `json:"update,omitempty"`
	Compressed []byte          `json:"packed,omitempty"`
	Pull       *Pull           `json:"pull,omitempty"`
	Report     *Report         `json:"report,omitempty"`
	Records    []Record        `json:"records,omitempty"`
	Digest     *Digest         `json:"digest,omitempty"`
	Path       []string        `json:"path,omitempty"`
	Bye        bool            `json:"bye,omitempty"`
	Sync       *Sync           `json:"sync,omitempty"`
	Synced     uint64          `json:"synced,omitempty"`
}

// Sync is the encoded form of the question whether a record has arrived.
type Sync struct {
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"i"`
}

// Hello is the encoded form of the first message on a connection between nodes.
// See distr.Hello for the fields.
type Hello struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Link      string `json:"link"`
	Lateral   bool   `json:"lateral,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	NeedFloor bool   `json:"needFloor,omitempty"`
}

// Welcome is the encoded form of the reply to a Hello. RetryAfter is in
// nanoseconds. See distr.Welcome for the other fields.
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
	Departures []Departure   `json:"departures,omitempty"`
}

// TreeAddress is the encoded form of the name and address of another node to
// connect to.
type TreeAddress struct {
	Name string `json:"name"`
	Link string `json:"link"`
}

// Pull is the encoded form of a request for the changes since a version.
type Pull struct {
	Version uint64 `json:"version"`
}

// Digest is the encoded form of the message with which two nodes compare their
// configuration versions and membership records. Sum is a hash of all records.
// Groups has one hash per bucket of records and is set if the sums differ. Last
// marks the last digest of an exchange.
type Digest struct {
	Version uint64         `json:"version"`
	Sum     uint64         `json:"sum"`
	Groups  *member.Digest `json:"groups,omitempty"`
	Last    bool           `json:"last,omitempty"`
}

// Report is the encoded form of a node's description of its subtree to its
// parent. See distr.Report for the fields.
type Report struct {
	Version      uint64        `json:"version"`
	Count        int           `json:"count"`
	Room         bool          `json:"room,omitempty"`
	Observations []Observation `json:"observations,omitempty"`
}

// Observation is the encoded form of the call statistics of one version on one
// route. Latency is a histogram, without its trailing zeros. Epoch identifies the
// rollout to which the counts belong.
type Observation struct {
	Route   string `json:"route"`
	Version string `json:"version"`
	Class   int    `json:"class,omitempty"`
	Epoch   uint64 `json:"epoch"`
	Calls   int    `json:"calls"`
	Errors  int    `json:"errors,omitempty"`
	Latency []int  `json:"latency,omitempty"`
}

// Record is the encoded form of a membership record. Its JSON keys are short
// because messages with records are the most frequent ones. The fields from
// Service to Gone describe the upstream next to the node. Born is in
// milliseconds since 1970. See member.Record and member.Upstream.
type Record struct {
	Name             string `json:"n"`
	Zone             string `json:"z,omitempty"`
	Link             string `json:"l,omitempty"`
	Gate             string `json:"g,omitempty"`
	Incarnation      uint64 `json:"i"`
	Sequence         uint64 `json:"q"`
	State            int    `json:"s,omitempty"`
	Service          string `json:"u,omitempty"`
	Version          string `json:"v,omitempty"`
	Slots            int    `json:"c,omitempty"`
	ID               string `json:"d,omitempty"`
	Born             int64  `json:"b,omitempty"`
	UpstreamSequence uint64 `json:"h,omitempty"`
	// Limit is nil if the upstream has no rate limit. Older nodes ignore it, and the
	// two fields after it, and drop them from the records that they pass on.
	Limit        *float64 `json:"m,omitempty"`
	LimitedSince int64    `json:"t,omitempty"`
	LimitSource  string   `json:"o,omitempty"`
	// ColdMs, ColdPerSecond and ColdAt are the forecast of the warm-up.
	ColdMs        int64   `json:"k,omitempty"`
	ColdPerSecond float64 `json:"p,omitempty"`
	ColdAt        int64   `json:"y,omitempty"`
	Draining      bool    `json:"w,omitempty"`
	Gone          bool    `json:"x,omitempty"`
	Root          bool    `json:"r,omitempty"`
}

// FromRecord returns the encoded form of a membership record.
func FromRecord(record member.Record) Record {
	encoded := Record{
		Name:             record.Name,
		Zone:             record.Zone,
		Link:             record.Link,
		Gate:             record.Gate,
		Incarnation:      record.Incarnation,
		Sequence:         record.Sequence,
		State:            int(record.State),
		Service:          record.Upstream.Service,
		Version:          record.Upstream.Version,
		Slots:            record.Upstream.Slots,
		ID:               record.Upstream.ID,
		Born:             record.Upstream.Born,
		UpstreamSequence: record.Upstream.Sequence,
		Draining:         record.Upstream.Draining,
		Gone:             record.Upstream.Gone,
		ColdMs:           record.Upstream.WarmUp.Left.Milliseconds(),
		ColdPerSecond:    record.Upstream.WarmUp.PerSecond,
		ColdAt:           record.Upstream.WarmUp.At,
		Root:             record.Root,
	}
	if record.Upstream.Limited {
		encoded.Limit, encoded.LimitedSince, encoded.LimitSource = &record.Upstream.Limit, record.Upstream.LimitedSince, record.Upstream.LimitSource
	}
	return encoded
}

// Domain converts the membership record to the domain type.
func (record Record) Domain() member.Record {
	domain := member.Record{
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
			Sequence: record.UpstreamSequence,
			Draining: record.Draining,
			Gone:     record.Gone,
			WarmUp: warmup.Forecast{
				Left:      time.Duration(record.ColdMs) * time.Millisecond,
				PerSecond: record.ColdPerSecond,
				At:        record.ColdAt,
			},
		},
		Root: record.Root,
	}
	if record.Limit != nil {
		domain.Upstream.Limited, domain.Upstream.Limit = true, *record.Limit
		domain.Upstream.LimitedSince, domain.Upstream.LimitSource = record.LimitedSince, record.LimitSource
	}
	return domain
}

// Departure is the encoded form of a departure of an upstream. See member.Departure.
type Departure struct {
	Record Record    `json:"record"`
	At     time.Time `json:"at"`
}

// FromDepartures returns the encoded form of departures.
func FromDepartures(departures []member.Departure) []Departure {
	var encoded []Departure
	for _, departure := range departures {
		encoded = append(encoded, Departure{Record: FromRecord(departure.Record), At: departure.At})
	}
	return encoded
}

// ToDepartures converts departures to the domain type.
func ToDepartures(encoded []Departure) []member.Departure {
	var departures []member.Departure
	for _, departure := range encoded {
		departures = append(departures, member.Departure{Record: departure.Record.Domain(), At: departure.At})
	}
	return departures
}

// FromTreeMessage returns the encoded form of a message between nodes. It
// ignores message.Update; update is the encoded form of it, so that an update
// for many receivers is encoded only once.
func FromTreeMessage(message distr.Message, update Update) TreeMessage {
	encoded := TreeMessage{Update: update.plain, Compressed: update.compressed, Path: message.Path, Bye: message.Bye, Synced: uint64(message.Synced)}
	if message.Sync != nil {
		encoded.Sync = &Sync{ID: uint64(message.Sync.ID), Incarnation: message.Sync.Incarnation}
	}
	if message.Hello != nil {
		hello := Hello(*message.Hello)
		encoded.Hello = &hello
	}
	if message.Welcome != nil {
		encoded.Welcome = fromWelcome(*message.Welcome)
	}
	if message.Pull != nil {
		pull := Pull(*message.Pull)
		encoded.Pull = &pull
	}
	if message.Digest != nil {
		digest := Digest(*message.Digest)
		encoded.Digest = &digest
	}
	if message.Report != nil {
		encoded.Report = fromReport(*message.Report)
	}
	for _, record := range message.Records {
		encoded.Records = append(encoded.Records, FromRecord(record))
	}
	return encoded
}

func fromWelcome(welcome distr.Welcome) *Welcome {
	encoded := &Welcome{
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
		encoded.Former = &former
	}
	for _, address := range welcome.Redirect {
		encoded.Redirect = append(encoded.Redirect, TreeAddress(address))
	}
	encoded.Departures = FromDepartures(welcome.Departures)
	return encoded
}

func fromReport(report distr.Report) *Report {
	encoded := &Report{Version: report.Version, Count: report.Count, Room: report.Room}
	for _, observation := range report.Observations {
		encoded.Observations = append(encoded.Observations, fromObservation(observation))
	}
	return encoded
}

func fromObservation(observation distr.Observation) Observation {
	length := distr.LatencyBuckets
	for length > 0 && observation.Latency[length-1] == 0 {
		length--
	}
	return Observation{
		Route:   observation.Route,
		Version: observation.Version,
		Class:   observation.Class,
		Epoch:   observation.Epoch,
		Calls:   observation.Calls,
		Errors:  observation.Errors,
		Latency: observation.Latency[:length],
	}
}

// Domain converts the message to the domain type. It returns an error if the
// message has an update that cannot be decoded.
func (encoded TreeMessage) Domain() (distr.Message, error) {
	message := distr.Message{Path: encoded.Path, Bye: encoded.Bye, Synced: distr.ReplicationID(encoded.Synced)}
	if encoded.Sync != nil {
		message.Sync = &distr.Sync{ID: distr.ReplicationID(encoded.Sync.ID), Incarnation: encoded.Sync.Incarnation}
	}
	if encoded.Hello != nil {
		hello := distr.Hello(*encoded.Hello)
		message.Hello = &hello
	}
	if encoded.Welcome != nil {
		message.Welcome = encoded.Welcome.domain()
	}
	if encoded.Pull != nil {
		pull := distr.Pull(*encoded.Pull)
		message.Pull = &pull
	}
	if encoded.Digest != nil {
		digest := distr.Digest(*encoded.Digest)
		message.Digest = &digest
	}
	if encoded.Report != nil {
		message.Report = encoded.Report.domain()
	}
	for _, record := range encoded.Records {
		message.Records = append(message.Records, record.Domain())
	}
	update := Update{plain: encoded.Update, compressed: encoded.Compressed}
	if update.empty() {
		return message, nil
	}
	delta, err := update.Delta()
	message.Update = &delta
	return message, err
}

func (encoded *Welcome) domain() *distr.Welcome {
	welcome := &distr.Welcome{
		Name:       encoded.Name,
		Zone:       encoded.Zone,
		Accepted:   encoded.Accepted,
		RetryAfter: encoded.RetryAfter,
		Floor:      encoded.Floor,
		Confirmed:  encoded.Confirmed,
		Path:       encoded.Path,
	}
	if encoded.Former != nil {
		former := encoded.Former.Domain()
		welcome.Former = &former
	}
	for _, address := range encoded.Redirect {
		welcome.Redirect = append(welcome.Redirect, distr.Address(address))
	}
	welcome.Departures = ToDepartures(encoded.Departures)
	return welcome
}

func (encoded *Report) domain() *distr.Report {
	report := &distr.Report{Version: encoded.Version, Count: encoded.Count, Room: encoded.Room}
	for _, item := range encoded.Observations {
		observation := distr.Observation{
			Route:   item.Route,
			Version: item.Version,
			Class:   min(max(0, item.Class), distr.CallClasses-1),
			Epoch:   item.Epoch,
			Calls:   item.Calls,
			Errors:  item.Errors,
		}
		copy(observation.Latency[:], item.Latency)
		report.Observations = append(report.Observations, observation)
	}
	return report
}
