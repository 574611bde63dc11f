package balancer

import (
	"math"
	"slices"
)

// loadReport is the parsed load report of an endpoint.
type loadReport struct {
	hasLoad        bool
	load           float64 // requests at the endpoint
	countsInflight bool    // load is a reported count; else it is made up of the queue and assumedCores
	serviceTime    float64 // microseconds, without waiting; -1 is unknown
}

// reportsLoad reports whether load reports with these metrics contain the number of requests at an endpoint.
func reportsLoad(metrics []LoadMetric) bool {
	return slices.Contains(metrics, MetricInflight) || slices.Contains(metrics, MetricQueueLength)
}

const microsPerMilli = 1000 // microseconds in a millisecond

// parseLoadReport parses the figures of a load report, in the order of metrics. Negative and infinite figures
// and NaN are skipped, as are figures beyond the metrics.
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
			report.serviceTime = microsPerMilli * figure
		}
	}
	if !report.countsInflight && queue >= 0 {
		report.load = queue + assumedCores*indicator(queue >= 1)
	}
	report.hasLoad = report.countsInflight || queue >= 0
	return report
}
