// Package rlimit tells how much memory and how many descriptors a process has, from its settings or else from the operating system.
package rlimit
