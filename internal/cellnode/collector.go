package cellnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/cell"
)

// nodeCollector reads the state of a node when metrics are scraped.
type nodeCollector struct {
	node *Node
}

func gaugeDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("endivehill_"+name, help, labels, nil)
}

var (
	descEpoch     = gaugeDesc("cell_epoch", "Highest epoch of the ownership that the node knows.")
	descOwner     = gaugeDesc("cell_owner", "1 if the node owns the cell.")
	descLag       = gaugeDesc("cell_owner_lag_seconds", "How late the control goroutine of the owner is.")
	descConfig    = gaugeDesc("config_version", "Configuration version in force.")
	descConfigAge = gaugeDesc("config_age_seconds", "Time since that version was known to be the newest.")
	descStoreAge  = gaugeDesc("store_age_seconds", "Time since the table service last served a call.")
	descDropped   = gaugeDesc("log_lines_dropped", "Log lines that were dropped.")
	descWorks     = gaugeDesc("cell_works", "Works by what became of them, since the node owns the cell.", "state")
	descRuns      = gaugeDesc("cell_runs", "Runs of tasks by what became of them, since the node owns the cell.", "state")
	descLosses    = gaugeDesc("cell_lost_runs", "Runs that were declared lost without the word of their worker, since the node owns the cell.", "reason")
	descCalls     = gaugeDesc("cell_worker_calls", "Calls to workers whose answer was overdue, came late or proved nothing, since the node owns the cell.", "state")
	descAdvice    = gaugeDesc("cell_advice_calls", "Calls for advice, since the node owns the cell.", "result")
	descEvacuated = gaugeDesc("cell_evacuated_runs", "Runs left in each evacuated failure domain.", "domain")
	descReady     = gaugeDesc("cell_ready_steps", "Steps with tasks that wait to be placed.")
	descAbsence   = gaugeDesc("cell_long_running_absence_seconds", "Longest time for which a long-running task has had no active run.")
	descSilence   = gaugeDesc("peer_silence_seconds", "Longest time without data on a connection to another node on which a request has no answer.")
	descRoundTrip = gaugeDesc("cell_longest_round_trip_seconds", "Longest smoothed time until a worker answers a call.")
	descPeerConns = gaugeDesc("peer_connections", "Connections from other nodes: open, their limit, and those refused because of it.", "state")
	descSent      = prometheus.NewDesc("endivehill_sent_bytes_total", "Bytes sent, by destination.", []string{"to"}, nil)
	descWorkers   = gaugeDesc("cell_workers", "Workers, those on which tasks run, and those that do not answer in time.", "state")
	metricDescs   = []*prometheus.Desc{
		descEpoch, descOwner, descLag, descConfig, descConfigAge, descStoreAge, descDropped, descWorks, descRuns, descLosses, descCalls,
		descAdvice, descReady, descAbsence, descSilence, descRoundTrip, descPeerConns, descSent, descEvacuated, descWorkers,
	}
)

// Describe lists the metrics.
func (c *nodeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range metricDescs {
		out <- d
	}
}

// Collect reads the metrics.
func (c *nodeCollector) Collect(out chan<- prometheus.Metric) {
	n := c.node
	set := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	view, _ := n.election.View()
	version, confirmedAt := n.admission.Version()
	set(descEpoch, float64(view.Epoch))
	set(descOwner, boolGauge(view.Self))
	set(descLag, n.owner.Lag().Seconds())
	set(descConfig, float64(version))
	set(descConfigAge, (n.clock.Boot() - confirmedAt).Seconds())
	set(descStoreAge, (n.clock.Boot() - time.Duration(n.storeAnsweredAt.Load())).Seconds())
	conns := n.peerServer.ConnStats()
	set(descPeerConns, float64(conns.Open), "open")
	set(descPeerConns, float64(conns.Limit), "limit")
	set(descPeerConns, float64(conns.Refused), "refused")
	set(descSilence, n.peerClient.LongestSilence().Seconds())
	if n.options.DroppedLogLines != nil {
		set(descDropped, float64(n.options.DroppedLogLines()))
	}
	n.collectTraffic(out)
	s := n.owner.Stats()
	if s == nil || !view.Self {
		return
	}
	for _, v := range []struct {
		desc  *prometheus.Desc
		label string
		value int
	}{
		{descWorks, "refused", s.Refused}, {descWorks, "accepted", s.Accepted}, {descWorks, "completed", s.Completed},
		{descWorks, "failed", s.Failed}, {descWorks, "canceled", s.Canceled}, {descWorks, "active", s.ActiveWorks},
		{descRuns, "started", s.Started}, {descRuns, "done", s.Done}, {descRuns, "failed", s.TaskFailed},
		{descRuns, "lost", s.Lost.Total()}, {descRuns, "preempted", s.Preempted}, {descRuns, "stopped_for_evacuation", s.StoppedForEvacuation},
		{descRuns, "refused_for_room", s.StartsRefusedForRoom}, {descRuns, "refused_for_ticket", s.StaleTickets},
		{descCalls, "poll_overdue", s.OverduePolls}, {descCalls, "start_overdue", s.OverdueStarts},
		{descCalls, "report_late", s.LateReports}, {descCalls, "report_invalid", s.InvalidReports},
		{descAdvice, "asked", s.AdviceCalls}, {descAdvice, "failed", s.AdviceFailures},
		{descWorkers, "listed", s.Workers}, {descWorkers, "busy", s.BusyWorkers},
		{descWorkers, "unresponsive", s.Unresponsive},
	} {
		set(v.desc, float64(v.value), v.label)
	}
	for reason, count := range s.Lost {
		set(descLosses, float64(count), cell.LossReason(reason).String())
	}
	for domain, count := range s.EvacuatedRuns {
		set(descEvacuated, float64(count), domain)
	}
	set(descReady, float64(s.ReadySteps))
	set(descAbsence, s.LongestAbsence.Seconds())
	set(descRoundTrip, s.LongestRoundTrip.Seconds())
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
