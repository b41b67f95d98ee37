// Package config checks on running processes that an accepted configuration reaches every one and never reverts.
package config
