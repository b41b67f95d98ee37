// Package mix generates the jobs of a load from a seed: open-loop arrivals in a mix of kinds, or a flood of one kind.
package mix
