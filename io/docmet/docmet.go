package docmet

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"persimmonstage/core/newest"
	"persimmonstage/io/uptime"
)

// Register registers the gauges of the document's version and of the seconds since the store confirmed it as the newest, which is
// NaN before the first confirmation.
func Register(reg prometheus.Registerer, doc *newest.Newest) {
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonstage_configuration_version", Help: "Version of the configuration in force.",
		}, func() float64 { return float64(doc.Version()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "persimmonstage_configuration_confirmed_seconds", Help: "Time since the store confirmed the configuration as the newest.",
		}, func() float64 {
			at := doc.Confirmed()
			if at.IsZero() {
				return math.NaN()
			}
			return uptime.Now().Sub(at).Seconds()
		}),
	)
}
