// Package measure starts fleets of real processes and measures them; its tests are skipped unless -measure is given.
package measure
