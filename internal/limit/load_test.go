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
type callClass struct {
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
func lastTargetLoad(checks int) []callClass {
	return []callClass{
		{"issue", 80, 84 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 0},
		{"read", 60, 48 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 1},
		{"check", 448, 30 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond, checks},
	}
}

type completion struct {
	at       time.Time
	priority int
	duration time.Duration
}

type completions []completion

func (completions completions) Len() int { return len(completions) }
func (completions completions) Less(i, j int) bool {
	return completions[i].at.Before(completions[j].at)
}
func (completions completions) Swap(i, j int) {
	completions[i], completions[j] = completions[j], completions[i]
}
func (completions *completions) Push(value any) {
	*completions = append(*completions, value.(completion))
}
func (completions *completions) Pop() any {
	last := (*completions)[len(*completions)-1]
	*completions = (*completions)[:len(*completions)-1]
	return last
}

// playLoad plays calls on one gate and returns the part of each kind that was
// answered within its objective.
func simulateLoad(classes []callClass, length time.Duration) map[string]float64 {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(7, 7))
	start := time.Unix(1000, 0)
	now := start
	limiter := New(12, 64)
	var running completions
	offered, onTime := map[string]int{}, map[string]int{}
	for ; now.Sub(start) < length; now = now.Add(step) {
		for len(running) > 0 && !running[0].at.After(now) {
			ended := heap.Pop(&running).(completion)
			limiter.Done(now, ended.priority, ended.duration)
		}
		limiter.Expire(now)
		for _, class := range classes {
			if random.Float64() >= class.perSecond*step.Seconds() {
				continue
			}
			offered[class.name]++
			arrived := now
			run := func() {
				duration := time.Duration(random.ExpFloat64() * float64(class.mean))
				heap.Push(&running, completion{at: now.Add(duration), priority: class.priority, duration: duration})
				if now.Add(duration).Sub(arrived) <= class.objective {
					onTime[class.name]++
				}
			}
			ticket := NewTicket("none", now.Add(class.deadline), func(refusal Reason) {
				if refusal == "" {
					run()
				}
			})
			ticket.SetPriority(class.priority)
			ticket.SetObjective(now.Add(class.objective))
			if decision, _ := limiter.Arrive(now, ticket); decision == Run {
				run()
			}
		}
	}
	shares := map[string]float64{}
	for name, count := range offered {
		shares[name] = float64(onTime[name]) / float64(count)
	}
	return shares
}

// shareBound is how much less of its credit a kind of calls may earn because of
// less urgent ones: the users' pages price what lies beyond 15 in 100.
const maxLoss = 0.15

// TestNestedCallsRankWithWhatTheyServe plays the last target of a service. Its
// own callers' reads must not suffer from what less urgent calls of another
// service need; they do when a nested call has the rank of its own route.
func TestNestedCallsRankWithWhatTheyServe(t *testing.T) {
	const length = 60 * time.Second
	alone := simulateLoad(lastTargetLoad(0)[:2], length)
	equal := simulateLoad(lastTargetLoad(1), length)
	ranked := simulateLoad(lastTargetLoad(2), length)
	t.Logf("without checks: %v; checks rank like reads: %v; like the calls that they serve: %v", alone, equal, ranked)
	for _, class := range []string{"issue", "read"} {
		require.GreaterOrEqual(t, ranked[class], alone[class]-maxLoss, class)
	}
	require.Less(t, equal["read"], alone["read"]-maxLoss, "the load is not what it is meant to be")
}
