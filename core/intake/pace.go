package intake

import "time"

const (
	// framingPerCore is the rate, in bytes a second, of framing that takes about a fifth of a core: each byte costs some 22 ns.
	framingPerCore = 8 << 20
	// framingPerByte is how many bytes of framing a byte of a body in chunks of one byte has, rounded up.
	framingPerByte = 6
)

// FramingRate returns the rate, in bytes a second, of excessive framing on the given part of a core; 0 stands for unknown.
func FramingRate(cores float64) int64 {
	if cores <= 0 {
		cores = 1
	}
	return int64(cores * framingPerCore)
}

// Pace reserves processor time for further bytes of framing that exceed their body by far, and returns how long the request has to wait
// for it, or false if that were beyond until. The framing of one body of the given limit is free of waits after a calm time.
func (i *Intake) Pace(now, until time.Time, bytes, bodyLimit int64) (wait time.Duration, ok bool) {
	rate := float64(i.limits.Framing)
	if rate <= 0 {
		return 0, true
	}
	begin := i.framedUntil
	if calm := now.Add(-inSeconds(framingPerByte * float64(bodyLimit) / rate)); begin.Before(calm) {
		begin = calm
	}
	end := begin.Add(inSeconds(float64(bytes) / rate))
	if end.After(until) {
		return 0, false
	}
	i.framedUntil = end
	return max(0, end.Sub(now)), true
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
