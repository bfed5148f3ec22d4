package config

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
)

// Diff returns the changes from a to b, sorted by path, each with its effect on
// running work.
func Diff(a, b api.Configuration) []api.Change {
	d := &differ{changes: []api.Change{}}
	d.compareText("cell", a.Cell, b.Cell, "the document is for another cell")
	diffList(a.Pools, b.Pools, func(p api.Pool) string { return p.Name }, d.comparePool)
	diffList(a.Teams, b.Teams, func(t api.Team) string { return t.Name }, d.compareTeam)
	diffList(a.Queues, b.Queues, func(q api.Queue) string { return q.Name }, d.compareQueue)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes
}

// diffList calls compare for each name in a or b. An item that one list lacks is
// passed as nil.
func diffList[T any](a, b []T, name func(T) string, compare func(name string, a, b *T)) {
	before := byName(a, name)
	after := byName(b, name)
	for n := range before {
		compare(n, before[n], after[n])
	}
	for n := range after {
		if before[n] == nil {
			compare(n, nil, after[n])
		}
	}
}

func byName[T any](items []T, name func(T) string) map[string]*T {
	out := make(map[string]*T, len(items))
	for i := range items {
		out[name(items[i])] = &items[i]
	}
	return out
}

type differ struct{ changes []api.Change }

func (d *differ) compareText(path, before, after, effect string) {
	if before != after {
		d.changes = append(d.changes, api.Change{Path: path, Before: before, After: after, Effect: effect})
	}
}

// compareNumber records a change of a number; lowered is the effect of a decrease.
func (d *differ) compareNumber(path string, before, after int, lowered string) {
	effect := ""
	if after < before {
		effect = lowered
	}
	d.compareText(path, strconv.Itoa(before), strconv.Itoa(after), effect)
}

func (d *differ) compareFlag(path string, before, after bool, effect string) {
	d.compareText(path, strconv.FormatBool(before), strconv.FormatBool(after), effect)
}

func (d *differ) compareResources(path string, before, after api.Resources, lowered string) {
	d.compareNumber(path+"/cpu_millis", before.CpuMillis, after.CpuMillis, lowered)
	d.compareNumber(path+"/memory_mb", before.MemoryMb, after.MemoryMb, lowered)
	d.compareNumber(path+"/accelerators", before.Accelerators, after.Accelerators, lowered)
	d.compareNumber(path+"/slots", before.Slots, after.Slots, lowered)
}

func (d *differ) compareTeam(name string, a, b *api.Team) {
	path := "teams/" + name
	switch {
	case a == nil:
		d.compareText(path, "", fmt.Sprintf("share %d, limit %s", b.Share, describeResources(b.Limit)), "")
	case b == nil:
		d.compareText(path, fmt.Sprintf("share %d, limit %s", a.Share, describeResources(a.Limit)), "",
			"its keys are rejected and its running work is preempted")
	default:
		d.compareText(path+"/share", strconv.Itoa(a.Share), strconv.Itoa(b.Share), "")
		d.compareResources(path+"/limit", a.Limit, b.Limit, "work above the new limit is preempted")
	}
}

func (d *differ) compareQueue(name string, a, b *api.Queue) {
	path := "queues/" + name
	switch {
	case a == nil:
		d.compareText(path, "", describeQueue(*b), openQueueEffect(b.Open))
	case b == nil:
		d.compareText(path, describeQueue(*a), "", removedQueueEffect(a.Class))
	default:
		d.compareText(path+"/team", a.Team, b.Team, "queued work counts toward the new team")
		d.compareText(path+"/pool", a.Pool, b.Pool, "new work goes to the new pool; accepted work stays where it is")
		d.compareText(path+"/class", string(a.Class), string(b.Class), "new work gets the new class; accepted work keeps its class")
		d.compareText(path+"/urgency", string(a.Urgency), string(b.Urgency), "")
		d.compareFlag(path+"/open", a.Open, b.Open, openFlagEffect(b.Open))
		d.compareFlag(path+"/idempotent", a.Idempotent, b.Idempotent, idempotentFlagEffect(b.Idempotent))
		d.compareNumber(path+"/deadline_ms", a.DeadlineMs, b.DeadlineMs, "requests that wait longer than the new deadline are rejected")
	}
}

func removedQueueEffect(c api.Class) string {
	if c == api.ClassRequest {
		return "new requests are rejected with not_found; accepted ones are finished"
	}
	return "new jobs are rejected with not_found; accepted ones are finished"
}

func openQueueEffect(open bool) string {
	if open {
		return "work without a key is accepted"
	}
	return ""
}

func openFlagEffect(open bool) string {
	if open {
		return openQueueEffect(true)
	}
	return "work without a key is rejected"
}

func idempotentFlagEffect(idempotent bool) string {
	if idempotent {
		return "requests are no longer recorded and may run more than once"
	}
	return "requests are recorded, need a UUID version 7 as ID and are rejected while the table service is unavailable"
}

func (d *differ) comparePool(name string, a, b *api.Pool) {
	path := "pools/" + name
	switch {
	case a == nil:
		d.compareText(path, "", describePool(*b), "")
	case b == nil:
		d.compareText(path, describePool(*a), "", "its partitions are released and accept no work")
	default:
		d.compareText(path+"/region", a.Region, b.Region, "")
		d.compareResources(path+"/vm_capacity", a.VmCapacity, b.VmCapacity, "work that no VM can hold becomes never_runnable")
		d.compareNumber(path+"/connections", a.Connections, b.Connections, "")
		d.compareNumber(path+"/vm_count", a.VmCount, b.VmCount, "gangs that no longer fit become never_runnable")
		d.compareText(path+"/executor_partitions", strconv.Itoa(a.ExecutorPartitions), strconv.Itoa(b.ExecutorPartitions),
			"executors move to other partitions; a repeated non-idempotent request may go to another partition")
		diffList(a.Racks, b.Racks, func(r api.Rack) string { return r.Name }, func(rack string, x, y *api.Rack) {
			d.compareRack(path+"/racks/"+rack, x, y)
		})
	}
}

func (d *differ) compareRack(path string, a, b *api.Rack) {
	switch {
	case a == nil:
		d.compareText(path, "", describeRack(*b), "")
	case b == nil:
		d.compareText(path, describeRack(*a), "", "its VMs are used while the VM list contains them; their partition is chosen by hash")
	default:
		d.compareText(path+"/failure_domain", a.FailureDomain, b.FailureDomain, "")
		d.compareNumber(path+"/vms", a.Vms, b.Vms, "")
		d.compareText(path+"/executor_partition", strconv.Itoa(a.ExecutorPartition), strconv.Itoa(b.ExecutorPartition),
			"its executors finish their running requests and move to the new partition")
	}
}

func describeQueue(q api.Queue) string {
	flags := ""
	if q.Open {
		flags += ", open"
	}
	if q.Idempotent {
		flags += ", idempotent"
	}
	return fmt.Sprintf("%s on %s, %s%s, deadline %d ms", q.Class, q.Pool, q.Urgency, flags, q.DeadlineMs)
}

func describePool(p api.Pool) string {
	return fmt.Sprintf("%d VMs in %d racks of region %s, each %s", p.VmCount, len(p.Racks), p.Region, describeResources(p.VmCapacity))
}

func describeRack(r api.Rack) string {
	return fmt.Sprintf("%d VMs in %s, executor partition %d", r.Vms, r.FailureDomain, r.ExecutorPartition)
}

func describeResources(r api.Resources) string {
	parts := []string{}
	add := func(value int, unit string) {
		if value > 0 {
			parts = append(parts, strconv.Itoa(value)+" "+unit)
		}
	}
	add(r.CpuMillis, "cpu_millis")
	add(r.MemoryMb, "memory_mb")
	add(r.Accelerators, "accelerators")
	add(r.Slots, "slots")
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
