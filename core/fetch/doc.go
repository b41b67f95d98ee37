// Package fetch decides on an agent when to fetch a newer document and from which entry. Agents fetch at random times and at
// most one version per second, so that with versions in quick succession not every entry sends every version to every agent.
package fetch
