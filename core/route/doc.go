// Package route describes a queue of repeatable jobs as configured by the operators.
package route
