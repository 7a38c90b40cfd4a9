package citronstat

import (
	"citrondeck.dev/citrondeck/citronnode"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterNode registers gauges of a node's state with r. Each gauge calls status when it
// is collected.
func RegisterNode(status func() citronnode.Status, r prometheus.Registerer) {
	gauge := func(name, help string, value func(citronnode.Status) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "citrondeck_" + name, Help: help}, func() float64 { return value(status()) }))
	}
	toFloat := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("config_version", "Version of the configuration in force, 0 without one.", func(s citronnode.Status) float64 { return float64(s.ConfigVersion) })
	gauge("config_age_seconds", "Time since it was put in force.", func(s citronnode.Status) float64 { return s.ConfigAge.Seconds() })
	gauge("list_revision", "Revision of the list of engines, in the era of the store.", func(s citronnode.Status) float64 { return float64(s.ListRevision) })
	gauge("store_era", "How often the store has come back from an older copy.", func(s citronnode.Status) float64 { return float64(s.StoreEra) })
	gauge("list_age_seconds", "Time since the list last changed.", func(s citronnode.Status) float64 { return s.ListAge.Seconds() })
	gauge("engines_ready", "Engines that take new work.", func(s citronnode.Status) float64 { return float64(s.Ready) })
	gauge("engines_leaving", "Engines that are leaving.", func(s citronnode.Status) float64 { return float64(s.Leaving) })
	gauge("entries_unreadable", "Entries of the list that name no engine, of another writer.", func(s citronnode.Status) float64 { return float64(s.Unreadable) })
	gauge("engines_kept", "Engines that stay in use although their entries are missing.", func(s citronnode.Status) float64 { return float64(s.Retained) })
	gauge("nodes_heard", "Other nodes that are heard.", func(s citronnode.Status) float64 { return float64(s.Nodes) })
	gauge("suspects", "Requests under which engines have ended.", func(s citronnode.Status) float64 { return float64(s.Suspects) })
	gauge("requests_barred", "Requests that are not sent to engines because they crash them.", func(s citronnode.Status) float64 { return float64(s.Quarantined) })
	gauge("limited_engines", "Engines that name a rate limit.", func(s citronnode.Status) float64 { return float64(s.Limited) })
	gauge("cooling_engines", "Engines that have asked this node for a cool-down.", func(s citronnode.Status) float64 { return float64(s.Cooling) })
	gauge("limits_rejected", "Messages of other nodes about rate limits of which nothing was taken.", func(s citronnode.Status) float64 { return float64(s.LimitsRejected) })
	gauge("usage_from_engines", "Reports of engines' usage that this node got from the engines.", func(s citronnode.Status) float64 { return float64(s.UsageFromEngines) })
	gauge("usage_from_nodes", "Reports of engines' usage that this node got from other nodes.", func(s citronnode.Status) float64 { return float64(s.UsageFromNodes) })
	gauge("usage_rejected", "Reports of engines' usage that are impossible and were not used.", func(s citronnode.Status) float64 { return float64(s.UsageRejected) })
	gauge("usage_fresh", "Engines whose usage is known from a report of the last seconds.", func(s citronnode.Status) float64 { return float64(s.UsageFresh) })
	gauge("parts_quarantined", "Prompt parts with which requests are not sent to engines because they crash them.", func(s citronnode.Status) float64 { return float64(s.QuarantinedParts) })
	gauge("suspects_rejected", "Messages of other nodes about suspects of which nothing was taken.", func(s citronnode.Status) float64 { return float64(s.SuspectsRejected) })
	gauge("engines_tried", "Engines that the node has tried to reach in the last seconds.", func(s citronnode.Status) float64 { return float64(s.EnginesTried) })
	gauge("engines_unreached", "Engines that the node tried to reach in the last seconds and could not.", func(s citronnode.Status) float64 { return float64(s.EnginesUnreached) })
	gauge("partitioned", "1 while the node reaches most engines only through other nodes.", func(s citronnode.Status) float64 { return toFloat(s.Partitioned) })
	gauge("watching", "1 while the node watches the store and the store answers.", func(s citronnode.Status) float64 { return toFloat(s.Watching) })
	gauge("leads", "1 while the node holds the lease under which layers are placed.", func(s citronnode.Status) float64 { return toFloat(s.Leads) })
	gauge("places", "1 while the node places layers.", func(s citronnode.Status) float64 { return toFloat(s.Places) })
}
