// Package strain tells from how late a process's ticks come whether its host is too slow for what it has to do.
package strain
