package picker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func targets(count int) []Target {
	var made []Target
	for i := range count {
		made = append(made, Target{Name: fmt.Sprintf("t%d", i), Zone: string(rune('a' + i%3)), Service: "s", Version: "v", Slots: 12})
	}
	return made
}

// traffic sends calls to targets whose answers take the given time; failing
// ones answer with an error. It returns the calls by target and the sorted
// latencies. A target with full slots makes its calls wait.
func traffic(pick func(now time.Time) string, done func(now time.Time, name string, failed bool, latency time.Duration), service map[string]time.Duration, failing string, calls int) (map[string]int, []time.Duration) {
	now := time.Unix(1000, 0)
	type call struct {
		end  time.Time
		name string
		took time.Duration
	}
	var flying []call
	counts := map[string]int{}
	var latencies []time.Duration
	free := map[string][]time.Time{}
	for range calls {
		now = now.Add(time.Millisecond)
		kept := flying[:0]
		for _, call := range flying {
			if now.Before(call.end) {
				kept = append(kept, call)
				continue
			}
			done(now, call.name, call.name == failing, call.took)
		}
		flying = kept
		name := pick(now)
		counts[name]++
		slots := free[name]
		if slots == nil {
			slots = make([]time.Time, 12)
		}
		i := slices.IndexFunc(slots, func(at time.Time) bool { return at.Equal(slices.MinFunc(slots, time.Time.Compare)) })
		begin := now
		if slots[i].After(begin) {
			begin = slots[i]
		}
		slots[i] = begin.Add(service[name])
		free[name] = slots
		took := slots[i].Sub(now)
		latencies = append(latencies, took)
		flying = append(flying, call{end: slots[i], name: name, took: took})
	}
	slices.Sort(latencies)
	return counts, latencies
}

func uneven(count int) map[string]time.Duration {
	service := map[string]time.Duration{}
	for i := range count {
		service[fmt.Sprintf("t%d", i)] = 10 * time.Millisecond
	}
	service["t0"] = 100 * time.Millisecond
	return service
}

func withPicker(count int) (func(time.Time) string, func(time.Time, string, bool, time.Duration), *Picker) {
	picker := New("zone of the caller", rand.New(rand.NewPCG(1, 1)))
	picker.SetTargets(time.Unix(0, 0), targets(count))
	pick := func(now time.Time) string {
		target, _ := picker.Pick(now, "s", "v", nil)
		return target.Name
	}
	done := func(now time.Time, name string, failed bool, latency time.Duration) {
		result := ResultGood
		if failed {
			result = ResultFailed
		}
		picker.Done(now, name, result, latency, nil)
	}
	return pick, done, picker
}

func atRandom(count int) (func(time.Time) string, func(time.Time, string, bool, time.Duration)) {
	random := rand.New(rand.NewPCG(1, 1))
	return func(time.Time) string { return fmt.Sprintf("t%d", random.IntN(count)) },
		func(time.Time, string, bool, time.Duration) {}
}

// TestASlowTargetGetsLittle wants a target ten times slower than its six peers
// to get less than a third of an even share.
func TestASlowTargetGetsLittle(t *testing.T) {
	pick, done, _ := withPicker(7)
	counts, latencies := traffic(pick, done, uneven(7), "", 10_000)
	baseline, plain := atRandom(7)
	_, random := traffic(baseline, plain, uneven(7), "", 10_000)
	t.Logf("slow target got %d of 10000; 99 in 100 took %s, at random %s", counts["t0"], latencies[9900], random[9900])
	require.Less(t, counts["t0"], 10_000/7/3)
	require.Less(t, latencies[9900], random[9900])
}

// TestAFailingTargetIsEjected wants a target that fails all calls to get few,
// and its peers never to be ejected beyond the bound.
func TestAFailingTargetIsEjected(t *testing.T) {
	pick, done, _ := withPicker(7)
	service := uneven(7)
	service["t0"] = 10 * time.Millisecond
	counts, _ := traffic(pick, done, service, "t0", 10_000)
	t.Logf("failing target got %d of 10000", counts["t0"])
	require.Less(t, counts["t0"], 10_000/7/3)
}

func TestEjectionIsBounded(t *testing.T) {
	_, _, picker := withPicker(6)
	now := time.Unix(1000, 0)
	for range 200 {
		target, ok := picker.Pick(now, "s", "v", nil)
		require.True(t, ok)
		picker.Done(now, target.Name, ResultFailed, time.Millisecond, nil)
	}
	out := 0
	for _, state := range picker.states {
		if now.Before(state.ejected) {
			out++
		}
	}
	require.LessOrEqual(t, out*100, 6*ejectMaxPercent)
}

func TestOwnZoneFirstWhileItHasRoom(t *testing.T) {
	picker := New("a", rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	picker.SetTargets(now, targets(6))
	zones := map[string]int{}
	for range 60 {
		target, _ := picker.Pick(now, "s", "v", nil)
		zones[target.Zone]++
	}
	require.GreaterOrEqual(t, zones["a"], 18)
	require.Greater(t, zones["b"]+zones["c"], 20, "a full zone passes calls on")
}

// TestAColdTargetStartsSlowly wants a target that has just come to get less than
// its even share at first.
func TestAColdTargetStartsSlowly(t *testing.T) {
	_, _, picker := withPicker(7)
	now := time.Unix(1000, 0)
	more := append(targets(7), Target{Name: "cold", Zone: "a", Service: "s", Version: "v", Slots: 12})
	picker.SetTargets(now, more)
	counts := map[string]int{}
	for range 800 {
		target, _ := picker.Pick(now, "s", "v", nil)
		counts[target.Name]++
		picker.Done(now, target.Name, ResultGood, 10*time.Millisecond, nil)
		now = now.Add(time.Millisecond)
	}
	t.Logf("the cold target got %d of 800 calls in its first 0.8 s", counts["cold"])
	require.Less(t, counts["cold"], 50)
	require.Positive(t, counts["cold"], "it must not starve")
}

func TestAStaleLoadCountsAsUnknown(t *testing.T) {
	_, _, picker := withPicker(2)
	now := time.Unix(1000, 0)
	picker.Done(now, "t0", ResultGood, time.Millisecond, &Load{InFlight: 500})
	require.Equal(t, 500, picker.states["t0"].busy(now))
	require.Zero(t, picker.states["t0"].busy(now.Add(time.Minute)))
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{7, 23, 480} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			_, _, picker := withPicker(count)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				target, _ := picker.Pick(now, "s", "v", nil)
				picker.Done(now, target.Name, ResultGood, time.Millisecond, nil)
			}
		})
	}
}
