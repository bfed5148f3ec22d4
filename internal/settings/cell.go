package settings

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
)

// Cell is the settings of a node on the users' platform.
type Cell struct {
	Node          string
	FailureDomain string
	HTTPAddress   string // for callers
	ReadyAddress  string // for probes of the balancer
	PeerAddress   string // listener for other nodes
	PeerAdvertise string // address under which other nodes reach PeerAddress
	Metrics       string // address; empty for none
	Store         string
	Adviser       string // empty if there is none
	LogLevel      *api.LogLevel

	CPUShare float64 // cores
	MemoryMB float64

	DrainTime       time.Duration // after which a leaving worker gets no new tasks
	GraceTime       time.Duration // between SIGTERM and SIGKILL
	RevokeTime      time.Duration // after which a withdrawn key must not work
	MaxTaskLease    time.Duration
	StopTimeout     time.Duration // longest time that a worker needs to stop a task
	GangTimeout     time.Duration // longest time that the first task of a gang waits
	HarmTime        time.Duration // longest time that opportunistic tasks may harm a long-running one
	NoticeTime      time.Duration // without work after which a long-running task counts as away
	StatusRetention time.Duration
	RestoreTime     time.Duration // that a task needs to resume from a checkpoint
	RemoteFactor    float64       // how much longer a task runs away from its data
}

// LoadCell reads the settings file of a node on the users' platform.
func LoadCell(path string) (Cell, error) {
	data, err := document.ReadFile(path, nil)
	if err != nil {
		return Cell{}, err
	}
	return ParseCell(data)
}

// ParseCell decodes and checks the settings of a node on the users' platform.
func ParseCell(data []byte) (Cell, error) {
	base, err := cellDefaults()
	if err != nil {
		return Cell{}, err
	}
	s := base
	if err := document.Decode(data, "CellSettings", &s); err != nil {
		return Cell{}, err
	}
	var errs document.Errors
	checkAddress(&errs, "http_address", s.HttpAddress, true)
	checkAddress(&errs, "ready_address", s.ReadyAddress, true)
	checkAddress(&errs, "peer_address", s.PeerAddress, true)
	checkAddress(&errs, "store_address", s.StoreAddress, false)
	for _, optional := range []struct{ field, value string }{
		{"peer_advertise_address", s.PeerAdvertiseAddress}, {"metrics_address", s.MetricsAddress}, {"adviser_address", s.AdviserAddress},
	} {
		if optional.value != "" {
			checkAddress(&errs, optional.field, optional.value, false)
		}
	}
	p := cellParser{errs: &errs}
	out := p.cell(&s, &base)
	return out, errs.Err()
}

func cellDefaults() (api.CellSettings, error) {
	level := api.LogLevelInfo
	s := api.CellSettings{LogLevel: &level}
	defaults, err := document.Defaults("CellSettings")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(defaults, &s), "decode the defaults of CellSettings")
}

// cellParser parses the values that are given as text with a unit.
type cellParser struct{ errs *document.Errors }

func (p cellParser) cell(s, base *api.CellSettings) Cell {
	return Cell{
		Node: s.Node, FailureDomain: s.FailureDomain, HTTPAddress: s.HttpAddress, ReadyAddress: s.ReadyAddress,
		PeerAddress: s.PeerAddress, PeerAdvertise: cmp.Or(s.PeerAdvertiseAddress, s.PeerAddress), Metrics: s.MetricsAddress, Store: s.StoreAddress, Adviser: s.AdviserAddress,
		LogLevel:        s.LogLevel,
		CPUShare:        p.number("cpu_share", s.CpuShare, base.CpuShare),
		MemoryMB:        p.number("memory_mb", s.MemoryMb, base.MemoryMb),
		DrainTime:       p.duration("drain_time", s.DrainTime, base.DrainTime),
		GraceTime:       p.duration("grace_time", s.GraceTime, base.GraceTime),
		RevokeTime:      p.duration("revoke_time", s.RevokeTime, base.RevokeTime),
		MaxTaskLease:    p.duration("max_task_lease", s.MaxTaskLease, base.MaxTaskLease),
		StopTimeout:     p.duration("stop_timeout", s.StopTimeout, base.StopTimeout),
		GangTimeout:     p.duration("gang_timeout", s.GangTimeout, base.GangTimeout),
		HarmTime:        p.duration("harm_time", s.HarmTime, base.HarmTime),
		NoticeTime:      p.duration("notice_time", s.NoticeTime, base.NoticeTime),
		StatusRetention: p.duration("status_retention", s.StatusRetention, base.StatusRetention),
		RestoreTime:     p.duration("restore_time", s.RestoreTime, base.RestoreTime),
		RemoteFactor:    p.number("remote_factor", s.RemoteFactor, base.RemoteFactor),
	}
}

// duration parses a duration. One without a number, as a template leaves it when
// the platform gives no value, is the default.
func (p cellParser) duration(field, value, standard string) time.Duration {
	if strings.Trim(value, "ms") == "" {
		value = standard
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		p.errs.Add(field, "value %q must be a number with the unit ms or s", value)
	}
	return d
}

func (p cellParser) number(field, value, standard string) float64 {
	if value == "" {
		value = standard
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		p.errs.Add(field, "value %q must be a number", value)
	}
	return n
}
