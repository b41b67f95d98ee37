package page

import (
	"time"

	"persimmonstage/core/digest"
)

// addTimeline lays out the bars of the plot and fills the hourly table, which gives the same numbers.
func (v *view) addTimeline() {
	var peak int64
	for _, s := range v.Slots {
		peak = max(peak, s.Ended())
	}
	v.Peak = digest.FormatJobs(peak)
	width := plotWidth / float64(max(len(v.Slots), 1))
	for i, s := range v.Slots {
		v.addColumn(float64(i)*width, width, peak, []share{
			{"refused", s.Refused}, {"unknown", s.Unknown}, {"failed", s.Failed}, {"late", s.Late}, {"fine", s.Fine},
		})
		v.addHour(s.From, s.Fine, s.Late, s.Failed, s.Refused, s.Unknown)
	}
	for i := range labelCount {
		v.Labels = append(v.Labels, clock(v.Slots[i*len(v.Slots)/labelCount].From))
	}
}

type share struct {
	class string
	jobs  int64
}

// addColumn stacks the shares from the bottom up, bad outcomes lowest; a column that minHarmHeight makes too high is cut off.
func (v *view) addColumn(x, width float64, peak int64, shares []share) {
	y := plotHeight
	for _, s := range shares {
		if s.jobs == 0 {
			continue
		}
		h := plotHeight * float64(s.jobs) / float64(peak)
		if s.class != "fine" {
			h = max(h, minHarmHeight)
		}
		h = min(h, y)
		y -= h
		v.Bars = append(v.Bars, bar{Class: s.class, X: x, Y: y, Width: width, Height: h})
	}
}

// addHour adds a slot to its hour's row of the table; slots without jobs are left out.
func (v *view) addHour(from time.Time, fine, late, failed, refused, unknown int64) {
	bad := late + failed + refused + unknown
	if fine+bad == 0 {
		return
	}
	// The name includes the UTC offset, because an hour occurs twice on the day when the clocks go back.
	name := from.Format("15") + ":00" + offsetSuffix(v, from)
	last := len(v.Hours) - 1
	if last < 0 || v.Hours[last].Hour != name {
		v.Hours = append(v.Hours, hourRow{Hour: name})
		last++
	}
	h := &v.Hours[last]
	h.Jobs += fine + bad
	h.Bad += bad
	h.Late += late
	h.Failed += failed
	h.Refused += refused
	h.Unknown += unknown
}

// offsetSuffix returns the UTC offset at t on days when it changes.
func offsetSuffix(v *view, t time.Time) string {
	if v.To.Sub(v.From) == 24*time.Hour {
		return ""
	}
	return t.Format(" -07:00")
}
