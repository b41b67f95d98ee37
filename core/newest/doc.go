// Package newest holds the newest version of a document that is received from several sources.
package newest
