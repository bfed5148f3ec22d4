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

// Cell holds the settings of a node on the users' platform.
type Cell struct {
	Node                 string
	FailureDomain        string
	HTTPAddress          string // listener for callers
	ReadyAddress         string // listener for readiness probes of the balancer
	PeerAddress          string // listener for other nodes
	PeerAdvertiseAddress string // address under which other nodes reach PeerAddress
	MetricsAddress       string // listener for metrics and the state dump; empty for none
	StoreAddress         string // address of the table service
	AdviserAddress       string // address of the adviser; empty if there is none
	LogLevel             *api.LogLevel

	CPUShare     float64 // cores
	MemoryMB     float64
	MaxOpenFiles int     // files and sockets that the process may have open
	LinkMbps     float64 // bandwidth of the network link; 0 if not known

	BodyMemoryMB         float64 // memory for request bodies; 0 to derive it from MemoryMB
	MaxCallerConnections int     // 0 to derive it from MaxOpenFiles and MemoryMB

	DrainTime         time.Duration // time after which a leaving worker gets no new tasks; not used by the node
	EvacuateTime      time.Duration // time within which starts in an evacuated failure domain must end; 0 if the platform evacuates none
	GraceTime         time.Duration // time between SIGTERM and SIGKILL
	RevokeTime        time.Duration // time after which a withdrawn key must be rejected
	MaxTaskLease      time.Duration // longest lease of a task
	StopTimeout       time.Duration // longest time that a worker needs to stop a task
	HeartbeatInterval time.Duration // time between two heartbeats of a worker; 0 if not known
	MaxRowBytes       int           // longest value of a row of the table service
	GangTimeout       time.Duration // longest time that the first task of a gang waits
	HarmTime          time.Duration // longest time that opportunistic tasks may make a long-running task miss its latency target
	NoticeTime        time.Duration // time without work after which a long-running task counts as unavailable; not used by the node
	StatusRetention   time.Duration // time that the status of finished work is kept
	RestoreTime       time.Duration // time that a task needs to resume from a checkpoint
	RemoteFactor      float64       // factor by which a task runs longer if it is not placed near its data
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
	defaults, err := defaultCellSettings()
	if err != nil {
		return Cell{}, err
	}
	s := defaults
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
	out := p.parseCell(&s, &defaults)
	return out, errs.Err()
}

func defaultCellSettings() (api.CellSettings, error) {
	level := api.LogLevelInfo
	s := api.CellSettings{LogLevel: &level}
	defaults, err := document.Defaults("CellSettings")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(defaults, &s), "decode the defaults of CellSettings")
}

// cellParser parses values that are given as text.
type cellParser struct{ errs *document.Errors }

func (p cellParser) parseCell(s, defaults *api.CellSettings) Cell {
	return Cell{
		Node: s.Node, FailureDomain: s.FailureDomain, HTTPAddress: s.HttpAddress, ReadyAddress: s.ReadyAddress,
		PeerAddress: s.PeerAddress, PeerAdvertiseAddress: cmp.Or(s.PeerAdvertiseAddress, s.PeerAddress), MetricsAddress: s.MetricsAddress, StoreAddress: s.StoreAddress, AdviserAddress: s.AdviserAddress,
		LogLevel:             s.LogLevel,
		CPUShare:             p.parseNumber("cpu_share", s.CpuShare, defaults.CpuShare),
		MemoryMB:             p.parseNumber("memory_mb", s.MemoryMb, defaults.MemoryMb),
		MaxOpenFiles:         int(p.parseNumber("max_open_files", s.MaxOpenFiles, defaults.MaxOpenFiles)),
		LinkMbps:             p.parseNumber("link_mbps", s.LinkMbps, defaults.LinkMbps),
		BodyMemoryMB:         p.parseNumber("body_memory_mb", s.BodyMemoryMb, defaults.BodyMemoryMb),
		MaxCallerConnections: int(p.parseNumber("max_caller_connections", s.MaxCallerConnections, defaults.MaxCallerConnections)),
		EvacuateTime:         p.parseDuration("evacuate_time", s.EvacuateTime, defaults.EvacuateTime),
		DrainTime:            p.parseDuration("drain_time", s.DrainTime, defaults.DrainTime),
		GraceTime:            p.parseDuration("grace_time", s.GraceTime, defaults.GraceTime),
		RevokeTime:           p.parseDuration("revoke_time", s.RevokeTime, defaults.RevokeTime),
		MaxTaskLease:         p.parseDuration("max_task_lease", s.MaxTaskLease, defaults.MaxTaskLease),
		HeartbeatInterval:    p.parseDuration("heartbeat_interval", s.HeartbeatInterval, defaults.HeartbeatInterval),
		MaxRowBytes:          int(p.parseNumber("max_row_bytes", s.MaxRowBytes, defaults.MaxRowBytes)),
		StopTimeout:          p.parseDuration("stop_timeout", s.StopTimeout, defaults.StopTimeout),
		GangTimeout:          p.parseDuration("gang_timeout", s.GangTimeout, defaults.GangTimeout),
		HarmTime:             p.parseDuration("harm_time", s.HarmTime, defaults.HarmTime),
		NoticeTime:           p.parseDuration("notice_time", s.NoticeTime, defaults.NoticeTime),
		StatusRetention:      p.parseDuration("status_retention", s.StatusRetention, defaults.StatusRetention),
		RestoreTime:          p.parseDuration("restore_time", s.RestoreTime, defaults.RestoreTime),
		RemoteFactor:         p.parseNumber("remote_factor", s.RemoteFactor, defaults.RemoteFactor),
	}
}

// parseDuration parses a duration. A value without a number is replaced by the default:
// a template leaves only the unit when the platform gives no value.
func (p cellParser) parseDuration(field, value, defaultValue string) time.Duration {
	if strings.Trim(value, "ms") == "" {
		value = defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		p.errs.Add(field, "value %q must be a number with the unit ms or s", value)
	}
	return d
}

func (p cellParser) parseNumber(field, value, defaultValue string) float64 {
	if value == "" {
		value = defaultValue
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		p.errs.Add(field, "value %q must be a number", value)
	}
	return n
}
