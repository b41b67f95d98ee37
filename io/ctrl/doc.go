// Package ctrl exchanges the small, frequent control frames between processes over gnet.
package ctrl
