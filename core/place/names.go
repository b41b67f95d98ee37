package place

import "slices"

// policyNames lists the names of the policies in settings, indexed by Policy.
var policyNames = []string{"bounded", "random", "two-choices", "reservations", "idle-first", "soonest"}

// PolicyNames returns the names of the policies.
func PolicyNames() []string { return slices.Clone(policyNames) }

// ParsePolicy returns the policy with a name, and false if the name is unknown.
func ParsePolicy(name string) (Policy, bool) {
	i := slices.Index(policyNames, name)
	return Policy(max(i, 0)), i >= 0
}

// String returns the policy's name.
func (p Policy) String() string { return policyNames[p] }
