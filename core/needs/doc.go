// Package needs holds the vector of resources that a task needs or a target offers.
package needs
