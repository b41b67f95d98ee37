// Package mix draws the jobs of a load: open-loop arrivals from a seed, in a mix of kinds, or a flood of one kind.
package mix
