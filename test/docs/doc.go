// Package docs compares the generated pages under docs with the code.
package docs
