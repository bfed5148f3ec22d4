// Package history records the events of a test run as the stand-ins of the VMs and
// the callers saw them, independently of the nodes under test. Package checker
// verifies the guarantees on it. Records are stored as JSON lines.
package history

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/api"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records, with the fields that each uses besides Seq and At.
const (
	VMCapacity   Kind = "vm_capacity"   // VM, Resources with slots, Connections, Domain
	VMLive       Kind = "vm_live"       // VM; it is no longer leaving
	VMLeaving    Kind = "vm_leaving"    // VM
	VMGone       Kind = "vm_gone"       // VM; its tasks, requests and connections end
	TaskStart    Kind = "task_start"    // VM, Team, Task, Attempt, Resources; Reason is LateCall if its call was carried out late
	TaskStop     Kind = "task_stop"     // VM, Team, Task, Attempt, Reason
	TaskAcked    Kind = "task_acked"    // VM, Task, Attempt; its end as done was acknowledged
	RequestStart Kind = "request_start" // VM, Run, Team, Queue, RequestID, BodyDigest
	RequestEnd   Kind = "request_end"   // VM, Run, Team, Queue, RequestID, AnswerDigest, Reason
	Refused      Kind = "refused"       // VM, Team, RequestID or Task, Reason
	ConnOpen     Kind = "conn_open"     // VM
	ConnClose    Kind = "conn_close"    // VM

	Call Kind = "call" // Node, Key, Team, Queue, RequestID or Job, Started, Outcome, ErrorKind, BodyDigest, AnswerDigest

	KeyGranted     Kind = "key_granted"     // Key, Team
	KeyWithdrawn   Kind = "key_withdrawn"   // Key
	ConfigAccepted Kind = "config_accepted" // Version
	QueueDefined   Kind = "queue_defined"   // Queue, Team, Open, Idempotent, Version
	TeamLimit      Kind = "team_limit"      // Team, Resources, Version
	ConfigInForce  Kind = "config_in_force" // Node, Version, Serving, Started if the version was queried

	DomainEvacuated Kind = "domain_evacuated" // Domain; the request to start nothing in it was acknowledged
	DomainOpened    Kind = "domain_opened"    // Domain; the request is about to be withdrawn

	NodeStopping Kind = "node_stopping" // Node; a planned stop began
	NodeStopped  Kind = "node_stopped"  // Node; a planned stop ended
	NodeKilled   Kind = "node_killed"   // Node
	FaultBegin   Kind = "fault_begin"   // Reason; a fault that may interrupt requests
	FaultEnd     Kind = "fault_end"     // Reason
)

// Reasons of records.
const (
	LateCall   = "late_call" // of a TaskStart
	StoreFault = "store"     // of a FaultBegin or FaultEnd: the table service is unavailable, slow or loses answers
)

// Outcome is the result of a call as its caller saw it.
type Outcome string

// Outcomes of a call.
const (
	Answered  Outcome = "answered"  // a complete answer of the request's execution
	Accepted  Outcome = "accepted"  // the job submission was acknowledged
	NotRun    Outcome = "not_run"   // an error with outcome not_run
	Unknown   Outcome = "unknown"   // an error with outcome unknown
	Ran       Outcome = "ran"       // an error with outcome ran
	Broken    Outcome = "broken"    // the connection ended without a complete HTTP answer
	Abandoned Outcome = "abandoned" // the caller stopped waiting
)

// Record is one event. Fields that its kind does not use are empty.
type Record struct {
	Seq  int64         `json:"seq"` // order of recording, from 1
	At   time.Duration `json:"at"`  // nanoseconds since the start of the recorder
	Kind Kind          `json:"kind"`

	VM   string `json:"vm,omitempty"`
	Node string `json:"node,omitempty"`
	Team string `json:"team,omitempty"`

	Domain string `json:"domain,omitempty"` // failure domain

	Queue     string `json:"queue,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Run       int64  `json:"run,omitempty"` // identifies one execution of a request

	Job     string `json:"job,omitempty"`  // job ID, unique within the team
	Task    string `json:"task,omitempty"` // team/job/index
	Attempt int    `json:"attempt,omitempty"`

	Key          string        `json:"key,omitempty"`     // key ID, never the secret; "" in a Call without a key
	Started      time.Duration `json:"started,omitempty"` // start of a Call, or of the query of a node's version; same clock as At
	Outcome      Outcome       `json:"outcome,omitempty"`
	ErrorKind    string        `json:"error_kind,omitempty"`
	BodyDigest   string        `json:"body_digest,omitempty"`
	AnswerDigest string        `json:"answer_digest,omitempty"`

	Resources   api.Resources `json:"resources,omitzero"`
	Connections int           `json:"connections,omitempty"`

	Version    int  `json:"version,omitempty"`
	Serving    bool `json:"serving,omitempty"`
	Open       bool `json:"open,omitempty"`
	Idempotent bool `json:"idempotent,omitempty"`

	Reason string `json:"reason,omitempty"`
}

// Digest returns the digest of a body or an answer.
func Digest(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

// AnswerDigest returns the digest of an answer, prefixed with its status code.
func AnswerDigest(status int, body []byte) string {
	return strconv.Itoa(status) + ":" + Digest(body)
}
