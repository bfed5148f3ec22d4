package config

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
)

// Diff returns the differences from a to b, sorted by path, each with what
// follows for running work.
func Diff(a, b api.Configuration) []api.Change {
	d := &differ{changes: []api.Change{}}
	d.text("cell", a.Cell, b.Cell, "the document is for another cell")
	diffList(a.Pools, b.Pools, func(p api.Pool) string { return p.Name }, d.pool)
	diffList(a.Teams, b.Teams, func(t api.Team) string { return t.Name }, d.team)
	diffList(a.Queues, b.Queues, func(q api.Queue) string { return q.Name }, d.queue)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes
}

// diffList calls compare for each name of either list; a missing side is nil.
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

func (d *differ) text(path, before, after, effect string) {
	if before != after {
		d.changes = append(d.changes, api.Change{Path: path, Before: before, After: after, Effect: effect})
	}
}

// number records a change of a number; lowered is the effect of a smaller value.
func (d *differ) number(path string, before, after int, lowered string) {
	effect := ""
	if after < before {
		effect = lowered
	}
	d.text(path, strconv.Itoa(before), strconv.Itoa(after), effect)
}

func (d *differ) flag(path string, before, after bool, effect string) {
	d.text(path, strconv.FormatBool(before), strconv.FormatBool(after), effect)
}

func (d *differ) resources(path string, before, after api.Resources, lowered string) {
	d.number(path+"/cpu_millis", before.CpuMillis, after.CpuMillis, lowered)
	d.number(path+"/memory_mb", before.MemoryMb, after.MemoryMb, lowered)
	d.number(path+"/accelerators", before.Accelerators, after.Accelerators, lowered)
	d.number(path+"/slots", before.Slots, after.Slots, lowered)
}

func (d *differ) team(name string, a, b *api.Team) {
	path := "teams/" + name
	switch {
	case a == nil:
		d.text(path, "", fmt.Sprintf("share %d, limit %s", b.Share, resourcesText(b.Limit)), "")
	case b == nil:
		d.text(path, fmt.Sprintf("share %d, limit %s", a.Share, resourcesText(a.Limit)), "",
			"its keys are rejected and its running work is preempted")
	default:
		d.text(path+"/share", strconv.Itoa(a.Share), strconv.Itoa(b.Share), "")
		d.resources(path+"/limit", a.Limit, b.Limit, "work above the new limit is preempted")
	}
}

func (d *differ) queue(name string, a, b *api.Queue) {
	path := "queues/" + name
	switch {
	case a == nil:
		d.text(path, "", queueText(*b), openEffect(b.Open))
	case b == nil:
		d.text(path, queueText(*a), "", removedQueueEffect(a.Class))
	default:
		d.text(path+"/team", a.Team, b.Team, "queued work counts for the new team")
		d.text(path+"/pool", a.Pool, b.Pool, "new work goes to the new pool; accepted work stays where it is")
		d.text(path+"/class", string(a.Class), string(b.Class), "new work is of the new class; accepted work keeps its class")
		d.text(path+"/urgency", string(a.Urgency), string(b.Urgency), "")
		d.flag(path+"/open", a.Open, b.Open, closedEffect(b.Open))
		d.flag(path+"/idempotent", a.Idempotent, b.Idempotent, idempotentEffect(b.Idempotent))
		d.number(path+"/deadline_ms", a.DeadlineMs, b.DeadlineMs, "requests that wait longer than the new deadline are rejected")
	}
}

func removedQueueEffect(c api.Class) string {
	if c == api.ClassRequest {
		return "new requests are rejected with not_found; accepted ones are finished"
	}
	return "new jobs are rejected with not_found; accepted ones are finished"
}

func openEffect(open bool) string {
	if open {
		return "takes work without a key"
	}
	return ""
}

func closedEffect(open bool) string {
	if open {
		return openEffect(true)
	}
	return "work without a key is rejected"
}

func idempotentEffect(idempotent bool) string {
	if idempotent {
		return "requests are no longer recorded and may run more than once"
	}
	return "requests are recorded, need a UUID version 7 as ID and are rejected while the store is down"
}

func (d *differ) pool(name string, a, b *api.Pool) {
	path := "pools/" + name
	switch {
	case a == nil:
		d.text(path, "", poolText(*b), "")
	case b == nil:
		d.text(path, poolText(*a), "", "its partitions are released and take no work")
	default:
		d.text(path+"/region", a.Region, b.Region, "")
		d.resources(path+"/vm_capacity", a.VmCapacity, b.VmCapacity, "work that no VM can hold becomes never_runnable")
		d.number(path+"/connections", a.Connections, b.Connections, "")
		d.number(path+"/vm_count", a.VmCount, b.VmCount, "gangs that no longer fit become never_runnable")
		d.text(path+"/executor_partitions", strconv.Itoa(a.ExecutorPartitions), strconv.Itoa(b.ExecutorPartitions),
			"executors change partition; a non-idempotent request that is repeated may go to another partition")
		diffList(a.Racks, b.Racks, func(r api.Rack) string { return r.Name }, func(rack string, x, y *api.Rack) {
			d.rack(path+"/racks/"+rack, x, y)
		})
	}
}

func (d *differ) rack(path string, a, b *api.Rack) {
	switch {
	case a == nil:
		d.text(path, "", rackText(*b), "")
	case b == nil:
		d.text(path, rackText(*a), "", "its VMs are used while the VM list has them; executors are assigned by hash")
	default:
		d.text(path+"/failure_domain", a.FailureDomain, b.FailureDomain, "")
		d.number(path+"/vms", a.Vms, b.Vms, "")
		d.text(path+"/executor_partition", strconv.Itoa(a.ExecutorPartition), strconv.Itoa(b.ExecutorPartition),
			"its executors finish what runs and change partition")
	}
}

func queueText(q api.Queue) string {
	flags := ""
	if q.Open {
		flags += ", open"
	}
	if q.Idempotent {
		flags += ", idempotent"
	}
	return fmt.Sprintf("%s on %s, %s%s, deadline %d ms", q.Class, q.Pool, q.Urgency, flags, q.DeadlineMs)
}

func poolText(p api.Pool) string {
	return fmt.Sprintf("%d VMs in %d racks of region %s, each %s", p.VmCount, len(p.Racks), p.Region, resourcesText(p.VmCapacity))
}

func rackText(r api.Rack) string {
	return fmt.Sprintf("%d VMs in %s, executor partition %d", r.Vms, r.FailureDomain, r.ExecutorPartition)
}

func resourcesText(r api.Resources) string {
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
