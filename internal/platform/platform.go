// Package platform contains the interfaces and the HTTP/JSON clients of the platform's
// services (docs/platform.md): the table service, the object store, the VM list,
// workers and executors. It also implements the group commit of operations on the
// table service.
//
// Package node uses this package. The package platform at the root of the module is the
// client of another protocol, which package cellnode uses.
package platform

import (
	"context"

	"github.com/endivehill/endivehill/internal/api"
)

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version int64 // from one sequence for the whole table service; 0: the row does not exist
}

// Check is a condition of a transaction.
type Check struct {
	Key     string
	Version int64 // required version of the row; 0: the row must not exist
}

// Write is one change of a transaction.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, with version 0 if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows in key order whose keys start with prefix
	// and are greater than after. A page may have fewer rows, because its size in
	// bytes is limited too; only an empty page marks the end.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes if all checks hold, and nothing otherwise. It
	// returns the common version of the written rows. The error is or wraps
	// ErrConflict, ErrInvalid, ErrUnavailable or ErrAmbiguous.
	Commit(ctx context.Context, checks []Check, writes []Write) (version int64, err error)
}

// Batcher commits operations of many callers, several in one transaction. The errors
// are those of Table.Commit.
type Batcher interface {
	Commit(ctx context.Context, checks []Check, writes []Write) (version int64, err error)
}

// ObjectStore stores opaque objects. Get returns ErrNotFound for a missing object.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// VMList lists the live and leaving upstream VMs. The list may be out of date.
type VMList interface {
	List(ctx context.Context) ([]api.VM, error)
}

// Worker runs tasks on a VM. The error of Sync is an *errkind.Error: fenced and
// upstream_unavailable mean that the worker did not execute the call.
type Worker interface {
	Sync(ctx context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error)
}

// Executor runs short requests on a VM. The fencing token of Fence holds the epoch of
// the partition and the fence generation of the executor. Errors are *errkind.Error;
// those of Execute distinguish a request that was not run from one whose outcome is
// unknown.
type Executor interface {
	Fence(ctx context.Context, vm api.VM, partition string, token int64) (*api.ExecutorStatus, error)
	Execute(ctx context.Context, vm api.VM, in *api.ExecutorCall) (*api.ExecutorAnswer, error)
}
