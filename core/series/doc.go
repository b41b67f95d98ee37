// Package series counts the ended jobs of one team and kind over a stretch of time.
package series
