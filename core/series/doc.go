// Package series counts the ended jobs of one team and kind over a period of time.
package series
