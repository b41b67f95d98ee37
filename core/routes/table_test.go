package routes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/route"
	"persimmonstage/core/routes"
)

func TestLongestPrefixOfAHostMatches(t *testing.T) {
	table := routes.New(7, []route.Route{
		{Name: "short", Host: "A.example", Prefix: "/p/"},
		{Name: "long", Host: "a.example", Prefix: "/p/q/"},
		{Name: "other", Host: "b.example", Prefix: "/p/q/r/"},
	})
	require.Equal(t, int64(7), table.Version())
	require.Equal(t, 3, table.Len())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/p/1", "short"},
		{"a.example:80", "/p/q/1", "long"},
		{"a.EXAMPLE", "/p/q/r/1", "long"},
		{"b.example", "/p/q/r/1", "other"},
	} {
		got := table.Match(c.host, c.path)
		require.NotNil(t, got, c.path)
		require.Equal(t, c.want, got.Name, c.path)
	}
	require.Nil(t, table.Match("a.example", "/x/1"))
	require.Nil(t, table.Match("c.example", "/p/1"))
	require.Nil(t, (&routes.Table{}).Match("a.example", "/p/1"))
}

func TestLastOfTwoEqualPrefixesMatches(t *testing.T) {
	table := routes.New(1, []route.Route{{Name: "first", Host: "a", Prefix: "/p/"}, {Name: "last", Host: "a", Prefix: "/p/"}})
	require.Equal(t, "last", table.Match("a", "/p/1").Name)
}
