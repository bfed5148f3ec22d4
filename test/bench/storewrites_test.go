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
	placementRate = 2000                   // a second, the target
	onceRate      = 500                    // non-idempotent requests a second
	storeDelay    = 3 * time.Millisecond   // a round trip between failure domains, 1.5 ms one way
	storeLimit    = 400                    // writes a second, as the platform promises
	writeTimeout  = 2 * time.Second        // for one operation
	runTime       = 10 * time.Millisecond  // of a request, between its two writes
	ownerRow      = "partition/plain-work" // checked by every write of an owner
)

// BenchmarkStoreWrites measures how many writes of the table service placements
// and non-idempotent requests cost, and the delay until they are stored, one by
// one and in batches of growing size.
func BenchmarkStoreWrites(b *testing.B) {
	for _, kind := range []struct {
		name string
		rate float64
		do   func(s *store, ctx context.Context, n int) error
	}{
		{"placement", placementRate, (*store).place},
		{"once", onceRate, (*store).runOnce},
	} {
		b.Run(kind.name+"/single", func(b *testing.B) {
			s := newStore(b)
			s.batches = []platform.Batcher{platform.NewStampedTable(s.client)}
			s.measure(b, kind.rate, kind.do)
		})
		for _, batch := range []struct {
			nodes, ops int
			spacing    time.Duration // in milliseconds; 0 for that of the nodes
		}{
			{1, 1, 7}, {1, 4, 7}, {1, 16, 7}, {1, 64, 7}, {1, 256, 7}, {1, 64, 5}, {1, 64, 10}, {1, 256, 20},
			{3, 64, 0}, {6, 64, 7}, {6, 64, 0}, {12, 64, 7}, {12, 64, 0},
		} {
			spacing := batch.spacing * time.Millisecond
			if spacing == 0 {
				spacing = platform.BatchSpacing(batch.nodes)
			}
			b.Run(fmt.Sprintf("%s/nodes=%d/batch=%d/spacing=%s", kind.name, batch.nodes, batch.ops, spacing.Round(time.Millisecond)), func(b *testing.B) {
				s := newStore(b)
				for range batch.nodes {
					group := platform.NewGroupCommit(s.client, platform.GroupOptions{MaxOps: batch.ops, Spacing: func() time.Duration { return spacing }})
					b.Cleanup(func() { group.Close(b.Context()) })
					s.batches = append(s.batches, group)
				}
				s.measure(b, kind.rate, kind.do)
			})
		}
	}
}

// store is a table service with the limits that the platform promises.
type store struct {
	table   *standin.Table
	client  *platform.TableClient
	batches []platform.Batcher // one for each node
	owner   int64              // version of the ownership row
}

func newStore(b *testing.B) *store {
	b.Helper()
	s := &store{table: standin.NewTable()}
	server := httptest.NewServer(http.Handler(s.table))
	b.Cleanup(server.Close)
	s.client = platform.NewTableClient(platform.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	b.Cleanup(s.client.Close)
	var err error
	if s.owner, err = s.table.Commit(b.Context(), nil, []platform.Write{{Key: ownerRow, Value: platform.Encode("", nil)}}); err != nil {
		b.Fatal(err)
	}
	s.table.SetFaults(standin.Faults{Delay: storeDelay, WritesPerSecond: storeLimit})
	return s
}

func (s *store) measure(b *testing.B, rate float64, do func(*store, context.Context, int) error) {
	for i := range b.N {
		before, began := s.table.Counts().Commits, time.Now()
		o := offerFor(b, rate, *pathTime, writeTimeout, func(ctx context.Context, n int) error {
			ctx, cancel := context.WithTimeout(ctx, writeTimeout)
			defer cancel()
			return do(s, ctx, i<<32+n)
		})
		writes := float64(s.table.Counts().Commits - before)
		b.ReportMetric(float64(o.Good)/time.Since(began).Seconds(), "stored/s")
		b.ReportMetric(writes/time.Since(began).Seconds(), "writes/s")
		b.ReportMetric(writes/float64(max(o.Good, 1)), "writes/op")
		b.ReportMetric(milliseconds(o.Quantile(50)), "p50-ms")
		b.ReportMetric(milliseconds(o.Quantile(99)), "p99-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// place stores one placement: a job row that names the VM of its task.
func (s *store) place(ctx context.Context, n int) error {
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

// runOnce stores the intent and the end of a non-idempotent request.
func (s *store) runOnce(ctx context.Context, n int) error {
	row := api.RequestRow{
		Team: measure.Team(0), RequestId: strconv.Itoa(n), Queue: measure.Queue(measure.Team(0), measure.OnceQueue),
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
	time.Sleep(runTime)
	row.State, row.Answer = api.RequestStateDone, make([]byte, 200)
	if value, err = row.MarshalMsg(nil); err != nil {
		return err
	}
	_, err = s.write(ctx, n, key, version, value)
	return err
}

func (s *store) write(ctx context.Context, n int, key string, version int64, value []byte) (int64, error) {
	checks := []platform.Check{{Key: ownerRow, Version: s.owner}, {Key: key, Version: version}}
	return s.batches[n%len(s.batches)].Commit(ctx, checks, []platform.Write{{Key: key, Value: value}})
}
