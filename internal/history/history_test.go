package history_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// Guards against records that are lost, reordered or changed by encoding.
func TestRecorderKeepsOrderAndContent(t *testing.T) {
	r := history.NewRecorder()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Add(history.Record{Kind: history.TaskStart, VM: "v", Resources: api.Resources{CpuMillis: 5}})
			}
		})
	}
	wg.Wait()
	r.RecordConfiguration(3, &api.Configuration{
		Queues: []api.Queue{{Name: "t.q", Team: "t", Open: true}},
		Teams:  []api.Team{{Name: "t", Limit: api.Resources{Slots: 2}}},
	})
	records := r.Records()
	if len(records) != 803 {
		t.Fatalf("%d records, want 803", len(records))
	}
	for i, rec := range records {
		if rec.Seq != int64(i+1) || i > 0 && rec.At < records[i-1].At {
			t.Fatalf("record %d has sequence %d and time %v", i, rec.Seq, rec.At)
		}
	}
	var b bytes.Buffer
	if err := history.Write(&b, records); err != nil {
		t.Fatal(err)
	}
	got, err := history.Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(records, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a truncated history that is read as complete.
func TestReadRejectsDamage(t *testing.T) {
	var b bytes.Buffer
	r := history.NewStreamRecorder(&b)
	r.Add(history.Record{Kind: history.VMLeaving, VM: "v"})
	r.Add(history.Record{Kind: history.VMGone, VM: "v"})
	if r.Err() != nil {
		t.Fatal(r.Err())
	}
	if _, err := history.Read(bytes.NewReader(b.Bytes()[:b.Len()-5])); err == nil {
		t.Error("a truncated history was read without an error")
	}
}
