// Package confap answers the administration API's requests on the configuration, apart from any HTTP library.
package confap
