// Package pairs estimates from ended runs which kinds of tasks slow each other down on one target.
package pairs
