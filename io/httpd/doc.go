// Package httpd runs an HTTP server on its own port and stops it completely, even if it is closed before it has begun to accept
// connections.
package httpd
