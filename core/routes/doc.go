// Package routes matches requests to the routes of one version of the operators' configuration.
package routes
