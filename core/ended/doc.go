// Package ended names the ways in which a job can end, with the words of the public API.
package ended
