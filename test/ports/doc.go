// Package ports allocates ports for tests so that test processes that run at the same time never get the same one.
package ports
