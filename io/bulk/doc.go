// Package bulk carries jobs, payloads, results and records between processes over yamux streams.
package bulk
