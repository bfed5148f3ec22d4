package checker_test

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/history"
)

// at returns rec as recorded after the given number of seconds.
func at(seconds float64, rec history.Record) history.Record {
	rec.At = time.Duration(seconds * float64(time.Second))
	return rec
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func vm(name string) history.Record {
	return history.Record{Kind: history.VMCapacity, VM: name, Connections: 2,
		Resources: api.Resources{CpuMillis: 1000, MemoryMb: 100, Accelerators: 1, Slots: 2}}
}

func start(vm string, attempt int, size api.Resources) history.Record {
	return history.Record{Kind: history.TaskStart, VM: vm, Team: "t", Task: "t/j/0", Attempt: attempt, Resources: size}
}

func startOf(task, vm string, size api.Resources) history.Record {
	rec := start(vm, 1, size)
	rec.Task = task
	return rec
}

func stop(vm string, attempt int) history.Record {
	return history.Record{Kind: history.TaskStop, VM: vm, Team: "t", Task: "t/j/0", Attempt: attempt}
}

func begin(run int64, id string) history.Record {
	return history.Record{Kind: history.RequestStart, VM: "v", Run: run, Team: "t", Queue: "t.q", RequestID: id, BodyDigest: "b"}
}

func end(run int64, id, answer string) history.Record {
	return history.Record{Kind: history.RequestEnd, VM: "v", Run: run, Team: "t", Queue: "t.q", RequestID: id, AnswerDigest: answer}
}

func call(id, key string, started float64, outcome history.Outcome, answer string) history.Record {
	return history.Record{Kind: history.Call, Node: "n", Team: "t", Queue: "t.q", RequestID: id, Key: key,
		Started: seconds(started), Outcome: outcome, BodyDigest: "b", AnswerDigest: answer}
}

func submit(key string, started float64, outcome history.Outcome) history.Record {
	return history.Record{Kind: history.Call, Node: "n", Team: "t", Queue: "t.jobs", Job: "j", Key: key, Started: seconds(started), Outcome: outcome}
}

func queue(name string, open, idempotent bool) history.Record {
	return history.Record{Kind: history.QueueDefined, Queue: name, Team: "t", Open: open, Idempotent: idempotent}
}

func granted(key, team string) history.Record {
	return history.Record{Kind: history.KeyGranted, Key: key, Team: team}
}

func limit(slots, cpu int) history.Record {
	return history.Record{Kind: history.TeamLimit, Team: "t", Resources: api.Resources{Slots: slots, CpuMillis: cpu}}
}

func node(kind history.Kind, name string) history.Record {
	return history.Record{Kind: kind, Node: name}
}

func onVM(kind history.Kind) history.Record { return history.Record{Kind: kind, VM: "v"} }

func accepted(version int) history.Record {
	return history.Record{Kind: history.ConfigAccepted, Version: version}
}

func inForce(name string, version int, serving bool) history.Record {
	return history.Record{Kind: history.ConfigInForce, Node: name, Version: version, Serving: serving}
}

var (
	half = api.Resources{CpuMillis: 500}
	most = api.Resources{CpuMillis: 600}
	gpu  = api.Resources{Accelerators: 1}
)

type recs = []history.Record

// Guards against a checker that passes a history in which a guarantee is broken,
// or that reports one in which it is kept. In each pair the histories differ
// only in what matters to the rule.
func TestRules(t *testing.T) {
	keyed := recs{queue("t.q", false, true), queue("t.jobs", false, true), granted("k", "t"), granted("k2", "other"), vm("v")}
	once := recs{queue("t.q", true, false), vm("v")}
	open := recs{queue("t.q", true, true), vm("v")}
	withdrawn := history.Record{Kind: history.KeyWithdrawn, Key: "k"}
	fault := history.Record{Kind: history.FaultBegin, Reason: "x"}
	tests := []struct {
		name      string
		guarantee checker.Guarantee
		given     recs
		kept      recs
		broken    recs
	}{
		{"processor time", checker.Capacity, recs{vm("v"), startOf("t/a/0", "v", half)},
			recs{startOf("t/b/0", "v", half)}, recs{startOf("t/b/0", "v", most)}},
		{"accelerators", checker.Capacity, recs{vm("v"), vm("w"), startOf("t/a/0", "v", gpu)},
			recs{startOf("t/b/0", "w", gpu)}, recs{startOf("t/b/0", "v", gpu)}},
		{"capacity after a stop", checker.Capacity, recs{vm("v"), start("v", 1, most)},
			recs{stop("v", 1), startOf("t/b/0", "v", most)}, recs{startOf("t/b/0", "v", most), stop("v", 1)}},
		{"slots", checker.Capacity, recs{vm("v"), begin(1, "a"), begin(2, "b")},
			recs{end(1, "a", ""), begin(3, "c")}, recs{begin(3, "c")}},
		{"connections", checker.Capacity, recs{vm("v"), onVM(history.ConnOpen), onVM(history.ConnOpen)},
			recs{onVM(history.ConnClose), onVM(history.ConnOpen)}, recs{onVM(history.ConnOpen)}},
		{"unknown VM", checker.Capacity, nil, recs{vm("v"), start("v", 1, half)}, recs{start("v", 1, half)}},

		{"two VMs", checker.SinglePlace, recs{vm("v"), vm("w"), start("v", 1, half)},
			recs{stop("v", 1), start("w", 2, half)}, recs{start("w", 2, half), stop("v", 1)}},
		{"two attempts on a VM", checker.SinglePlace, recs{vm("v"), start("v", 1, half)},
			recs{stop("v", 1), start("v", 2, half)}, recs{start("v", 2, half)}},
		{"VM gone", checker.SinglePlace, recs{vm("v"), vm("w"), start("v", 1, half)},
			recs{onVM(history.VMGone), start("w", 2, half)}, recs{start("w", 2, half), onVM(history.VMGone)}},

		{"no key", checker.Keys, keyed, recs{at(1, call("r", "", 1, history.NotRun, ""))},
			recs{begin(1, "r"), end(1, "r", "x"), at(1, call("r", "", 0, history.Answered, "x"))}},
		{"another team's key", checker.Keys, keyed, recs{begin(1, "r"), at(1, call("r", "k", 0, history.Unknown, ""))},
			recs{begin(1, "r"), at(1, call("r", "k2", 0, history.Unknown, ""))}},
		{"withdrawn key", checker.Keys, append(keyed, withdrawn),
			recs{at(4.9, begin(1, "r")), at(5, end(1, "r", "x")), at(6, call("r", "k", 4.8, history.Answered, "x"))},
			recs{at(5.3, begin(1, "r")), at(5.4, end(1, "r", "x")), at(6, call("r", "k", 5.2, history.Answered, "x"))}},
		{"open queue", checker.Keys, nil,
			recs{queue("t.q", true, true), vm("v"), begin(1, "r"), end(1, "r", "x"), call("r", "", 0, history.Answered, "x")},
			recs{queue("t.q", false, true), vm("v"), begin(1, "r"), end(1, "r", "x"), call("r", "", 0, history.Answered, "x")}},
		{"queue closed", checker.Keys, recs{queue("t.q", true, true), vm("v"), at(10, queue("t.q", false, true))},
			recs{at(13, begin(1, "r")), at(13, call("r", "", 13, history.Unknown, ""))},
			recs{at(15, begin(1, "r")), at(15, call("r", "", 15, history.Unknown, ""))}},
		{"run without a call", checker.Keys, append(keyed, call("other", "k", 0, history.Unknown, "")),
			recs{begin(1, "other")}, recs{begin(1, "r")}},
		{"job", checker.Keys, keyed, recs{at(1, submit("k", 0, history.Accepted)), at(2, start("v", 1, half))},
			recs{at(1, submit("k2", 0, history.Accepted)), at(2, start("v", 1, half))}},

		{"slots of a team", checker.Limits, recs{vm("v"), limit(1, 0), begin(1, "a")},
			recs{end(1, "a", ""), begin(2, "b")}, recs{begin(2, "b")}},
		{"two VMs of a team", checker.Limits, recs{vm("v"), vm("w"), limit(0, 1000), startOf("t/a/0", "v", half)},
			recs{startOf("t/b/0", "w", half)}, recs{startOf("t/b/0", "w", most)}},
		{"limit lowered", checker.Limits, recs{vm("v"), limit(0, 600), start("v", 1, most), at(1, limit(0, 500))},
			recs{at(30.9, stop("v", 1))}, recs{at(31.1, stop("v", 1))}},
		{"limit lowered, still running", checker.Limits, recs{vm("v"), limit(0, 600), start("v", 1, most), at(1, limit(0, 500))},
			recs{at(30.9, vm("w"))}, recs{at(31.1, vm("w"))}},
		{"limit raised", checker.Limits, recs{vm("v"), limit(0, 500)},
			recs{at(4.5, start("v", 1, most)), at(10, limit(0, 600))}, recs{at(3.5, start("v", 1, most)), at(10, limit(0, 600))}},

		{"other answer", checker.OwnAnswer, append(open, begin(1, "r"), end(1, "r", "x"), begin(2, "s"), end(2, "s", "y"), call("s", "", 0, history.Answered, "y")),
			recs{call("r", "", 0, history.Answered, "x")}, recs{call("r", "", 0, history.Answered, "y")}},
		{"answer of another body", checker.OwnAnswer, append(open, begin(1, "r"), end(1, "r", "x")),
			recs{call("r", "", 0, history.Answered, "x")},
			recs{{Kind: history.Call, Team: "t", Queue: "t.q", RequestID: "r", BodyDigest: "c", Outcome: history.Answered, AnswerDigest: "x"}}},
		{"answer without an execution", checker.OwnAnswer, open, recs{call("r", "", 0, history.Unknown, "")},
			recs{call("r", "", 0, history.Answered, "x")}},

		{"ran after all", checker.TrueNotRun, append(open, at(1, begin(1, "r"))),
			recs{at(2, call("r", "", 0, history.Unknown, ""))}, recs{at(2, call("r", "", 0, history.NotRun, ""))}},
		{"ran later", checker.TrueNotRun, append(open, at(1, call("r", "", 0, history.NotRun, ""))),
			recs{at(9, call("r", "", 2, history.Unknown, "")), at(3, begin(1, "r"))}, recs{at(3, begin(1, "r"))}},
		{"job ran after all", checker.TrueNotRun, append(keyed, at(1, start("v", 1, half))),
			recs{at(2, submit("k", 0, history.Unknown))}, recs{at(2, submit("k", 0, history.NotRun))}},

		{"not idempotent", checker.AtMostOnce, append(once, begin(1, "r"), end(1, "r", "x")),
			recs{begin(2, "s")}, recs{begin(2, "r")}},
		{"idempotent", checker.AtMostOnce, nil,
			append(open, begin(1, "r"), begin(2, "r")), append(once, begin(1, "r"), begin(2, "r"))},

		{"request on a leaving VM", checker.Leaving, recs{vm("v"), at(1, onVM(history.VMLeaving))},
			recs{at(5.9, begin(1, "r"))}, recs{at(6.1, begin(1, "r"))}},
		{"task on a leaving VM", checker.Leaving, recs{vm("v"), at(1, onVM(history.VMLeaving))},
			recs{at(6, onVM(history.VMLive)), at(7, start("v", 1, half))}, recs{at(7, start("v", 1, half))}},

		{"broken in a stop", checker.PlannedStop, append(open, at(1, node(history.NodeStopping, "n")), at(3, node(history.NodeStopped, "n"))),
			recs{at(2, call("r", "", 0, history.NotRun, ""))}, recs{at(2, call("r", "", 0, history.Broken, ""))}},
		{"before a stop", checker.PlannedStop, append(open, at(5, node(history.NodeStopping, "n"))),
			recs{at(4, call("r", "", 0, history.Unknown, ""))}, recs{at(6, call("r", "", 0, history.Unknown, ""))}},
		{"fault in a stop", checker.PlannedStop, append(open, at(1, node(history.NodeStopping, "n")), at(3, node(history.NodeStopped, "n"))),
			recs{at(1, fault), at(2, call("r", "", 0, history.Broken, ""))}, recs{at(2, call("r", "", 0, history.Broken, "")), at(2.1, fault)}},
		{"kill of another node", checker.PlannedStop, append(open, at(1, node(history.NodeStopping, "n")), at(3, node(history.NodeStopped, "n"))),
			recs{at(1, node(history.NodeKilled, "m")), at(2, call("r", "", 0, history.Unknown, ""))},
			recs{at(2, call("r", "", 0, history.Unknown, "")), at(9, node(history.NodeKilled, "m"))}},

		{"late", checker.Configuration, recs{at(1, accepted(2))},
			recs{at(4.9, inForce("n", 1, true)), at(6, inForce("n", 2, true))}, recs{at(5.1, inForce("n", 1, true))}},
		{"late, not serving", checker.Configuration, recs{at(1, accepted(2))},
			recs{at(6, inForce("n", 1, false))}, recs{at(6, inForce("n", 1, true))}},
		{"reverts", checker.Configuration, recs{at(1, accepted(2)), at(2, inForce("n", 2, true))},
			recs{at(3, inForce("m", 1, true))}, recs{at(3, inForce("n", 1, true))}},
		{"accepted twice", checker.Configuration, recs{accepted(2)},
			recs{accepted(3)}, recs{accepted(2)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, v := range checker.Check(numbered(tt.given, tt.kept), checker.DefaultOptions()) {
				t.Errorf("kept: %v", v)
			}
			broken := checker.Check(numbered(tt.given, tt.broken), checker.DefaultOptions())
			if len(broken) == 0 {
				t.Error("broken: no violation found")
			}
			for _, v := range broken {
				if v.Guarantee != tt.guarantee {
					t.Errorf("broken: found %v, want guarantee %d", v, tt.guarantee)
				}
			}
		})
	}
}

func numbered(parts ...recs) recs {
	var all recs
	for _, p := range parts {
		for _, rec := range p {
			rec.Seq = int64(len(all) + 1)
			all = append(all, rec)
		}
	}
	return all
}
