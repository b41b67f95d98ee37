// Package agtset holds an agent's settings.
package agtset
