// Package graph draws what entries earned beside its upper bound as SVG.
package graph
