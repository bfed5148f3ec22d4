package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/endivehill/endivehill/internal/platform"
)

// Objects stands in for the object store. It implements platform.ObjectStore for
// use inside a process and http.Handler for use over HTTP, with the same faults.
type Objects struct {
	faultInjector
	mux *http.ServeMux

	objectsMu sync.Mutex
	objects   map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	o := &Objects{objects: map[string][]byte{}, mux: http.NewServeMux()}
	o.mux.HandleFunc("PUT "+platform.PathObjects+"{key}", o.servePut)
	o.mux.HandleFunc("GET "+platform.PathObjects+"{key}", o.serveGet)
	o.mux.HandleFunc("DELETE "+platform.PathObjects+"{key}", o.serveDelete)
	return o
}

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.objectsMu.Lock()
	defer o.objectsMu.Unlock()
	return len(o.objects)
}

// Put stores an object.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.applyChange(ctx, func() { o.objects[key] = bytes.Clone(data) })
}

// Delete removes an object.
func (o *Objects) Delete(ctx context.Context, key string) error {
	return o.applyChange(ctx, func() { delete(o.objects, key) })
}

func (o *Objects) applyChange(ctx context.Context, do func()) error {
	if effect := o.beforeCall(ctx, true); effect != proceed {
		return platform.ErrUnavailable
	}
	o.withLock(do)
	if !o.afterCall(ctx, true) {
		return platform.ErrAmbiguous
	}
	return nil
}

func (o *Objects) withLock(do func()) {
	o.objectsMu.Lock()
	defer o.objectsMu.Unlock()
	do()
}

// Get returns an object.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if effect := o.beforeCall(ctx, false); effect != proceed {
		return nil, platform.ErrUnavailable
	}
	data, ok := o.get(key)
	if !o.afterCall(ctx, false) {
		return nil, platform.ErrUnavailable
	}
	if !ok {
		return nil, fmt.Errorf("%w: %q", platform.ErrNotFound, key)
	}
	return data, nil
}

func (o *Objects) get(key string) ([]byte, bool) {
	o.objectsMu.Lock()
	defer o.objectsMu.Unlock()
	data, ok := o.objects[key]
	return bytes.Clone(data), ok
}

// ServeHTTP serves the protocol of the object store.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o.serveChange(w, r, func() { o.objects[r.PathValue("key")] = data })
}

func (o *Objects) serveDelete(w http.ResponseWriter, r *http.Request) {
	o.serveChange(w, r, func() { delete(o.objects, r.PathValue("key")) })
}

func (o *Objects) serveChange(w http.ResponseWriter, r *http.Request, do func()) {
	if effect := o.beforeCall(r.Context(), true); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	o.withLock(do)
	if !o.afterCall(r.Context(), true) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	if effect := o.beforeCall(r.Context(), false); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	data, ok := o.get(r.PathValue("key"))
	if !o.afterCall(r.Context(), false) {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the caller may have disconnected
}
