// Package member describes one entry process as the shard map lists it.
package member
