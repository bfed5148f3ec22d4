package measure

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const maxIdleConnsPerNode = 1024 // idle connections kept to each node

// Caller sends requests of one team to all nodes in turn.
type Caller struct {
	http  *http.Client
	nodes []*Node
	key   string
	path  string
}

// NewCaller returns a caller for one queue of a team, such as RequestQueue.
func (c *Cell) NewCaller(ctx context.Context, team, queue string) (*Caller, error) {
	key, err := c.GrantKey(ctx, team)
	if err != nil {
		return nil, err
	}
	return &Caller{
		http:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerNode}},
		nodes: c.Nodes, key: key, path: "/v1/queues/" + Queue(team, queue) + "/requests",
	}, nil
}

// Send sends request n, whose number selects the node. If deadline is zero, the deadline
// of the queue applies.
func (c *Caller) Send(ctx context.Context, n int, body []byte, deadline time.Time) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate a request ID")
	}
	url := "http://" + c.nodes[n%len(c.nodes)].HTTPAddress + c.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Request-Id", id.String())
	if !deadline.IsZero() {
		req.Header.Set("Request-Deadline", deadline.UTC().Format(time.RFC3339Nano))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return nil
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }
