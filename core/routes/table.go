package routes

import (
	"cmp"
	"slices"
	"strings"

	"persimmonstage/core/route"
)

// Table is the immutable set of routes of one version of the configuration; the zero value has version 0 and no routes.
type Table struct {
	version int64
	byHost  map[string][]route.Route
}

// New returns the table of a version; of several routes with the same host and prefix the last one takes precedence.
func New(version int64, list []route.Route) *Table {
	t := &Table{version: version, byHost: make(map[string][]route.Route)}
	for _, r := range list {
		r.Host = strings.ToLower(r.Host)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rows := range t.byHost {
		slices.Reverse(rows)
		slices.SortStableFunc(rows, func(a, b route.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, rows := range t.byHost {
		n += len(rows)
	}
	return n
}

// Match returns the route of host with the longest prefix of path, nil if there is none; a port in host is ignored.
func (t *Table) Match(host, path string) *route.Route {
	host, _, _ = strings.Cut(host, ":")
	rows := t.byHost[strings.ToLower(host)]
	for i := range rows {
		if strings.HasPrefix(path, rows[i].Prefix) {
			return &rows[i]
		}
	}
	return nil
}
