package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// certificate returns a self-signed certificate for the loopback address and a
// pool that trusts it.
func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// TestMutualTLS checks that a peer without a certificate of the cell is neither served nor
// accepted as a node.
func TestMutualTLS(t *testing.T) {
	cert, pool := certificate(t)
	foreign, foreignPool := certificate(t)
	_, addr := serve(t, ServerOptions{TLS: &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}}, map[api.Method]Handler{api.MethodJobStatus: echo})
	tests := []struct {
		name string
		tls  *tls.Config
		ok   bool
	}{
		{"both trusted", &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool}, true},
		{"client without certificate", &tls.Config{RootCAs: pool}, false},
		{"client of another cell", &tls.Config{Certificates: []tls.Certificate{foreign}, RootCAs: pool}, false},
		{"server of another cell", &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: foreignPool}, false},
		{"client without TLS", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			got, err := call(ctx, client(t, ClientOptions{TLS: tt.tls}), addr, "a")
			if tt.ok && (err != nil || got != "a") {
				t.Errorf("got %q, %v", got, err)
			}
			if !tt.ok && !errkind.Is(err, errkind.OwnerUnavailable) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
