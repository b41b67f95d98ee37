package page

import (
	"time"

	"persimmonstage/core/digest"
)

// timeline lays out the bars of the plot, and the table of hours that says the same in numbers.
func (v *view) timeline() {
	var peak int64
	for _, s := range v.Slots {
		peak = max(peak, s.Ended())
	}
	v.Peak = digest.Jobs(peak)
	width := plotWidth / float64(max(len(v.Slots), 1))
	for i, s := range v.Slots {
		v.column(float64(i)*width, width, peak, []share{
			{"refused", s.Refused}, {"unknown", s.Unknown}, {"failed", s.Failed}, {"late", s.Late}, {"fine", s.Fine},
		})
		v.hour(s.From, s.Fine, s.Late, s.Failed, s.Refused, s.Unknown)
	}
	for i := range labels {
		v.Labels = append(v.Labels, clock(v.Slots[i*len(v.Slots)/labels].From))
	}
}

type share struct {
	class string
	jobs  int64
}

// column stacks the shares from the base up, harm lowest; a column too high for its harm's least height is cut at the top.
func (v *view) column(x, width float64, peak int64, shares []share) {
	y := plotHeight
	for _, s := range shares {
		if s.jobs == 0 {
			continue
		}
		h := plotHeight * float64(s.jobs) / float64(peak)
		if s.class != "fine" {
			h = max(h, leastHarm)
		}
		h = min(h, y)
		y -= h
		v.Bars = append(v.Bars, bar{Class: s.class, X: x, Y: y, Width: width, Height: h})
	}
}

// hour adds the slot to the table; quiet hours are left out.
func (v *view) hour(from time.Time, fine, late, failed, refused, unknown int64) {
	bad := late + failed + refused + unknown
	if fine+bad == 0 {
		return
	}
	// The zone stands in the name, as an hour comes twice on the day when the clocks go back.
	name := from.Format("15") + ":00" + zoneMark(v, from)
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

// zoneMark names the offset on days when it changes.
func zoneMark(v *view, t time.Time) string {
	if v.To.Sub(v.From) == 24*time.Hour {
		return ""
	}
	return t.Format(" -07:00")
}
