// Package confap handles the administration API's configuration requests, independently of the HTTP library.
package confap
