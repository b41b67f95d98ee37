// Package routes finds the route of a request in one version of the operators' configuration.
package routes
