// Package ctrl carries the small frequent frames between processes over gnet.
package ctrl
