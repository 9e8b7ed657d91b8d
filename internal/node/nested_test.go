package node

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

func TestANestedCallIsNoMoreUrgentThanWhatItServes(t *testing.T) {
	parents := newParents()
	parents.begin("a1", 2)
	parents.begin("b1", 0)
	require.Equal(t, 2, parents.rank("a1.x", 1))
	require.Equal(t, 2, parents.rank("a1", 1), "the id may be passed on as it is")
	require.Equal(t, 1, parents.rank("b1.x", 1), "an urgent caller makes no call more urgent")
	require.Equal(t, 1, parents.rank("c1.x", 1), "no call of this upstream's")
	require.Equal(t, 1, parents.rank(".x", 1))
	require.False(t, parents.end("b1"))
	parents.starve("a1.x")
	parents.starve("c1.x")
	require.True(t, parents.end("a1"))
	require.False(t, parents.end("a1"))
	require.Empty(t, parents.calls)
}

func TestAStarvedAnswerBlamesNoTarget(t *testing.T) {
	response := &fasthttp.Response{}
	response.SetStatusCode(fasthttp.StatusInternalServerError)
	response.Header.Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
	judged := (&Node{}).judge(t.Context(), nil, response)
	require.Equal(t, picker.ResultFailed, judged.learned)
	response.Header.Set(proxy.HeaderStarved, "yes")
	judged = (&Node{}).judge(t.Context(), nil, response)
	require.Equal(t, picker.ResultCanceled, judged.learned)
	require.True(t, judged.starved)
	require.Equal(t, proxy.OutcomeRan, judged.outcome)
}
