package wire

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// AccountSpec is the spec of a resource of kind "account". Keys are secrets: only
// commands, the store and its snapshots contain them. All other data contain
// KeyDigests instead. Nulls names the fields that operators sent as null.
type AccountSpec struct {
	Keys          SecretKeys `json:"keys,omitzero"`
	KeyDigests    []string   `json:"keyDigests,omitempty"`
	RatePerSecond *float64   `json:"ratePerS,omitempty"`
	Burst         *float64   `json:"burst,omitempty"`
	Priority      *int       `json:"priority,omitempty"`
	Nulls         []string   `json:"nulls,omitempty"`
}

// SecretKeys is a list of keys. An error while decoding it does not quote them.
type SecretKeys []string

// UnmarshalJSON decodes a list of strings, or nil from null. The errors of package
// json may quote the value, for example a key that was sent as a number.
func (keys *SecretKeys) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		*keys = nil
		return nil
	}
	var list []*string
	if json.Unmarshal(data, &list) != nil {
		return errKeys
	}
	*keys = make(SecretKeys, 0, len(list))
	for _, key := range list {
		if key == nil {
			return errKeys
		}
		*keys = append(*keys, *key)
	}
	return nil
}

var errKeys = errors.New("keys must be a list of strings")

// FromResourceWithKeys returns the encoded form of a resource for the store, which
// contains the keys of an account and the names in an edition. FromResource returns
// the form for everything else.
func FromResourceWithKeys(resource rsrc.Resource) Resource {
	encoded := FromResource(resource)
	switch value := resource.(type) {
	case rsrc.Account:
		spec := fromAccount(value)
		spec.Keys, spec.KeyDigests = value.Keys(), nil
		encoded.Spec = MustEncode(spec)
	case rsrc.Edition:
		spec := fromEdition(value)
		spec.Accounts, spec.Numbers = value.Accounts(), value.Numbers()
		encoded.Spec = MustEncode(spec)
	}
	return encoded
}

func fromResourcesWithKeys(resources []rsrc.Resource) []Resource {
	encoded := make([]Resource, 0, len(resources))
	for _, resource := range resources {
		encoded = append(encoded, FromResourceWithKeys(resource))
	}
	return encoded
}

// fromAccount returns the spec without keys.
func fromAccount(account rsrc.Account) AccountSpec {
	options := account.Options()
	spec := AccountSpec{RatePerSecond: options.RatePerSecond, Burst: options.Burst, Priority: options.Priority, Nulls: options.Nulls}
	for _, digest := range account.KeyDigests() {
		spec.KeyDigests = append(spec.KeyDigests, hex.EncodeToString(digest[:]))
	}
	return spec
}

func (spec AccountSpec) domain(name string) (rsrc.Account, error) {
	options := rsrc.AccountOptions{RatePerSecond: spec.RatePerSecond, Burst: spec.Burst, Priority: spec.Priority, Nulls: spec.Nulls}
	if len(spec.KeyDigests) == 0 {
		return rsrc.NewAccount(name, spec.Keys, options), nil
	}
	if len(spec.Keys) > 0 {
		return rsrc.Account{}, &FieldError{Path: "spec.keyDigests", Err: errors.New("must not be given together with keys")}
	}
	digests := make([]rsrc.KeyDigest, len(spec.KeyDigests))
	for i, text := range spec.KeyDigests {
		decoded, err := hex.DecodeString(text)
		if err != nil || len(decoded) != len(digests[i]) {
			return rsrc.Account{}, &FieldError{Path: "spec.keyDigests", Err: fmt.Errorf("must be texts of %d hexadecimal digits", 2*len(digests[i]))}
		}
		copy(digests[i][:], decoded)
	}
	return rsrc.NewAccountFromDigests(name, digests, options), nil
}
