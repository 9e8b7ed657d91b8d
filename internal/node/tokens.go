package node

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapulley/vanillapulley/internal/entry"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/quota"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// methodTake is the RPC method by which a node asks a control VM for tokens.
const methodTake = "quota.take"

// tokenSource implements entry.TokenSource over the connections between processes.
type tokenSource struct {
	node *Node
	// client is set before the first call is served.
	client *link.Client
}

// Take implements entry.TokenSource. A connection that the control VM closed while it
// was idle fails at its next use, so a request that fails early is sent once more.
// The home may have handled the first one, so tokens are returned only by that one.
func (source *tokenSource) Take(ctx context.Context, home string, request quota.TakeRequest) ([]quota.Answer, error) {
	var answer wire.TakeAnswer
	encoded := wire.FromTakeRequest(request)
	err := source.client.Call(ctx, home, methodTake, encoded, &answer)
	if err != nil && ctx.Err() == nil {
		answer, encoded.Returns = wire.TakeAnswer{}, nil
		err = source.client.Call(ctx, home, methodTake, encoded, &answer)
	}
	return answer.Domain(), err
}

// Submit implements entry.TokenSource.
func (source *tokenSource) Submit(run func()) error { return source.node.rpcPool.Submit(run) }

// updateHomes tells the entry which control VMs give out the tokens of accounts.
func (node *Node) updateHomes(records []member.Record) {
	var near, far []string
	for _, record := range records {
		if !record.Root || record.Link == "" || record.State == member.StateGone {
			continue
		}
		if record.Zone == node.settings.Zone {
			near = append(near, record.Link)
		} else {
			far = append(far, record.Link)
		}
	}
	for _, address := range node.reloadable.Load().control {
		if !slices.Contains(near, address) && !slices.Contains(far, address) {
			far = append(far, address)
		}
	}
	node.entry.SetHomes(entry.NearestHomes(near, far, xxhash.Sum64String(node.settings.Name)))
}
