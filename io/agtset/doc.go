// Package agtset loads and checks an agent's settings.
package agtset
