package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/examples"
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/standin"
)

const operatorKey = "operator-for-tests"

// writeCertificates writes a certificate authority and one certificate for the
// loopback address to a directory, and returns a client configuration.
func writeCertificates(t *testing.T, dir string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	write(t, filepath.Join(dir, "cert.pem"), certPEM)
	write(t, filepath.Join(dir, "key.pem"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return &tls.Config{RootCAs: pool}
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// freePort returns a port that is free at the time of the call.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startTLSNode runs a node whose listeners use TLS until the test ends.
func startTLSNode(t *testing.T, name, dir, store string) string {
	t.Helper()
	sum := sha256.Sum256([]byte(operatorKey))
	files := map[string]string{"cert_file": "cert.pem", "key_file": "key.pem"}
	mutualFiles := map[string]string{"cert_file": "cert.pem", "key_file": "key.pem", "ca_file": "cert.pem"}
	data, err := json.Marshal(map[string]any{
		"node": name, "region": "north", "failure_domain": "north-a", "store_address": store,
		"http_address": fmt.Sprintf("127.0.0.1:%d", freePort(t)), "peer_address": fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		"operator_key_sha256": hex.EncodeToString(sum[:]), "tls": map[string]any{"http": files, "peer": mutualFiles},
	})
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Parse(data, dir)
	if err != nil {
		t.Fatal(err)
	}
	loadedTLS, err := settings.LoadTLS(loaded)
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(Options{Settings: loaded, TLS: loadedTLS, Logger: log.NewNopLogger(), UnreadyDelay: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	return loaded.HttpAddress
}

// Guards against listeners without TLS although the settings name TLS files, and against
// nodes that cannot reach each other with mutual TLS: two nodes must share the
// partitions, and each must answer requests of any partition.
func TestNodesServeOverTLS(t *testing.T) {
	dir := t.TempDir()
	clientTLS := writeCertificates(t, dir)
	answersJSON, err := examples.Answers("cooperative")
	if err != nil {
		t.Fatal(err)
	}
	answers, err := config.ParseAnswers(answersJSON)
	if err != nil {
		t.Fatal(err)
	}
	document := config.Generate(answers)
	cell, err := standin.NewCell(&document, standin.CellOptions{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close) // after the nodes have stopped
	var addresses []string
	for _, name := range []string{"node-1", "node-2"} {
		addresses = append(addresses, startTLSNode(t, name, dir, cell.PlatformAddress))
	}
	for _, address := range addresses {
		c := newClient(t, address, operatorKey, clientTLS)
		await(t, func() error { _, err := c.Config(t.Context()); return err })
	}
	operator := newClient(t, addresses[0], operatorKey, clientTLS)
	await(t, func() error {
		_, err := operator.Apply(t.Context(), api.ConfigApply{BaseVersion: 0, Document: document})
		return err
	})
	granted, err := operator.GrantKey(t.Context(), api.KeyGrant{Team: "quotes", Role: api.RoleCaller})
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		caller := newClient(t, address, granted.Secret, clientTLS)
		for i := range 8 { // the IDs spread over the partitions of both nodes
			await(t, func() error {
				_, err := caller.Send(t.Context(), client.Request{Queue: "quotes.check", ID: fmt.Sprint("tls-", i), Body: []byte("{}")})
				return err
			})
		}
	}
	plain := newClient(t, addresses[0], operatorKey, nil)
	if _, err := plain.Config(t.Context()); err == nil || strings.Contains(err.Error(), "version") {
		t.Errorf("a call without TLS got %v", err)
	}
}

func newClient(t *testing.T, address, key string, tlsConfig *tls.Config) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Addresses: []string{address}, Key: key, TLS: tlsConfig, Timeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// await repeats a call until it succeeds, for at most a minute.
func await(t *testing.T, call func() error) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for {
		err := call()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
