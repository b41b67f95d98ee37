// Package crash describes what ran at a target when its process crashed.
package crash
