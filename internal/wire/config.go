package wire

import (
	"encoding/json"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Removal is the encoded form of the removal of a resource. Revision is the
// version of the configuration in which the resource was removed.
type Removal struct {
	Key      Key    `json:"key"`
	Revision uint64 `json:"revision"`
}

// Config is the encoded form of a full configuration. Floor is the oldest
// version from which a delta to this configuration can be computed.
type Config struct {
	Version   uint64     `json:"version"`
	Floor     uint64     `json:"floor,omitempty"`
	Resources []Resource `json:"resources"`
	Removed   []Removal  `json:"removed,omitempty"`
}

// Delta is the encoded form of the changes between two versions of a
// configuration. From is zero for a full copy. Floor and Digest are those of the
// configuration at version To.
type Delta struct {
	From    uint64     `json:"from"`
	To      uint64     `json:"to"`
	Floor   uint64     `json:"floor,omitempty"`
	Digest  uint64     `json:"digest"`
	Put     []Resource `json:"put,omitempty"`
	Removed []Removal  `json:"removed,omitempty"`
}

func fromRemovals(removals []rsrc.Removal) []Removal {
	encoded := make([]Removal, 0, len(removals))
	for _, removal := range removals {
		encoded = append(encoded, Removal{Key: FromKey(removal.Key), Revision: removal.Revision})
	}
	return encoded
}

func toRemovals(encoded []Removal) []rsrc.Removal {
	removals := make([]rsrc.Removal, 0, len(encoded))
	for _, removal := range encoded {
		removals = append(removals, rsrc.Removal{Key: removal.Key.Domain(), Revision: removal.Revision})
	}
	return removals
}

// FromConfig returns the encoded form of a configuration for the store, which
// contains the keys of accounts.
func FromConfig(config *rsrc.Config) Config {
	return Config{
		Version:   config.Version(),
		Floor:     config.Floor(),
		Resources: fromResourcesWithKeys(config.All()),
		Removed:   fromRemovals(config.Removed()),
	}
}

// Domain converts the configuration to the domain type and validates it.
func (config Config) Domain() (*rsrc.Config, error) {
	resources, err := toResources(config.Resources)
	if err != nil {
		return nil, err
	}
	return rsrc.Restore(config.Version, config.Floor, resources, toRemovals(config.Removed))
}

// FromDelta returns the encoded form of a delta, which contains no keys of accounts.
func FromDelta(delta rsrc.Delta) Delta {
	return Delta{
		From:    delta.From,
		To:      delta.To,
		Floor:   delta.Floor,
		Digest:  delta.Digest,
		Put:     fromResources(delta.Put),
		Removed: fromRemovals(delta.Removed),
	}
}

// Domain converts the delta to the domain type. It returns an error if a
// resource in it cannot be decoded.
func (delta Delta) Domain() (rsrc.Delta, error) {
	put, err := toResources(delta.Put)
	if err != nil {
		return rsrc.Delta{}, err
	}
	return rsrc.Delta{
		From:    delta.From,
		To:      delta.To,
		Floor:   delta.Floor,
		Digest:  delta.Digest,
		Put:     put,
		Removed: toRemovals(delta.Removed),
	}, nil
}

// decodeDelta decodes a delta from JSON.
func decodeDelta(data []byte) (rsrc.Delta, error) {
	var delta Delta
	if err := json.Unmarshal(data, &delta); err != nil {
		return rsrc.Delta{}, err
	}
	return delta.Domain()
}
