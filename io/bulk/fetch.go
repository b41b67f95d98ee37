package bulk

import (
	"context"

	"persimmonstage/io/wire"
)

// Documents that a process can fetch from another.
const (
	FetchMap    = "map"
	FetchConfig = "config"
)

// Fetch requests the named document if the other process has a version newer than the given one: nil data means that it has
// none newer, and version 0 that it has none at all.
func (m *Mux) Fetch(ctx context.Context, what string, version int64) (*wire.Fetched, error) {
	got, err := m.Request(ctx, &wire.Bulk{Body: &wire.Bulk_Fetch{Fetch: &wire.Fetch{What: what, Version: version}}})
	if err != nil {
		return nil, err
	}
	return got.GetFetched(), nil
}
