package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// kindOfCall is one kind of calls at a target that is the last one of its
// service.
type kindOfCall struct {
	name      string
	perSecond float64
	mean      time.Duration
	objective time.Duration
	deadline  time.Duration
	priority  int
}

// lastTarget is the load of the users' heaviest day: what the certificates'
// target gets after the others have left. Its own calls fit; with the checks, which
// the price desk makes for callers of priority 2, it gets twice what it can run.
func lastTarget(checks int) []kindOfCall {
	return []kindOfCall{
		{"issue", 80, 84 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 0},
		{"read", 60, 48 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 1},
		{"check", 448, 30 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond, checks},
	}
}

type ending struct {
	at       time.Time
	priority int
	ran      time.Duration
}

type endings []ending

func (endings endings) Len() int           { return len(endings) }
func (endings endings) Less(i, j int) bool { return endings[i].at.Before(endings[j].at) }
func (endings endings) Swap(i, j int)      { endings[i], endings[j] = endings[j], endings[i] }
func (endings *endings) Push(value any)    { *endings = append(*endings, value.(ending)) }
func (endings *endings) Pop() any {
	last := (*endings)[len(*endings)-1]
	*endings = (*endings)[:len(*endings)-1]
	return last
}

// playLoad plays calls on one gate and returns the part of each kind that was
// answered within its objective.
func playLoad(kinds []kindOfCall, length time.Duration) map[string]float64 {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(7, 7))
	begun := time.Unix(1000, 0)
	now := begun
	gate := New(12, 64)
	var running endings
	asked, good := map[string]int{}, map[string]int{}
	for ; now.Sub(begun) < length; now = now.Add(step) {
		for len(running) > 0 && !running[0].at.After(now) {
			ended := heap.Pop(&running).(ending)
			gate.Done(now, ended.priority, ended.ran)
		}
		gate.Expire(now)
		for _, kind := range kinds {
			if random.Float64() >= kind.perSecond*step.Seconds() {
				continue
			}
			asked[kind.name]++
			arrived := now
			run := func() {
				ran := time.Duration(random.ExpFloat64() * float64(kind.mean))
				heap.Push(&running, ending{at: now.Add(ran), priority: kind.priority, ran: ran})
				if now.Add(ran).Sub(arrived) <= kind.objective {
					good[kind.name]++
				}
			}
			ticket := NewTicket("none", now.Add(kind.deadline), func(refusal Reason) {
				if refusal == "" {
					run()
				}
			})
			ticket.Rank(kind.priority)
			ticket.UsefulUntil(now.Add(kind.objective))
			if verdict, _ := gate.Arrive(now, ticket); verdict == Run {
				run()
			}
		}
	}
	shares := map[string]float64{}
	for name, count := range asked {
		shares[name] = float64(good[name]) / float64(count)
	}
	return shares
}

// shareBound is how much less of its credit a kind of calls may earn because of
// less urgent ones: the users' pages price what lies beyond 15 in 100.
const shareBound = 0.15

// TestNestedCallsRankWithWhatTheyServe plays the last target of a service. Its
// own callers' reads must not suffer from what less urgent calls of another
// service need; they do when a nested call has the rank of its own route.
func TestNestedCallsRankWithWhatTheyServe(t *testing.T) {
	const length = 60 * time.Second
	alone := playLoad(lastTarget(0)[:2], length)
	equal := playLoad(lastTarget(1), length)
	ranked := playLoad(lastTarget(2), length)
	t.Logf("without checks: %v; checks rank like reads: %v; like the calls that they serve: %v", alone, equal, ranked)
	for _, kind := range []string{"issue", "read"} {
		require.GreaterOrEqual(t, ranked[kind], alone[kind]-shareBound, kind)
	}
	require.Less(t, equal["read"], alone["read"]-shareBound, "the load is not what it is meant to be")
}
