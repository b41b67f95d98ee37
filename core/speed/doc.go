// Package speed estimates run times of tasks by kind and target from the run times of earlier tasks.
package speed
