package bulk

import (
	"context"

	"persimmonstage/io/wire"
)

// What a process can fetch from another.
const (
	FetchMap    = "map"
	FetchConfig = "config"
)

// Fetch asks the other process for what it carries beyond a version; nil data is no newer, and version 0 none at all.
func (m *Mux) Fetch(ctx context.Context, what string, version int64) (*wire.Fetched, error) {
	got, err := m.Request(ctx, &wire.Bulk{Body: &wire.Bulk_Fetch{Fetch: &wire.Fetch{What: what, Version: version}}})
	if err != nil {
		return nil, err
	}
	return got.GetFetched(), nil
}
