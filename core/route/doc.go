// Package route describes one queue of repeatable jobs as the operators configure it.
package route
