package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const minimalSettings = `"node": "node-1", "region": "north", "failure_domain": "north-a",
	"http_address": "0.0.0.0:8080", "peer_address": "10.0.0.1:7000", "store_address": "10.0.9.1:9000"`

// Guards against a missing default, which would mean a limit or timeout of zero.
func TestDefaults(t *testing.T) {
	got, err := Parse([]byte(`{`+minimalSettings+`, "http_advertise_address": "10.0.0.1:8080", "limits": {"max_body_bytes": 5}}`), "")
	if err != nil {
		t.Fatal(err)
	}
	info := api.LogLevelInfo
	want := api.Settings{
		Node: "node-1", Region: "north", FailureDomain: "north-a",
		HttpAddress: "0.0.0.0:8080", HttpAdvertiseAddress: "10.0.0.1:8080",
		PeerAddress: "10.0.0.1:7000", PeerAdvertiseAddress: "10.0.0.1:7000",
		StoreAddress: "10.0.9.1:9000", ObjectStoreAddress: "10.0.9.1:9000", VmListAddress: "10.0.9.1:9000",
		LogLevel: &info,
		Limits: &api.Limits{MaxBodyBytes: 5, MaxAnswerBytes: 4 << 20, MaxHeaderBytes: 16 << 10,
			MaxQueuedRequests: 4096, MaxOpenRequests: 8192, MaxBodyMemoryBytes: 64 << 20, MaxConnections: 8192},
		ShutdownTimeoutMs: 30_000,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// Guards against accepting settings with which a node would start and fail later.
func TestParseRejects(t *testing.T) {
	dir := t.TempDir()
	writeCertificate(t, dir)
	if err := os.WriteFile(filepath.Join(dir, "empty.pem"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, fields, want string }{
		{"unknown field", `"http_adress": ""`, "http_adress: unknown field"},
		{"field twice", `"node": "b"`, "node: field is given more than once"},
		{"advertised address missing", `"log_level": "info"`, `http_advertise_address: value "0.0.0.0:8080" must be an address that other processes can reach`},
		{"host name", `"vm_list_address": "vms.example:80"`, `vm_list_address: value "vms.example:80" must be an IP address and a port`},
		{"no port", `"object_store_address": "10.0.0.1"`, "object_store_address: value"},
		{"port 0", `"peer_advertise_address": "10.0.0.1:0"`, "peer_advertise_address: value"},
		{"log level", `"log_level": "loud"`, `log_level: value "loud" must be one of "debug", "info", "warn", "error"`},
		{"limit", `"limits": {"max_body_bytes": 0}`, "limits.max_body_bytes: value 0 must be at least 1"},
		{"missing file", `"tls": {"http": {"cert_file": "no.pem", "key_file": "key.pem"}}`, "tls.http.cert_file: certificate"},
		{"key without certificate", `"tls": {"http": {"key_file": "key.pem"}}`, "tls.http.cert_file: field is missing"},
		{"certificate of another key", `"tls": {"http": {"cert_file": "cert.pem", "key_file": "cert.pem"}}`, "tls.http.cert_file: certificate"},
		{"peer without authorities", `"tls": {"peer": {"cert_file": "cert.pem", "key_file": "key.pem"}}`, "tls.peer.ca_file: field is missing"},
		{"no certificate in file", `"tls": {"platform": {"ca_file": "empty.pem"}}`, "tls.platform.ca_file: file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte("{"+minimalSettings+", "+tc.fields+"}"), dir)
			if !errkind.Is(err, errkind.InvalidArgument) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %s", err, tc.want)
			}
		})
	}
	_, err := Parse([]byte("{"+minimalSettings+`, "vm_list_address": "x", "tls": {"http": {}}}`), dir)
	if err == nil || strings.Count(err.Error(), "\n") != 4 {
		t.Errorf("got %v, want all 4 errors at once", err)
	}
}

// Guards against nodes that accept a peer without a certificate, and against nodes
// that reject each other although both have one.
func TestPeerTLSIsMutual(t *testing.T) {
	dir := t.TempDir()
	writeCertificate(t, dir)
	file := filepath.Join(dir, "settings.json")
	text := `{` + minimalSettings + `, "http_advertise_address": "10.0.0.1:8080",
		"tls": {"peer": {"cert_file": "cert.pem", "key_file": "key.pem", "ca_file": "cert.pem"}}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	config, err := LoadTLS(s)
	if err != nil {
		t.Fatal(err)
	}
	if config.HTTP != nil || config.Platform != nil {
		t.Error("TLS is on where no files are named")
	}
	if err := handshake(t, config.Peer, config.Peer); err != nil {
		t.Errorf("two nodes: %v", err)
	}
	if err := handshake(t, config.Peer, &tls.Config{RootCAs: config.Peer.RootCAs}); err == nil {
		t.Error("a client without a certificate was accepted")
	}
}

// handshake connects client to server and returns the error of the server side.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if conn, err := tls.Dial("tcp", l.Addr().String(), client); err == nil {
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 1)) // until the other side closes
		}
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.(*tls.Conn).Handshake()
}

// writeCertificate writes a self-signed certificate for the loopback address.
func writeCertificate(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: cert},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against input that panics, and against accepted settings that are rejected
// or changed after encoding them again.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{` + minimalSettings + `}`))
	f.Add([]byte(`{` + minimalSettings + `, "http_advertise_address": "[::1]:8080", "limits": {}, "log_level": "debug"}`))
	f.Add([]byte(`{` + minimalSettings + `, "tls": {"http": {"cert_file": "x"}, "platform": {}}}`))
	f.Add([]byte(`{"node": 1e99999999}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, t.TempDir())
		if err != nil {
			if !errkind.Is(err, errkind.InvalidArgument) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(encoded, "")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s, again); diff != "" {
			t.Fatalf("settings change when written out (-want +got):\n%s", diff)
		}
	})
}
