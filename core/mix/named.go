package mix

import "time"

const (
	longWindow  = 30 * time.Second
	shortWindow = 5 * time.Second
	// MaxTasks is the largest number of tasks of a job in the mixes.
	MaxTasks = 160
)

// DefaultKinds returns the kinds of both teams: short ones with a waiting customer, and jobs of up to MaxTasks tasks.
func DefaultKinds() []Kind {
	return []Kind{
		{Team: "senandung", Name: "stock", Share: 0.35, Run: 50 * time.Millisecond, Window: shortWindow},
		{Team: "senandung", Name: "renewal", Share: 0.25, Run: 200 * time.Millisecond, Tasks: 4, Window: longWindow},
		{Team: "kowhai", Name: "price", Share: 0.25, Run: 80 * time.Millisecond, Window: shortWindow},
		{Team: "kowhai", Name: "label", Share: 0.1, Run: 300 * time.Millisecond, Tasks: MaxTasks, Window: longWindow},
		{Team: "kowhai", Name: "cut", Share: 0.05, Run: 2 * time.Second, Window: longWindow},
	}
}

// Fixed returns DefaultKinds with exactly tasks tasks per job if tasks is above 0, and a mean run time of run if run is above 0.
func Fixed(tasks int, run time.Duration) []Kind {
	kinds := DefaultKinds()
	for i := range kinds {
		if tasks > 0 {
			kinds[i].Tasks, kinds[i].Exact = tasks, true
			kinds[i].Window = longWindow
		}
		if run > 0 {
			kinds[i].Run = run
		}
	}
	return kinds
}

// Flood returns the kind of a flood by its name, and false for an unknown name.
func Flood(name string) (Kind, bool) {
	k := Kind{Team: "flood", Name: name, Share: 1, Run: 100 * time.Millisecond, Tasks: 10, Exact: true, Window: longWindow}
	switch name {
	case "least":
		k.Window = 10 * longWindow
	case "most":
		k.Window = time.Second
	case "small-jobs":
		k.Tasks, k.Run = 1, 50*time.Millisecond
	case "huge-jobs":
		k.Tasks, k.Run = MaxTasks, 500*time.Millisecond
	case "resubmissions":
		k.Tasks = 1
	default:
		return Kind{}, false
	}
	return k, true
}
