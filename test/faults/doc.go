// Package faults holds the tests that kill, freeze, stop and restart real processes under load.
package faults
