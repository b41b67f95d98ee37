// Package claims keeps which entries still work on jobs that another entry may be handed meanwhile. Entries pass their claims on to each other
// in the heartbeats of agents, so that an entry that is handed such a job waits for the end of the first entry's runs.
package claims
