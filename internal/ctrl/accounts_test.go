package ctrl

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// TestAccountsOfAFullConfiguration guards against accounts that survive a replacement
// without them, keys that the store loses, and keys in a read of single resources.
func TestAccountsOfAFullConfiguration(t *testing.T) {
	const secret = "k-3f9c"
	fixture := newOrderFixture(t)
	replace := func(number, base uint64, accounts []rsrc.Account) error {
		return fixture.control.ReplaceConfig(t.Context(), FullConfig{Number: number, Base: base, Content: number, Accounts: accounts})
	}
	require.NoError(t, replace(2, 1, []rsrc.Account{
		rsrc.NewAccount("b", []string{secret}, rsrc.AccountOptions{}), rsrc.NewAccount("a", nil, rsrc.AccountOptions{}),
	}))
	config := fixture.control.replica.config()
	account, ok := config.Account("b")
	require.True(t, ok)
	require.Equal(t, []string{secret}, account.Keys())
	edition, _ := config.Edition()
	require.Equal(t, []string{"b", "a"}, edition.Accounts())

	for _, path := range []string{"/v1/resources", "/v1/resources/account/b", "/v1/watch?from=0", "/v1/history"} {
		request := &fasthttp.RequestCtx{}
		request.Request.SetRequestURI(path)
		fixture.control.requests = t.Context()
		fixture.control.handle(request)
		require.Equal(t, fasthttp.StatusOK, request.Response.StatusCode(), path)
		require.True(t, bytes.Contains(request.Response.Body(), []byte(`"name":"b"`)), path)
		require.False(t, bytes.Contains(request.Response.Body(), []byte(secret)), path)
	}

	err := replace(3, 2, []rsrc.Account{rsrc.NewAccount("b", []string{secret}, rsrc.AccountOptions{}), rsrc.NewAccount("c", []string{secret}, rsrc.AccountOptions{})})
	require.ErrorContains(t, err, `account "c" has the same key as account "b"`)
	require.NotContains(t, err.Error(), secret)
	require.NoError(t, replace(3, 2, []rsrc.Account{}))
	edition, _ = fixture.control.replica.config().Edition()
	require.NotNil(t, edition.Accounts(), "an empty list was sent")
	require.Empty(t, fixture.control.replica.config().Accounts())
	require.NoError(t, replace(4, 3, nil))
	edition, _ = fixture.control.replica.config().Edition()
	require.Nil(t, edition.Accounts(), "no list was sent")
}

// TestAnAccountWithDigestsIsNotWritten guards against the loss of keys when the answer to a
// read of an account is written back.
func TestAnAccountWithDigestsIsNotWritten(t *testing.T) {
	fixture := newOrderFixture(t)
	fixture.control.requests = t.Context()
	digests := wire.FromResource(rsrc.NewAccount("a", []string{"k"}, rsrc.AccountOptions{}))
	keys := wire.FromResourceWithKeys(rsrc.NewAccount("a", []string{"k"}, rsrc.AccountOptions{}))
	for _, c := range []struct {
		path   string
		body   any
		status int
	}{
		{"/v1/apply", wire.ApplyRequest{Resources: []wire.Resource{digests}}, fasthttp.StatusBadRequest},
		{"/v1/replace", wire.ReplaceRequest{Number: 2, Base: 1, Resources: []wire.Resource{digests}}, fasthttp.StatusBadRequest},
		{"/v1/apply", wire.ApplyRequest{Resources: []wire.Resource{keys}}, fasthttp.StatusOK},
		{"/v1/replace", wire.ReplaceRequest{Number: 2, Base: 1, Resources: []wire.Resource{keys}}, fasthttp.StatusOK},
	} {
		request := &fasthttp.RequestCtx{}
		request.Request.Header.SetMethod(fasthttp.MethodPost)
		request.Request.SetRequestURI(c.path)
		request.Request.SetBody(wire.MustEncode(c.body))
		fixture.control.handle(request)
		require.Equal(t, c.status, request.Response.StatusCode(), "%s: %s", c.path, request.Response.Body())
	}
}
