// Package marks keeps a daemon's table of evacuated data centres: it logs and counts changes, and encodes what is new for a connection.
package marks
