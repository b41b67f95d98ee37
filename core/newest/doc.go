// Package newest keeps the newest version of a document that comes from several sources.
package newest
