// Package relay decides when an entry has agents read the operators' document from the store for it, and which agents it asks. The
// store may turn an entry away, or all of them, and serve its agents meanwhile.
package relay
