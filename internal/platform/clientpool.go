package platform

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"
)

// poolKeep is how long a client without calls is kept.
const poolKeep = 2 * time.Minute

// clientPool keeps one HTTP client for each address, so that the bound on
// connections holds for each executor even when several share a host and port.
type clientPool struct {
	tls      *tls.Config
	maxConns int

	mu      sync.Mutex
	clients map[string]*pooledClient
}

type pooledClient struct {
	client *http.Client
	calls  int
	used   time.Time
}

func newClientPool(config *tls.Config, maxConns int) *clientPool {
	return &clientPool{tls: config, maxConns: maxConns, clients: map[string]*pooledClient{}}
}

// acquire returns the client of an address and a function to call after use.
func (p *clientPool) acquire(address string) (*http.Client, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.clients[address]
	if !ok {
		p.sweep(time.Now())
		entry = &pooledClient{client: newClient(p.tls, p.maxConns)}
		p.clients[address] = entry
	}
	entry.calls++
	return entry.client, func() { p.release(entry) }
}

func (p *clientPool) release(entry *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.calls--
	entry.used = time.Now()
}

// sweep drops clients that were not used lately, such as those of VMs that were
// replaced.
func (p *clientPool) sweep(now time.Time) {
	for address, entry := range p.clients {
		if entry.calls == 0 && now.Sub(entry.used) > poolKeep {
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
