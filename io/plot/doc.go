// Package plot draws the distributions of response over ideal as SVG.
package plot
