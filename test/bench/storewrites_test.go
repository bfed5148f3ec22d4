package bench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/measure"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	placementRate     = 2000                   // placements a second, the target rate
	nonIdempotentRate = 500                    // non-idempotent requests a second
	storeDelay        = 3 * time.Millisecond   // a round trip between failure domains, 1.5 ms one way
	storeWriteLimit   = 400                    // writes a second, the limit that the platform guarantees
	writeTimeout      = 2 * time.Second        // of one operation
	requestRunTime    = 10 * time.Millisecond  // of a request, between its two writes
	ownershipKey      = "partition/plain-work" // key of the row that every write of an owner checks
)

// BenchmarkStoreWrites measures the number of table service writes for placements and
// non-idempotent requests, and the delay until they are stored, with single writes and
// with batches of growing size.
func BenchmarkStoreWrites(b *testing.B) {
	for _, kind := range []struct {
		name string
		rate float64
		do   func(s *testStore, ctx context.Context, n int) error
	}{
		{"placement", placementRate, (*testStore).storePlacement},
		{"once", nonIdempotentRate, (*testStore).storeRequest},
	} {
		b.Run(kind.name+"/single", func(b *testing.B) {
			s := newTestStore(b)
			s.batchers = []platform.Batcher{platform.NewStampedTable(s.client)}
			s.measure(b, kind.rate, kind.do)
		})
		for _, batch := range []struct {
			nodes, ops int
			spacing    time.Duration // in milliseconds; 0 for the default of this number of nodes
		}{
			{1, 1, 7}, {1, 4, 7}, {1, 16, 7}, {1, 64, 7}, {1, 256, 7}, {1, 64, 5}, {1, 64, 10}, {1, 256, 20},
			{3, 64, 0}, {6, 64, 7}, {6, 64, 0}, {12, 64, 7}, {12, 64, 0},
		} {
			spacing := batch.spacing * time.Millisecond
			if spacing == 0 {
				spacing = platform.BatchSpacing(batch.nodes)
			}
			b.Run(fmt.Sprintf("%s/nodes=%d/batch=%d/spacing=%s", kind.name, batch.nodes, batch.ops, spacing.Round(time.Millisecond)), func(b *testing.B) {
				s := newTestStore(b)
				for range batch.nodes {
					group := platform.NewGroupCommit(s.client, platform.GroupOptions{MaxOps: batch.ops, Spacing: func() time.Duration { return spacing }})
					b.Cleanup(func() { group.Close(b.Context()) })
					s.batchers = append(s.batchers, group)
				}
				s.measure(b, kind.rate, kind.do)
			})
		}
	}
}

// testStore is a table service with the limits that the platform guarantees.
type testStore struct {
	table        *standin.Table
	client       *platform.TableClient
	batchers     []platform.Batcher // one per node
	ownerVersion int64              // version of the row with key ownershipKey
}

func newTestStore(b *testing.B) *testStore {
	b.Helper()
	s := &testStore{table: standin.NewTable()}
	server := httptest.NewServer(http.Handler(s.table))
	b.Cleanup(server.Close)
	s.client = platform.NewTableClient(platform.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	b.Cleanup(s.client.Close)
	var err error
	if s.ownerVersion, err = s.table.Commit(b.Context(), nil, []platform.Write{{Key: ownershipKey, Value: platform.EncodeStamped("", nil)}}); err != nil {
		b.Fatal(err)
	}
	s.table.SetFaults(standin.Faults{Delay: storeDelay, WritesPerSecond: storeWriteLimit})
	return s
}

func (s *testStore) measure(b *testing.B, rate float64, do func(*testStore, context.Context, int) error) {
	for i := range b.N {
		before, began := s.table.Counts().Commits, time.Now()
		o := sendLoadWithMaxLatency(b, rate, *loadDuration, writeTimeout, func(ctx context.Context, n int) error {
			ctx, cancel := context.WithTimeout(ctx, writeTimeout)
			defer cancel()
			return do(s, ctx, i<<32+n)
		})
		writes := float64(s.table.Counts().Commits - before)
		b.ReportMetric(float64(o.Succeeded)/time.Since(began).Seconds(), "stored/s")
		b.ReportMetric(writes/time.Since(began).Seconds(), "writes/s")
		b.ReportMetric(writes/float64(max(o.Succeeded, 1)), "writes/op")
		b.ReportMetric(milliseconds(o.Quantile(50)), "p50-ms")
		b.ReportMetric(milliseconds(o.Quantile(99)), "p99-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// storePlacement stores one placement: a job row with the VM of its task.
func (s *testStore) storePlacement(ctx context.Context, n int) error {
	row := api.JobRow{
		Partition: "plain-work", State: api.JobStateRunning, SubmittedUnixMs: int(time.Now().UnixMilli()),
		Spec: api.JobSpec{
			Id: "build-" + strconv.Itoa(n), Team: measure.Team(0), Queue: measure.Queue(measure.Team(0), measure.BatchQueue),
			Class: api.ClassBatch, Urgency: api.UrgencyNormal, Tasks: 1, Payload: strings.Repeat("x", 100),
			Resources: api.Resources{CpuMillis: 1000, MemoryMb: 2048},
		},
		Tasks: []api.TaskRow{{State: api.TaskStateStarting, Vm: "plain-rack-000-1", Attempt: 1}},
	}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = s.write(ctx, n, "job/plain-work/"+row.Spec.Id, 0, value)
	return err
}

// storeRequest stores the intent and the outcome of a non-idempotent request.
func (s *testStore) storeRequest(ctx context.Context, n int) error {
	row := api.RequestRow{
		Team: measure.Team(0), RequestId: strconv.Itoa(n), Queue: measure.Queue(measure.Team(0), measure.NonIdempotentQueue),
		Partition: "plain-work", BodyHash: strings.Repeat("0", 64), State: api.RequestStateIntent, Stamp: platform.NewStamp(),
	}
	key := "request/" + row.Team + "/" + row.RequestId
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return err
	}
	version, err := s.write(ctx, n, key, 0, value)
	if err != nil {
		return err
	}
	time.Sleep(requestRunTime)
	row.State, row.Answer = api.RequestStateDone, make([]byte, 200)
	if value, err = row.MarshalMsg(nil); err != nil {
		return err
	}
	_, err = s.write(ctx, n, key, version, value)
	return err
}

func (s *testStore) write(ctx context.Context, n int, key string, version int64, value []byte) (int64, error) {
	checks := []platform.Check{{Key: ownershipKey, Version: s.ownerVersion}, {Key: key, Version: version}}
	return s.batchers[n%len(s.batchers)].Commit(ctx, checks, []platform.Write{{Key: key, Value: value}})
}
