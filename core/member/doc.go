// Package member describes an entry process as listed in the shard map.
package member
