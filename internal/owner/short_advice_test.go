package owner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

const (
	shortQueue    = "short"
	shortWork     = "00000000000000ff"
	shortCallTime = 40 * time.Millisecond
)

// mixedAdviser answers the calls for shortWork sooner than the others, in the order in which they
// reach each node.
type mixedAdviser struct{ node *seriesNode }

func (a mixedAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	if !strings.HasPrefix(call.Step, shortWork) {
		return a.node.Advise(ctx, call)
	}
	select {
	case a.node.adviser <- struct{}{}:
		defer func() { <-a.node.adviser }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(shortCallTime)
	out := &api.AdviceAnswer{ValidMs: 2000}
	for _, worker := range call.Workers {
		out.Tickets = append(out.Tickets, api.WorkerTicket{Worker: worker, Ticket: "ticket"})
	}
	return out, nil
}

// Guards against a task with short calls for advice that waits beside one long-running task while
// owners release the cell, because the backup calls of earlier owners keep the nodes busy.
func TestShortTaskIsStartedBesideBackupCallsOfEarlierOwners(t *testing.T) {
	const (
		tenure = 600 * time.Millisecond
		owners = 16
	)
	synctest.Test(t, func(t *testing.T) {
		s := newTenureSeries(t)
		s.released = true
		s.started = make(chan string, 10000)
		s.config.Queues[shortQueue] = &work.Queue{
			Name: shortQueue, Pool: testPool, MaxAttempts: 3, TargetLatency: 250 * time.Millisecond,
			Advice: &work.Advice{CallDuration: shortCallTime, ValidFor: 2 * time.Second},
		}
		stored := testWork(shortWork)
		stored.Work.Queue = shortQueue
		s.store.put(t, tableWork, shortWork, stored)
		s.store.put(t, tableProgress, shortWork, &api.ProgressRow{State: api.WorkStateQueued, Team: testTeam, Queue: shortQueue})
		for i := range seriesNodes {
			n := s.node(fmt.Sprintf("n%d", i))
			n.owner.options.Adviser, n.owner.relay.options.Adviser = mixedAdviser{n}, mixedAdviser{n}
		}
		defer time.Sleep(time.Minute) // the calls of all owners end
		without := 0                  // owners in a row that have not started the task
		for epoch := 1; epoch <= owners; epoch++ {
			s.runTenure(fmt.Sprintf("n%d", epoch%seriesNodes), epoch<<20, tenure, epoch%seriesGroups)
			without++
			for len(s.started) > 0 {
				if strings.HasPrefix(<-s.started, shortWork) {
					without = 0
				}
			}
			if without > 1 {
				t.Errorf("owner %d ends with %d owners in a row that have not started the task", epoch, without)
			}
		}
	})
}
