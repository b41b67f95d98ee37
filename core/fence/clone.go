package fence

import "slices"

// Clone returns an independent copy.
func (f *Fence) Clone() *Fence {
	return &Fence{grace: f.grace, cur: f.cur.clone(), prior: f.prior.clone()}
}

func (v *view) clone() *view {
	if v == nil {
		return nil
	}
	return &view{m: v.m, stamps: slices.Clone(v.stamps), index: v.index}
}
