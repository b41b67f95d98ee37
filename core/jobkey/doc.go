// Package jobkey names a submission: the team and the id that its caller chose.
package jobkey
