// Case 1: a submission whose tasks at work no longer fit into one row of the store.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/review/lab"
)

// Limits of the store, from the settings of the users' pages.
const (
	rowBytes  = 65536
	callBytes = 1 << 20
)

// Size of the large submission, and the number of small ones that have as many tasks.
const (
	wideTasks  = 3500
	smallParts = 14
	wideAfter  = 4 // quick submissions that come before it
)

// Times of the case, since the first submission.
const (
	trafficEnds = 20 * time.Second
	finishTime  = 14 * time.Second // finish_s
	taskTime    = 9 * time.Second  // of a task of the wide submission
	idleTime    = 3 * time.Second  // for which a submission may have nothing running
	quickTime   = 500 * time.Millisecond
)

func main() {
	folder := flag.String("folder", "review/1", "folder of the case")
	program := flag.String("program", "target/endivehill", "program of a node")
	trouble := flag.Bool("trouble", true, "with the disruption; run.sh passes false for TROUBLE=0")
	flag.Parse()
	lab.Main(lab.Options{
		Folder: *folder, Program: *program, Trouble: *trouble, Nodes: 6, WrapStore: limitRows,
		Platform: standin.Options{
			Pools: []standin.Pool{{Name: "desk", Count: 35, Capacity: api.Resources{CpuMillis: 32000, MemoryMb: 65536}}},
			Queues: []standin.Queue{
				{Name: "settle", Pool: "desk", Priority: 2, MaxAttempts: 4},
				{Name: "checkout", Pool: "desk", MaxAttempts: 3},
			},
			Teams: []standin.Team{{Name: "farm", Keys: []string{"k-farm"}, Weight: 10}, {Name: "gate", Keys: []string{"k-gate"}, Weight: 10}},
		},
	}, func(l *lab.Lab) (int, error) { return run(l, *folder) })
}

// limitRows rejects a call that is larger than the store takes, or that writes a row larger
// than rowBytes, with status 400.
func limitRows(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		var in struct {
			Put []struct {
				Value string `json:"value"`
			} `json:"put"`
		}
		if err != nil || len(data) > callBytes || json.Unmarshal(data, &in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, row := range in.Put {
			if base64.StdEncoding.DecodedLen(len(row.Value))-2 > rowBytes {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		next.ServeHTTP(w, r)
	})
}

type submission struct {
	id, queue, key string
	accepted       bool
}

func run(l *lab.Lab, folder string) (int, error) {
	text, err := os.ReadFile(filepath.Join(folder, "submission.json"))
	if err != nil {
		return lab.NotRun, err
	}
	var wide struct {
		Spec  string           `json:"spec"`
		Steps []map[string]any `json:"steps"`
	}
	if err := json.Unmarshal(text, &wide); err != nil {
		return lab.NotRun, err
	}
	parts := 1
	if !l.Trouble {
		parts = smallParts
	}
	wide.Steps[1]["count"] = wideTasks / parts
	body, err := json.Marshal(wide)
	if err != nil {
		return lab.NotRun, err
	}
	size := api.Resources{CpuMillis: 250, MemoryMb: 200}
	steps := []standin.Step{
		{Count: 1, Size: size, RunTime: quickTime},
		{Count: wideTasks / parts, Size: size, RunTime: taskTime, After: []int{0}},
	}

	var mu sync.Mutex
	var sent []*submission
	var calls sync.WaitGroup
	submit := func(first int, s *submission, team, payload string, steps []standin.Step, body []byte) {
		l.Platform.RegisterWork(s.id, team, payload, steps)
		mu.Lock()
		sent = append(sent, s)
		mu.Unlock()
		calls.Go(func() {
			ok := l.Submit(first, s.queue, s.id, s.key, body)/100 == 2
			mu.Lock()
			s.accepted = ok
			mu.Unlock()
		})
	}

	l.Note("%d tasks of %v come in %d submissions, behind a first task of %v", wideTasks, taskTime, parts, quickTime)
	began := time.Now()
	quick, err := json.Marshal(map[string]any{"spec": "ticket", "steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 500}}})
	if err != nil {
		return lab.NotRun, err
	}
	quickSteps := []standin.Step{{Count: 2, Size: api.Resources{CpuMillis: 1000, MemoryMb: 500}, RunTime: quickTime}}
	for n := 0; time.Since(began) < trafficEnds; n++ {
		submit(n, &submission{id: fmt.Sprintf("00000000000%05x", 0xb0000+n), queue: "checkout", key: "k-gate"}, "gate", "ticket", quickSteps, quick)
		if first := n - wideAfter; first >= 0 && first < parts {
			submit(n, &submission{id: fmt.Sprintf("00000000000%05x", 0xa0000+first), queue: "settle", key: "k-farm"}, "farm", wide.Spec, steps, body)
		}
		time.Sleep(500 * time.Millisecond)
	}
	calls.Wait()
	l.Note("end of the traffic")
	time.Sleep(finishTime)
	return judge(l, sent), nil
}

// judge asks for each accepted submission, as the platform does at the end of the day.
func judge(l *lab.Lab, sent []*submission) int {
	accepted, refused, states := 0, 0, map[string]int{}
	broken := lab.Held
	runs := l.Runs()
	lastRun := map[string]time.Duration{} // end of the last run of each submission
	for _, r := range runs {
		lastRun[r.Task[:16]] = max(lastRun[r.Task[:16]], r.To)
	}
	inUse, _ := l.Platform.Running()
	capacityFree := len(inUse)*250 < 35*32000/4 // twice over, and under half in use
	l.Note("%d tasks run now, on 35 executors with room for %d", len(inUse), 35*32000/250)
	for _, s := range sent {
		if !s.accepted {
			refused++
			continue
		}
		accepted++
		state := ""
		for try := 0; try < 2*len(l.Nodes) && state == ""; try++ {
			if _, state = l.State(l.Nodes[try%len(l.Nodes)], s.queue, s.id, s.key); state == "" {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if state == "" {
			state = "(no answer)"
		}
		states[state]++
		if state != "completed" && capacityFree && l.Now()-lastRun[s.id] > idleTime {
			l.Note("LOST: submission %s was accepted and is %s; nothing of it has run for %v", s.id, state, idleTime)
			broken = lab.Broken
		}
	}
	for _, n := range l.Nodes {
		l.Note("%s: ready %v, ended by itself %d times", n.Name, l.Ready(n), n.Ends)
	}
	l.NoteRuns(runs)
	l.Note("%d submissions accepted, %d without a 2xx response; states of the accepted: %v; %d runs", accepted, refused, states, len(runs))
	return broken
}
