package balancer

import (
	"math"
	"slices"
)

// loadReport is what an endpoint's load report says.
type loadReport struct {
	hasLoad        bool
	load           float64 // requests there
	countsInflight bool    // load is all of them; else those that wait, and those at work as assumed
	serviceTime    float64 // microseconds; -1 is unknown
}

// reportsLoad says whether reports with these figures tell how many requests an endpoint has.
func reportsLoad(metrics []LoadMetric) bool {
	return slices.Contains(metrics, MetricInflight) || slices.Contains(metrics, MetricQueueLength)
}

// parseLoadReport reads the figures of a report in the order of metrics. Negative and infinite figures and NaN are
// skipped.
func parseLoadReport(metrics []LoadMetric, figures []float32) loadReport {
	report := loadReport{serviceTime: -1}
	queue := -1.0
	for i, metric := range metrics[:min(len(metrics), len(figures))] {
		figure := float64(figures[i])
		if !(figure >= 0) || math.IsInf(figure, 0) {
			continue
		}
		switch metric {
		case MetricInflight:
			report.load = figure
			report.countsInflight = true
		case MetricQueueLength:
			queue = figure
		case MetricLatency:
			report.serviceTime = 1000 * figure
		}
	}
	if !report.countsInflight && queue >= 0 {
		report.load = queue + assumedCores*indicator(queue >= 1)
	}
	report.hasLoad = report.countsInflight || queue >= 0
	return report
}
