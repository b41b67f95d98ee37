// Package ports gives test processes that run side by side ports that no other of them gives.
package ports
