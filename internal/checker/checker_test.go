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

func vmCapacity(name string) history.Record {
	return history.Record{Kind: history.VMCapacity, VM: name, Connections: 2,
		Resources: api.Resources{CpuMillis: 1000, MemoryMb: 100, Accelerators: 1, Slots: 2}}
}

func taskStart(vm string, attempt int, size api.Resources) history.Record {
	return history.Record{Kind: history.TaskStart, VM: vm, Team: "t", Task: "t/j/0", Attempt: attempt, Resources: size}
}

func taskStartOf(task, vm string, size api.Resources) history.Record {
	rec := taskStart(vm, 1, size)
	rec.Task = task
	return rec
}

func taskStop(vm string, attempt int) history.Record {
	return history.Record{Kind: history.TaskStop, VM: vm, Team: "t", Task: "t/j/0", Attempt: attempt}
}

func requestStart(run int64, id string) history.Record {
	return history.Record{Kind: history.RequestStart, VM: "v", Run: run, Team: "t", Queue: "t.q", RequestID: id, BodyDigest: "b"}
}

func requestEnd(run int64, id, answer string) history.Record {
	return history.Record{Kind: history.RequestEnd, VM: "v", Run: run, Team: "t", Queue: "t.q", RequestID: id, AnswerDigest: answer}
}

func requestCall(id, key string, started float64, outcome history.Outcome, answer string) history.Record {
	return history.Record{Kind: history.Call, Node: "n", Team: "t", Queue: "t.q", RequestID: id, Key: key,
		Started: seconds(started), Outcome: outcome, BodyDigest: "b", AnswerDigest: answer}
}

func jobCall(key string, started float64, outcome history.Outcome) history.Record {
	return history.Record{Kind: history.Call, Node: "n", Team: "t", Queue: "t.jobs", Job: "j", Key: key, Started: seconds(started), Outcome: outcome}
}

func queueDefined(name string, open, idempotent bool) history.Record {
	return history.Record{Kind: history.QueueDefined, Queue: name, Team: "t", Open: open, Idempotent: idempotent}
}

func keyGranted(key, team string) history.Record {
	return history.Record{Kind: history.KeyGranted, Key: key, Team: team}
}

func teamLimit(slots, cpu int) history.Record {
	return history.Record{Kind: history.TeamLimit, Team: "t", Resources: api.Resources{Slots: slots, CpuMillis: cpu}}
}

func nodeRecord(kind history.Kind, name string) history.Record {
	return history.Record{Kind: kind, Node: name}
}

func vmRecord(kind history.Kind) history.Record { return history.Record{Kind: kind, VM: "v"} }

func configAccepted(version int) history.Record {
	return history.Record{Kind: history.ConfigAccepted, Version: version}
}

func configInForce(name string, version int, serving bool) history.Record {
	return history.Record{Kind: history.ConfigInForce, Node: name, Version: version, Serving: serving}
}

var (
	cpu500         = api.Resources{CpuMillis: 500}
	cpu600         = api.Resources{CpuMillis: 600}
	oneAccelerator = api.Resources{Accelerators: 1}
)

type records = []history.Record

// Guards against a checker that misses a violated guarantee or reports a kept one.
// Each case has a valid and a violating history, which differ only in the records
// that decide about the guarantee.
func TestRules(t *testing.T) {
	keyRecords := records{queueDefined("t.q", false, true), queueDefined("t.jobs", false, true), keyGranted("k", "t"), keyGranted("k2", "other"), vmCapacity("v")}
	nonIdempotent := records{queueDefined("t.q", true, false), vmCapacity("v")}
	openQueue := records{queueDefined("t.q", true, true), vmCapacity("v")}
	withdrawn := history.Record{Kind: history.KeyWithdrawn, Key: "k"}
	fault := history.Record{Kind: history.FaultBegin, Reason: "x"}
	tests := []struct {
		name      string
		guarantee checker.Guarantee
		setup     records
		valid     records
		violating records
	}{
		{"processor time", checker.Capacity, records{vmCapacity("v"), taskStartOf("t/a/0", "v", cpu500)},
			records{taskStartOf("t/b/0", "v", cpu500)}, records{taskStartOf("t/b/0", "v", cpu600)}},
		{"accelerators", checker.Capacity, records{vmCapacity("v"), vmCapacity("w"), taskStartOf("t/a/0", "v", oneAccelerator)},
			records{taskStartOf("t/b/0", "w", oneAccelerator)}, records{taskStartOf("t/b/0", "v", oneAccelerator)}},
		{"capacity after a stop", checker.Capacity, records{vmCapacity("v"), taskStart("v", 1, cpu600)},
			records{taskStop("v", 1), taskStartOf("t/b/0", "v", cpu600)}, records{taskStartOf("t/b/0", "v", cpu600), taskStop("v", 1)}},
		{"slots", checker.Capacity, records{vmCapacity("v"), requestStart(1, "a"), requestStart(2, "b")},
			records{requestEnd(1, "a", ""), requestStart(3, "c")}, records{requestStart(3, "c")}},
		{"connections", checker.Capacity, records{vmCapacity("v"), vmRecord(history.ConnOpen), vmRecord(history.ConnOpen)},
			records{vmRecord(history.ConnClose), vmRecord(history.ConnOpen)}, records{vmRecord(history.ConnOpen)}},
		{"unknown VM", checker.Capacity, nil, records{vmCapacity("v"), taskStart("v", 1, cpu500)}, records{taskStart("v", 1, cpu500)}},

		{"two VMs", checker.SinglePlacement, records{vmCapacity("v"), vmCapacity("w"), taskStart("v", 1, cpu500)},
			records{taskStop("v", 1), taskStart("w", 2, cpu500)}, records{taskStart("w", 2, cpu500), taskStop("v", 1)}},
		{"two attempts on a VM", checker.SinglePlacement, records{vmCapacity("v"), taskStart("v", 1, cpu500)},
			records{taskStop("v", 1), taskStart("v", 2, cpu500)}, records{taskStart("v", 2, cpu500)}},
		{"VM gone", checker.SinglePlacement, records{vmCapacity("v"), vmCapacity("w"), taskStart("v", 1, cpu500)},
			records{vmRecord(history.VMGone), taskStart("w", 2, cpu500)}, records{taskStart("w", 2, cpu500), vmRecord(history.VMGone)}},

		{"no key", checker.Authorization, keyRecords, records{at(1, requestCall("r", "", 1, history.NotRun, ""))},
			records{requestStart(1, "r"), requestEnd(1, "r", "x"), at(1, requestCall("r", "", 0, history.Answered, "x"))}},
		{"another team's key", checker.Authorization, keyRecords, records{requestStart(1, "r"), at(1, requestCall("r", "k", 0, history.Unknown, ""))},
			records{requestStart(1, "r"), at(1, requestCall("r", "k2", 0, history.Unknown, ""))}},
		{"withdrawn key", checker.Authorization, append(keyRecords, withdrawn),
			records{at(4.9, requestStart(1, "r")), at(5, requestEnd(1, "r", "x")), at(6, requestCall("r", "k", 4.8, history.Answered, "x"))},
			records{at(5.3, requestStart(1, "r")), at(5.4, requestEnd(1, "r", "x")), at(6, requestCall("r", "k", 5.2, history.Answered, "x"))}},
		{"open queue", checker.Authorization, nil,
			records{queueDefined("t.q", true, true), vmCapacity("v"), requestStart(1, "r"), requestEnd(1, "r", "x"), requestCall("r", "", 0, history.Answered, "x")},
			records{queueDefined("t.q", false, true), vmCapacity("v"), requestStart(1, "r"), requestEnd(1, "r", "x"), requestCall("r", "", 0, history.Answered, "x")}},
		{"queue closed", checker.Authorization, records{queueDefined("t.q", true, true), vmCapacity("v"), at(10, queueDefined("t.q", false, true))},
			records{at(13, requestStart(1, "r")), at(13, requestCall("r", "", 13, history.Unknown, ""))},
			records{at(15, requestStart(1, "r")), at(15, requestCall("r", "", 15, history.Unknown, ""))}},
		{"run without a call", checker.Authorization, append(keyRecords, requestCall("other", "k", 0, history.Unknown, "")),
			records{requestStart(1, "other")}, records{requestStart(1, "r")}},
		{"job", checker.Authorization, keyRecords, records{at(1, jobCall("k", 0, history.Accepted)), at(2, taskStart("v", 1, cpu500))},
			records{at(1, jobCall("k2", 0, history.Accepted)), at(2, taskStart("v", 1, cpu500))}},

		{"slots of a team", checker.TeamLimits, records{vmCapacity("v"), teamLimit(1, 0), requestStart(1, "a")},
			records{requestEnd(1, "a", ""), requestStart(2, "b")}, records{requestStart(2, "b")}},
		{"two VMs of a team", checker.TeamLimits, records{vmCapacity("v"), vmCapacity("w"), teamLimit(0, 1000), taskStartOf("t/a/0", "v", cpu500)},
			records{taskStartOf("t/b/0", "w", cpu500)}, records{taskStartOf("t/b/0", "w", cpu600)}},
		{"limit lowered", checker.TeamLimits, records{vmCapacity("v"), teamLimit(0, 600), taskStart("v", 1, cpu600), at(1, teamLimit(0, 500))},
			records{at(30.9, taskStop("v", 1))}, records{at(31.1, taskStop("v", 1))}},
		{"limit lowered, still running", checker.TeamLimits, records{vmCapacity("v"), teamLimit(0, 600), taskStart("v", 1, cpu600), at(1, teamLimit(0, 500))},
			records{at(30.9, vmCapacity("w"))}, records{at(31.1, vmCapacity("w"))}},
		{"limit raised", checker.TeamLimits, records{vmCapacity("v"), teamLimit(0, 500)},
			records{at(4.5, taskStart("v", 1, cpu600)), at(10, teamLimit(0, 600))}, records{at(3.5, taskStart("v", 1, cpu600)), at(10, teamLimit(0, 600))}},

		{"other answer", checker.OwnAnswer, append(openQueue, requestStart(1, "r"), requestEnd(1, "r", "x"), requestStart(2, "s"), requestEnd(2, "s", "y"), requestCall("s", "", 0, history.Answered, "y")),
			records{requestCall("r", "", 0, history.Answered, "x")}, records{requestCall("r", "", 0, history.Answered, "y")}},
		{"answer of another body", checker.OwnAnswer, append(openQueue, requestStart(1, "r"), requestEnd(1, "r", "x")),
			records{requestCall("r", "", 0, history.Answered, "x")},
			records{{Kind: history.Call, Team: "t", Queue: "t.q", RequestID: "r", BodyDigest: "c", Outcome: history.Answered, AnswerDigest: "x"}}},
		{"answer without an execution", checker.OwnAnswer, openQueue, records{requestCall("r", "", 0, history.Unknown, "")},
			records{requestCall("r", "", 0, history.Answered, "x")}},

		{"ran after all", checker.TrueNotRun, append(openQueue, at(1, requestStart(1, "r"))),
			records{at(2, requestCall("r", "", 0, history.Unknown, ""))}, records{at(2, requestCall("r", "", 0, history.NotRun, ""))}},
		{"ran later", checker.TrueNotRun, append(openQueue, at(1, requestCall("r", "", 0, history.NotRun, ""))),
			records{at(9, requestCall("r", "", 2, history.Unknown, "")), at(3, requestStart(1, "r"))}, records{at(3, requestStart(1, "r"))}},
		{"job ran after all", checker.TrueNotRun, append(keyRecords, at(1, taskStart("v", 1, cpu500))),
			records{at(2, jobCall("k", 0, history.Unknown))}, records{at(2, jobCall("k", 0, history.NotRun))}},

		{"not idempotent", checker.AtMostOnce, append(nonIdempotent, requestStart(1, "r"), requestEnd(1, "r", "x")),
			records{requestStart(2, "s")}, records{requestStart(2, "r")}},
		{"idempotent", checker.AtMostOnce, nil,
			append(openQueue, requestStart(1, "r"), requestStart(2, "r")), append(nonIdempotent, requestStart(1, "r"), requestStart(2, "r"))},

		{"request on a leaving VM", checker.LeavingVM, records{vmCapacity("v"), at(1, vmRecord(history.VMLeaving))},
			records{at(5.9, requestStart(1, "r"))}, records{at(6.1, requestStart(1, "r"))}},
		{"task on a leaving VM", checker.LeavingVM, records{vmCapacity("v"), at(1, vmRecord(history.VMLeaving))},
			records{at(6, vmRecord(history.VMLive)), at(7, taskStart("v", 1, cpu500))}, records{at(7, taskStart("v", 1, cpu500))}},

		{"broken in a stop", checker.PlannedStop, append(openQueue, at(1, nodeRecord(history.NodeStopping, "n")), at(3, nodeRecord(history.NodeStopped, "n"))),
			records{at(2, requestCall("r", "", 0, history.NotRun, ""))}, records{at(2, requestCall("r", "", 0, history.Broken, ""))}},
		{"before a stop", checker.PlannedStop, append(openQueue, at(5, nodeRecord(history.NodeStopping, "n"))),
			records{at(4, requestCall("r", "", 0, history.Unknown, ""))}, records{at(6, requestCall("r", "", 0, history.Unknown, ""))}},
		{"fault in a stop", checker.PlannedStop, append(openQueue, at(1, nodeRecord(history.NodeStopping, "n")), at(3, nodeRecord(history.NodeStopped, "n"))),
			records{at(1, fault), at(2, requestCall("r", "", 0, history.Broken, ""))}, records{at(2, requestCall("r", "", 0, history.Broken, "")), at(2.1, fault)}},
		{"kill of another node", checker.PlannedStop, append(openQueue, at(1, nodeRecord(history.NodeStopping, "n")), at(3, nodeRecord(history.NodeStopped, "n"))),
			records{at(1, nodeRecord(history.NodeKilled, "m")), at(2, requestCall("r", "", 0, history.Unknown, ""))},
			records{at(2, requestCall("r", "", 0, history.Unknown, "")), at(9, nodeRecord(history.NodeKilled, "m"))}},

		{"late", checker.Configuration, records{at(1, configAccepted(2))},
			records{at(4.9, configInForce("n", 1, true)), at(6, configInForce("n", 2, true))}, records{at(5.1, configInForce("n", 1, true))}},
		{"late, not serving", checker.Configuration, records{at(1, configAccepted(2))},
			records{at(6, configInForce("n", 1, false))}, records{at(6, configInForce("n", 1, true))}},
		{"reverts", checker.Configuration, records{at(1, configAccepted(2)), at(2, configInForce("n", 2, true))},
			records{at(3, configInForce("m", 1, true))}, records{at(3, configInForce("n", 1, true))}},
		{"accepted twice", checker.Configuration, records{configAccepted(2)},
			records{configAccepted(3)}, records{configAccepted(2)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, v := range checker.Check(numbered(tt.setup, tt.valid), checker.DefaultOptions()) {
				t.Errorf("valid history: %v", v)
			}
			found := checker.Check(numbered(tt.setup, tt.violating), checker.DefaultOptions())
			if len(found) == 0 {
				t.Error("violating history: no violation found")
			}
			for _, v := range found {
				if v.Guarantee != tt.guarantee {
					t.Errorf("violating history: found %v, want guarantee %d", v, tt.guarantee)
				}
			}
		})
	}
}

func numbered(parts ...records) records {
	var all records
	for _, p := range parts {
		for _, rec := range p {
			rec.Seq = int64(len(all) + 1)
			all = append(all, rec)
		}
	}
	return all
}
