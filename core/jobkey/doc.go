// Package jobkey identifies a submission by its team and the id that its caller chose.
package jobkey
