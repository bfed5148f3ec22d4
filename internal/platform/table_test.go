package platform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	shortTimeout = 150 * time.Millisecond // for calls that may end in any way
	// hangTimeout ends calls that get no response. It is long enough to send a call even
	// on a busy machine.
	hangTimeout = 500 * time.Millisecond
	longTimeout = 10 * time.Second
)

// serve starts h on a loopback port and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// refusingAddress returns an address on which nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newTable(t *testing.T, timeout time.Duration) (*standin.Table, *platform.TableClient) {
	t.Helper()
	table := standin.NewTable()
	client := platform.NewTableClient(platform.Options{Address: serve(t, table), Timeout: timeout})
	t.Cleanup(client.Close)
	return table, client
}

func put(key, value string) []platform.Write {
	return []platform.Write{{Key: key, Value: []byte(value)}}
}

func absent(key string) []platform.Check { return []platform.Check{{Key: key}} }

// Keys and values must be encoded without loss, and checks must be applied.
func TestTableClientReadsBackWhatItWrote(t *testing.T) {
	ctx := context.Background()
	_, client := newTable(t, longTimeout)
	const key = "request/gallery/ä b&c=%2F"
	value := string([]byte{0, 255, 10})
	version, err := client.Commit(ctx, absent(key), put(key, value))
	if err != nil {
		t.Fatal(err)
	}
	row, err := client.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(platform.Row{Key: key, Value: []byte(value), Version: version}, row); diff != "" {
		t.Fatal(diff)
	}
	if _, err := client.Commit(ctx, absent(key), put(key, "x")); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("second insert: %v, want ErrConflict", err)
	}
	if _, err := client.Commit(ctx, nil, []platform.Write{{Key: key, Delete: true}}); err != nil {
		t.Fatal(err)
	}
	if row, err = client.Get(ctx, key); err != nil || row.Version != 0 {
		t.Fatalf("deleted row: %v, %v", row, err)
	}
}

// Every page must be read exactly once.
func TestScanAllReadsEveryPage(t *testing.T) {
	ctx := context.Background()
	_, client := newTable(t, longTimeout)
	var writes []platform.Write
	for i := range 2*platform.ScanPageRows + 1 {
		writes = append(writes, platform.Write{Key: fmt.Sprintf("job/p/%05d", i)})
	}
	writes = append(writes, platform.Write{Key: "job/q/1"})
	if _, err := client.Commit(ctx, nil, writes); err != nil {
		t.Fatal(err)
	}
	rows, err := platform.ScanAll(ctx, client, "job/p/")
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != len(writes)-1 || rows[len(rows)-1].Key != writes[len(writes)-2].Key {
		t.Fatalf("%d rows, want %d", len(rows), len(writes)-1)
	}
}

// A write that may have been applied must not be reported as not applied. Nor must a write
// that certainly was not applied be reported as ambiguous, which would cost a read for
// each rejected write.
func TestCommitErrorTellsWhetherItMayHaveBeenApplied(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		want   error
	}{
		{"down", standin.Faults{Down: true}, platform.ErrUnavailable},
		{"answer lost", standin.Faults{LoseAnswers: true}, platform.ErrAmbiguous},
		{"hangs", standin.Faults{Hang: true}, platform.ErrAmbiguous},
		{"slow before", standin.Faults{Delay: time.Minute}, platform.ErrAmbiguous},
		{"slow after", standin.Faults{AnswerDelay: time.Minute}, platform.ErrAmbiguous},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			table, client := newTable(t, hangTimeout)
			table.SetFaults(tt.faults)
			if _, err := client.Commit(context.Background(), nil, put("k", "v")); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		client := platform.NewTableClient(platform.Options{Address: refusingAddress(t)})
		if _, err := client.Commit(context.Background(), nil, put("k", "v")); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
	t.Run("malformed", func(t *testing.T) {
		_, client := newTable(t, longTimeout)
		if _, err := client.Commit(context.Background(), nil, put("", "v")); !errors.Is(err, platform.ErrInvalid) {
			t.Errorf("got %v, want ErrInvalid", err)
		}
	})
	t.Run("over the write limit", func(t *testing.T) {
		table, client := newTable(t, longTimeout)
		table.SetFaults(standin.Faults{WritesPerSecond: 1})
		_, first := client.Commit(context.Background(), nil, put("k", "v"))
		_, second := client.Commit(context.Background(), nil, put("k", "w"))
		if first != nil || !errors.Is(second, platform.ErrUnavailable) {
			t.Errorf("got %v and %v, want success and ErrUnavailable", first, second)
		}
	})
}

// Responses that are too large, truncated or for another row must be rejected.
func TestTableClientChecksTheLengthOfAnswers(t *testing.T) {
	tests := map[string]func(http.ResponseWriter){
		"too large": func(w http.ResponseWriter) { _, _ = w.Write(bytes.Repeat([]byte(" "), 32<<20)) },
		"cut": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"key":"k"`))
		},
		"without length": func(w http.ResponseWriter) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.0 200 OK\r\n\r\n" + `{"key":"k","value":"","version":1}`))
			_ = conn.Close()
		},
		"other row": func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"key":"other","version":1}`)) },
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
			client := platform.NewTableClient(platform.Options{Address: address})
			defer client.Close()
			if _, err := client.Get(context.Background(), "k"); !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("got %v, want ErrUnavailable", err)
			}
		})
	}
}

// The hook must be called after every call, with its error.
func TestHookSeesEveryCall(t *testing.T) {
	var seen []string
	hook := func(c platform.Call) {
		seen = append(seen, fmt.Sprintf("%s %s %t", c.Service, c.Op, errors.Is(c.Err, platform.ErrConflict)))
	}
	client := platform.NewTableClient(platform.Options{Address: serve(t, standin.NewTable()), Hook: hook})
	defer client.Close()
	ctx := context.Background()
	_, _ = client.Get(ctx, "k")
	_, _ = client.Scan(ctx, "k", "", 1)
	_, _ = client.Commit(ctx, []platform.Check{{Key: "k", Version: 9}}, nil)
	want := []string{"table get false", "table scan false", "table commit true"}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Error(diff)
	}
}
