package limits

import "time"

// Limits holds the limits on a request; sizes are in bytes.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	PayloadBytes int
	TasksPerJob  int
	NameBytes    int
	MaxDeadline  time.Duration
	IssuedSkew   time.Duration
}

// Default returns the limits that apply if none are configured.
func Default() Limits {
	return Limits{
		BodyBytes:    16 << 20,
		HeaderBytes:  8 << 10,
		PayloadBytes: 1 << 20,
		TasksPerJob:  160,
		NameBytes:    128,
		MaxDeadline:  10 * time.Minute,
		IssuedSkew:   2 * time.Second,
	}
}
