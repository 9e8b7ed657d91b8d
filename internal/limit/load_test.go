package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callClass is a class of calls to the only remaining target of a service.
type callClass struct {
	name      string
	perSecond float64
	mean      time.Duration
	objective time.Duration
	deadline  time.Duration
	priority  int
}

// lastTargetLoad returns the classes of calls that reach the last target of a
// service on the users' busiest day, after the other targets have left. The
// classes issue and read are direct calls, which the target can handle. The
// class check consists of nested calls. Another service makes them while it
// handles calls of priority 2. With the nested calls, the load is twice the
// capacity. checkPriority is the priority of the class check.
func lastTargetLoad(checkPriority int) []callClass {
	return []callClass{
		{"issue", 80, 84 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 0},
		{"read", 60, 48 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 1},
		{"check", 448, 30 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond, checkPriority},
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

// simulateLoad simulates calls to one limiter and returns the fraction of each
// class that was answered within its objective.
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

// maxLoss is the largest permitted drop in the on-time fraction of a class
// because of less urgent classes. The users' requirements penalize a drop of
// more than 15 in 100 calls.
const maxLoss = 0.15

// TestNestedCallsKeepTheCallersPriority checks that the direct classes keep
// their on-time fraction if the nested calls of class check inherit the lower
// priority of the calls that they serve. If they have the priority of their own
// route instead, which is the priority of the class read, fewer calls of the
// class read are answered in time.
func TestNestedCallsKeepTheCallersPriority(t *testing.T) {
	const length = 60 * time.Second
	withoutChecks := simulateLoad(lastTargetLoad(0)[:2], length)
	samePriority := simulateLoad(lastTargetLoad(1), length)
	lowerPriority := simulateLoad(lastTargetLoad(2), length)
	t.Logf("without checks: %v; checks with the priority of reads: %v; checks with the priority of the calls that they serve: %v", withoutChecks, samePriority, lowerPriority)
	for _, class := range []string{"issue", "read"} {
		require.GreaterOrEqual(t, lowerPriority[class], withoutChecks[class]-maxLoss, class)
	}
	require.Less(t, samePriority["read"], withoutChecks["read"]-maxLoss, "the load is too low to show the effect")
}
