package place

import "slices"

// names are the policies' names in settings, in the order of the policies.
var names = []string{"bounded", "random", "two-choices", "reservations", "idle-first", "soonest"}

// PolicyNames returns the names of the policies.
func PolicyNames() []string { return slices.Clone(names) }

// ParsePolicy returns the policy with a name, and false if there is none.
func ParsePolicy(name string) (Policy, bool) {
	i := slices.Index(names, name)
	return Policy(max(i, 0)), i >= 0
}

// String returns the policy's name.
func (p Policy) String() string { return names[p] }
