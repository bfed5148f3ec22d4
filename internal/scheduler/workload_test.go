package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// jobStream describes one kind of job of a workload.
type jobStream struct {
	queue          string
	class          api.Class
	urgency        api.Urgency
	every          time.Duration // mean time between two jobs
	tasks          [2]int
	cores, gb      [2]int
	accelerators   int
	run            [2]time.Duration // actual run time
	deadline       time.Duration
	checkpointable bool
	teams          []float64 // relative number of jobs of each team
}

// workload describes a pool of a deployment and its jobs.
type workload struct {
	name    string
	vm      api.Resources
	vms     int
	perRack int
	shares  []int
	streams []jobStream
}

const (
	simLength = 2 * time.Hour
	// peakFactor multiplies the rate of arrivals in the middle third of a run.
	peakFactor = 2.5
)

var skewedTeams = []float64{0.45, 0.35, 0.05, 0.05, 0.05, 0.05}
var evenTeams = []float64{1, 1, 1, 1, 1, 1}

var workloads = []workload{
	{
		name: "Cooperative/Desk", vm: resources(16, 64, 0), vms: 35, perRack: 5, shares: []int{3, 3, 1, 1, 1, 1},
		streams: []jobStream{
			{"quotes", api.ClassBatch, api.UrgencyUrgent, 3 * time.Second, [2]int{1, 1}, [2]int{1, 2}, [2]int{1, 4}, 0, [2]time.Duration{2 * time.Second, 20 * time.Second}, 5 * time.Second, false, skewedTeams},
			{"cutlists", api.ClassBatch, api.UrgencyNormal, 24 * time.Second, [2]int{1, 20}, [2]int{1, 4}, [2]int{2, 12}, 0, [2]time.Duration{time.Minute, 8 * time.Minute}, 10 * time.Minute, true, skewedTeams},
			{"kilns", api.ClassService, api.UrgencyNormal, 4 * time.Minute, [2]int{2, 6}, [2]int{1, 1}, [2]int{1, 4}, 0, [2]time.Duration{30 * time.Minute, time.Hour}, 0, true, evenTeams},
			{"archive", api.ClassBatch, api.UrgencyBackground, time.Minute, [2]int{1, 12}, [2]int{1, 3}, [2]int{2, 8}, 0, [2]time.Duration{2 * time.Minute, 10 * time.Minute}, 0, true, evenTeams},
			{"sheets", api.ClassGang, api.UrgencyNormal, 8 * time.Minute, [2]int{8, 20}, [2]int{2, 5}, [2]int{4, 16}, 0, [2]time.Duration{2 * time.Minute, 6 * time.Minute}, 0, true, evenTeams},
		},
	},
	{
		name: "Cooperative/Bench", vm: resources(64, 128, 8), vms: 13, perRack: 3, shares: []int{3, 3, 1, 1, 1, 1},
		streams: []jobStream{
			{"previews", api.ClassBatch, api.UrgencyUrgent, 12 * time.Second, [2]int{1, 1}, [2]int{2, 4}, [2]int{4, 8}, 1, [2]time.Duration{3 * time.Second, 30 * time.Second}, 10 * time.Second, false, skewedTeams},
			{"baffles", api.ClassBatch, api.UrgencyNormal, 50 * time.Second, [2]int{1, 12}, [2]int{4, 8}, [2]int{4, 16}, 1, [2]time.Duration{2 * time.Minute, 12 * time.Minute}, 20 * time.Minute, true, skewedTeams},
			{"acoustics", api.ClassGang, api.UrgencyNormal, 7 * time.Minute, [2]int{8, 32}, [2]int{4, 6}, [2]int{4, 12}, 1, [2]time.Duration{3 * time.Minute, 8 * time.Minute}, 0, true, evenTeams},
			{"views", api.ClassService, api.UrgencyNormal, 12 * time.Minute, [2]int{2, 3}, [2]int{2, 4}, [2]int{2, 8}, 0, [2]time.Duration{30 * time.Minute, time.Hour}, 0, true, evenTeams},
		},
	},
	{
		name: "DyniowePoleBilety/Ticketing", vm: resources(32, 64, 0), vms: 35, perRack: 5, shares: []int{2, 2, 2, 1, 1, 1},
		streams: []jobStream{
			{"charges", api.ClassBatch, api.UrgencyUrgent, 2 * time.Second, [2]int{1, 1}, [2]int{1, 2}, [2]int{1, 2}, 0, [2]time.Duration{2 * time.Second, 10 * time.Second}, 5 * time.Second, false, skewedTeams},
			{"gates", api.ClassBatch, api.UrgencyNormal, 20 * time.Second, [2]int{1, 12}, [2]int{1, 4}, [2]int{1, 6}, 0, [2]time.Duration{time.Minute, 6 * time.Minute}, 10 * time.Minute, true, skewedTeams},
			{"settlement", api.ClassBatch, api.UrgencyNormal, 70 * time.Second, [2]int{10, 60}, [2]int{1, 4}, [2]int{2, 8}, 0, [2]time.Duration{3 * time.Minute, 12 * time.Minute}, 0, true, evenTeams},
			{"flood", api.ClassBatch, api.UrgencyNormal, 60 * time.Second, [2]int{40, 80}, [2]int{1, 4}, [2]int{2, 6}, 0, [2]time.Duration{4 * time.Minute, 15 * time.Minute}, 0, true, []float64{1, 0, 0, 0, 0, 0}},
			{"sales", api.ClassService, api.UrgencyNormal, 5 * time.Minute, [2]int{2, 6}, [2]int{1, 2}, [2]int{1, 4}, 0, [2]time.Duration{30 * time.Minute, time.Hour}, 0, true, evenTeams},
			{"reports", api.ClassGang, api.UrgencyNormal, 8 * time.Minute, [2]int{8, 24}, [2]int{4, 10}, [2]int{4, 16}, 0, [2]time.Duration{2 * time.Minute, 6 * time.Minute}, 0, true, evenTeams},
		},
	},
	{
		name: "DyniowePoleBilety/photos", vm: resources(32, 64, 8), vms: 13, perRack: 3, shares: []int{2, 2, 2, 1, 1, 1},
		streams: []jobStream{
			{"prints", api.ClassBatch, api.UrgencyNormal, 60 * time.Second, [2]int{1, 10}, [2]int{1, 4}, [2]int{2, 8}, 1, [2]time.Duration{time.Minute, 10 * time.Minute}, 30 * time.Minute, true, evenTeams},
			{"flood", api.ClassBatch, api.UrgencyNormal, 3 * time.Minute, [2]int{20, 40}, [2]int{2, 4}, [2]int{2, 6}, 1, [2]time.Duration{4 * time.Minute, 15 * time.Minute}, 0, true, []float64{1, 0, 0, 0, 0, 0}},
			{"faces", api.ClassGang, api.UrgencyNormal, 10 * time.Minute, [2]int{8, 24}, [2]int{2, 3}, [2]int{2, 6}, 1, [2]time.Duration{2 * time.Minute, 6 * time.Minute}, 0, true, evenTeams},
			{"rush", api.ClassBatch, api.UrgencyUrgent, 20 * time.Second, [2]int{1, 1}, [2]int{1, 2}, [2]int{2, 4}, 1, [2]time.Duration{5 * time.Second, 30 * time.Second}, 10 * time.Second, false, skewedTeams},
		},
	},
}

// simJob is a job with the actual usage and run time of its tasks.
type simJob struct {
	Job
	at         time.Time // of the arrival
	actual     resourceVec
	run        time.Duration
	checkpoint time.Duration // time to write a checkpoint
	faulty     bool          // every attempt fails
}

// jobGenerator generates the jobs of a workload.
type jobGenerator struct {
	rng      *rand.Rand
	workload workload
	bias     map[string][2]float64 // factors for size and run time, by team and queue
	jobCount int
}

// generateJobs returns all jobs in order of arrival.
func (g *jobGenerator) generateJobs() []*simJob {
	var list []*simJob
	next := make([]time.Duration, len(g.workload.streams))
	for i := range next {
		next[i] = g.interarrivalTime(i, 0)
	}
	for {
		first := 0
		for i := range next {
			if next[i] < next[first] {
				first = i
			}
		}
		at := next[first]
		if at >= simLength*5/6 {
			return list // no arrivals in the rest of the run, so that the queues drain
		}
		list = append(list, g.newJob(g.workload.streams[first], testStart.Add(at)))
		next[first] += g.interarrivalTime(first, at)
	}
}

// interarrivalTime returns a random time between two jobs of stream i at the given
// time of the run.
func (g *jobGenerator) interarrivalTime(i int, at time.Duration) time.Duration {
	mean := float64(g.workload.streams[i].every)
	if at > simLength/3 && at < simLength*2/3 {
		mean /= peakFactor
	}
	return time.Duration(g.rng.ExpFloat64()*mean) + time.Millisecond
}

func (g *jobGenerator) uniformInt(r [2]int) int { return r[0] + g.rng.IntN(r[1]-r[0]+1) }

// logNormalFactor returns a random factor with median 1. In a third of the
// cases it differs from 1 by more than a factor of exp(spread).
func (g *jobGenerator) logNormalFactor(spread float64) float64 {
	return math.Exp(g.rng.NormFloat64() * spread)
}

// randomTeam returns the index of a team drawn with the given weights.
func (g *jobGenerator) randomTeam(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := g.rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (g *jobGenerator) newJob(s jobStream, at time.Time) *simJob {
	g.jobCount++
	team := g.randomTeam(s.teams)
	name := fmt.Sprintf("team-%d", team)
	key := name + s.queue
	if _, ok := g.bias[key]; !ok {
		g.bias[key] = [2]float64{g.logNormalFactor(0.4), g.logNormalFactor(0.8)}
	}
	bias := g.bias[key]
	j := &simJob{at: at, checkpoint: time.Duration(100+g.rng.IntN(2000)) * time.Millisecond, faulty: g.rng.IntN(100) == 0}
	j.run = s.run[0] + time.Duration(g.rng.Float64()*float64(s.run[1]-s.run[0]))
	j.Job = Job{
		ID: fmt.Sprintf("%s/%s-%d", name, s.queue, g.jobCount), Team: name, Queue: s.queue, Class: s.class, Urgency: s.urgency,
		Tasks: g.uniformInt(s.tasks), Resources: resources(g.uniformInt(s.cores), g.uniformInt(s.gb), s.accelerators),
		EstimatedRun: time.Duration(float64(j.run) / (bias[1] * g.logNormalFactor(0.5))), Checkpointable: s.checkpointable,
	}
	if s.class == api.ClassService {
		j.EstimatedRun = 0
	}
	if s.deadline > 0 {
		j.Deadline = at.Add(s.deadline)
	}
	j.actual = toResourceVec(j.Resources)
	for _, d := range []int{dimCPU, dimMemory} {
		factor := bias[0] * g.logNormalFactor(0.2)
		j.actual[d] = min(int64(float64(j.actual[d])*factor), toResourceVec(g.workload.vm)[d]/2)
	}
	return j
}
