package platform

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"
)

// idleClientTTL is how long an unused client is kept.
const idleClientTTL = 2 * time.Minute

// clientPool keeps one HTTP client for each address, so that the connection limit
// applies to each executor, even if several share a host and port.
type clientPool struct {
	tls      *tls.Config
	maxConns int

	mu      sync.Mutex
	clients map[string]*pooledClient
}

type pooledClient struct {
	client      *http.Client
	activeCalls int
	lastUsed    time.Time
}

func newClientPool(config *tls.Config, maxConns int) *clientPool {
	return &clientPool{tls: config, maxConns: maxConns, clients: map[string]*pooledClient{}}
}

// acquire returns the client of an address and a function that releases it.
func (p *clientPool) acquire(address string) (*http.Client, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.clients[address]
	if !ok {
		p.evictIdle(time.Now())
		entry = &pooledClient{client: newClient(p.tls, p.maxConns)}
		p.clients[address] = entry
	}
	entry.activeCalls++
	return entry.client, func() { p.release(entry) }
}

func (p *clientPool) release(entry *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.activeCalls--
	entry.lastUsed = time.Now()
}

// evictIdle removes clients that were not used for idleClientTTL, such as those of
// replaced VMs.
func (p *clientPool) evictIdle(now time.Time) {
	for address, entry := range p.clients {
		if entry.activeCalls == 0 && now.Sub(entry.lastUsed) > idleClientTTL {
			entry.client.CloseIdleConnections()
			delete(p.clients, address)
		}
	}
}

func (p *clientPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.clients {
		entry.client.CloseIdleConnections()
	}
}
