package distr_test

import (
	"fmt"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// write applies a change and publishes the result on the roots that are up and
// not cut off.
func (fleet *fleet) write(change rsrc.Change) {
	next, err := fleet.config.Apply(fleet.config.Version()+1, change)
	if err != nil {
		fleet.recordViolation("%v", err)
		return
	}
	fleet.config = next
	for _, name := range fleet.names {
		node := fleet.nodes[name]
		if node.root && !node.down && !fleet.partitioned[name] {
			fleet.runEvent(node, func(core *distr.Core) { core.Publish(next) })
		}
	}
}

// publishInitialConfig publishes a configuration of the users' size: the given
// number of services, each with 2 versions and 4 routes.
func (fleet *fleet) publishInitialConfig(services int) {
	change := rsrc.Change{}
	for i := range services {
		service := fmt.Sprintf("service-%02d", i)
		change.Put = append(change.Put, rsrc.NewService(service, rsrc.PolicyBalanced))
		for version := range 2 {
			change.Put = append(change.Put, rsrc.NewVersion(service, fmt.Sprintf("v%d", version+1), 2))
		}
		for route := range 4 {
			name := fmt.Sprintf("route-%02d-%d", i, route)
			change.Put = append(change.Put, rsrc.NewRoute(name, service, "/"+name, "v1", time.Second))
		}
	}
	fleet.write(change)
}

// changeRoute switches one route, selected by n, between versions v1 and v2.
func (fleet *fleet) changeRoute(n int) {
	name := fmt.Sprintf("route-%02d-%d", n%20, n%4)
	route, _ := fleet.config.Route(name)
	version := "v1"
	if route.Version() == "v1" {
		version = "v2"
	}
	fleet.write(rsrc.Change{Put: []rsrc.Resource{route.WithVersion(version)}})
}

// behind returns the number of running nodes, other than roots, with an older
// version than the published one.
func (fleet *fleet) behind() int {
	count := 0
	for _, name := range fleet.names {
		node := fleet.nodes[name]
		if !node.root && !node.down && node.core.Config().Version() < fleet.config.Version() {
			count++
		}
	}
	return count
}

// converge runs until every node has the published version and returns the time
// this took, or the limit.
func (fleet *fleet) converge(limit time.Duration) time.Duration {
	begin := fleet.now
	for fleet.behind() > 0 && fleet.now.Sub(begin) < limit {
		fleet.run(10 * time.Millisecond)
	}
	return fleet.now.Sub(begin)
}

// wrongViews returns the number of wrong entries in the membership tables of all
// running nodes: members that are running but not known as serving, and members
// that are stopped but still known as serving.
func (fleet *fleet) wrongViews() int {
	count := 0
	for _, name := range fleet.names {
		node := fleet.nodes[name]
		if node.down {
			continue
		}
		for _, other := range fleet.names {
			if target := fleet.nodes[other]; !target.root {
				record, ok := node.core.Table().Get(other)
				serving := ok && record.State == member.StateServing
				if serving == target.down {
					count++
				}
			}
		}
	}
	return count
}

// leave makes a node announce that it is leaving and returns the time until
// every other node knew, or the limit.
func (fleet *fleet) leave(name string, limit time.Duration) time.Duration {
	begin := fleet.now
	node := fleet.nodes[name]
	fleet.runEvent(node, func(core *distr.Core) {
		record, _ := core.Table().Get(name)
		record.State = member.StateLeaving
		core.Leave(fleet.now, record)
	})
	for fleet.now.Sub(begin) < limit {
		fleet.run(10 * time.Millisecond)
		known := true
		for _, other := range fleet.names {
			if otherNode := fleet.nodes[other]; !otherNode.down {
				record, _ := otherNode.core.Table().Get(name)
				known = known && record.State == member.StateLeaving
			}
		}
		if known {
			break
		}
	}
	return fleet.now.Sub(begin)
}

func (fleet *fleet) resetCounts() {
	for _, node := range fleet.nodes {
		node.sent, node.received, node.messages, node.updateBytes = 0, 0, 0, 0
	}
}

// traffic returns the maximum and the mean number of bytes sent and received by
// a node, and the messages and bytes sent by the busiest root.
func (fleet *fleet) traffic() (worst, mean, rootMessages, rootBytes int) {
	total, count := 0, 0
	for _, node := range fleet.nodes {
		if node.root {
			rootMessages, rootBytes = max(rootMessages, node.messages), max(rootBytes, node.sent)
			continue
		}
		worst = max(worst, node.sent+node.received)
		total += node.sent + node.received
		count++
	}
	return worst, total / max(1, count), rootMessages, rootBytes
}

// totalUpdateBytes returns the bytes of configuration updates sent by all nodes.
func (fleet *fleet) totalUpdateBytes() int {
	total := 0
	for _, node := range fleet.nodes {
		total += node.updateBytes
	}
	return total
}
