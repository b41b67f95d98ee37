// Package plot draws distributions of response time over ideal time as SVG.
package plot
