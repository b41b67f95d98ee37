// Package cause defines the causes of harm to work and of events, which entries record and the page of a day shows.
package cause
